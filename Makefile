VENV ?= .venv
PYTHON = $(VENV)/bin/python

.PHONY: demo test bench soak install

SEED ?= 1
SOAK ?=

install: $(VENV)/installed

$(VENV)/installed: pyproject.toml
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --editable '.[dev]'
	touch $@

demo: install
	$(PYTHON) -m standins.demo

test: install
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy
	$(PYTHON) -m pytest

bench: install
	$(PYTHON) -m pytest benchmarks --benchmark-enable

soak: install
	$(PYTHON) -m standins.soak --seed $(SEED) $(SOAK)
