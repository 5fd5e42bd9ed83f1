"""Settings of an entry VM in a deployment: loading, validation and reload."""

import contextlib
import re
import tempfile
import tomllib
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from carawaybank import deployment
from carawaybank.exceptions import DocumentError
from carawaybank.routing.vmweights import VmCapacity, capacity_weight

DEPLOY = Path(__file__).parent.parent / "deploy"

SETTINGS = """
[vm]
name = "regina-1"
ip = "127.0.0.1"
failure_domain = "regina"
region = "sask"
callers_address = "127.0.0.1:8100"
ready_address = "127.0.0.1:8101"
directory_address = "127.0.0.1:8102"
sibling_port = 8103
metrics_port = 8106

[store]
address = "127.0.0.1:8104"

[siblings]
seeds = ["127.0.0.1:9"]

[regions]
regina = "sask"
calgary = "alberta"

[bounds]
retry_slack = 62
stop_within_s = 6
"""


@pytest.fixture
def load(tmp_path):
    def load_text(text):
        path = tmp_path / "node.toml"
        path.write_text(text)
        return deployment.load(path)

    return load_text


def test_settings_are_loaded_and_defaults_filled_in(load):
    loaded = load(SETTINGS)
    assert loaded.vm == "regina-1"
    assert loaded.seeds == ("127.0.0.1:9",)
    assert loaded.retry_slack == 62
    assert loaded.cold_slack == 5.0


@pytest.mark.parametrize(
    ("old", "new", "fault"),
    [
        ("[vm]", "[wm]", "wm"),
        ('region = "sask"', 'region = "alberta"', "not the region"),
        ("retry_slack = 62", "retry_slack = -1", "retry_slack"),
        ("retry_slack = 62", 'retry_slack = "many"', "retry_slack"),
        ("retry_slack = 62", "retry_slak = 62", "retry_slak"),
        ('ready_address = "127.0.0.1:8101"', 'ready_address = "here"', "ready_address"),
        ('ready_address = "127.0.0.1:8101"', 'ready_address = "127.0.0.1:99999"', "ready_address"),
        ('address = "127.0.0.1:8104"', 'address = "127.0.0.1:²"', "store_address"),
        ("directory_address =", 'control_address = "x:0"\ndirectory_address =', "control_address"),
        ("metrics_port = 8106", "metrics_port = 70000", "metrics_port"),
        ("[bounds]", "[contracts]\nhealth = 1\n[bounds]", "contracts"),
        ("[regions]", "[regions", "TOML"),
    ],
)
def test_an_invalid_setting_is_rejected_with_its_name(load, old, new, fault):
    with pytest.raises(DocumentError, match=fault):
        load(SETTINGS.replace(old, new))


@given(st.data())
def test_settings_that_are_cut_or_damaged_are_loaded_or_rejected(data):
    """Guards against settings that end a process with another error than that of wrong settings."""
    content = bytearray(SETTINGS.encode())
    for _ in range(data.draw(st.integers(0, 3))):
        content[data.draw(st.integers(0, len(content) - 1))] = data.draw(st.integers(0, 255))
    del content[data.draw(st.integers(0, len(content))) :]
    with tempfile.NamedTemporaryFile(suffix=".toml") as file:
        Path(file.name).write_bytes(content)
        with contextlib.suppress(DocumentError):
            deployment.load(Path(file.name))


def test_a_missing_file_is_rejected(tmp_path):
    with pytest.raises(DocumentError, match="cannot be read"):
        deployment.load(tmp_path / "none.toml")


def test_a_reload_changes_limits_but_not_addresses(load):
    """Guards against a reload that changes addresses, which the daemon binds only at start."""
    before = load(SETTINGS)
    changed = SETTINGS.replace("8100", "8200").replace("8106", "8206").replace("= 62", "= 30")
    reloaded = before.keep_startup_settings(load(changed))
    assert reloaded.callers_address == before.callers_address
    assert reloaded.metrics_port == before.metrics_port
    assert reloaded.retry_slack == 30


def test_metrics_are_served_where_the_deployment_file_says_unless_a_port_is_set(load):
    """Guards against a default port that the platform does not scrape."""
    system = tomllib.loads((DEPLOY / "system.toml").read_text())
    default = load(SETTINGS.replace("metrics_port = 8106\n", ""))
    assert system["roles"]["entry"]["metrics"] == f"{default.metrics_port}/metrics"
    assert load(SETTINGS).metrics_port == 8106


def test_the_deployment_template_sets_only_known_limits():
    """Guards against a template with an unknown key, with which no entry VM would start."""
    template = (DEPLOY / "settings.toml").read_text()
    bounds = template.partition("[bounds]")[2]
    names = set(re.findall(r"(\w+) = ", bounds))
    assert names
    assert names <= set(deployment.BoundsTable.__annotations__)
    vm_names = set(re.findall(r"(\w+) = ", template.partition("[siblings]")[0]))
    # Builds that do not know the port's setting start from the same template.
    assert vm_names == set(deployment.VmTable.__annotations__) - {"metrics_port"}


def test_the_size_of_a_vm_is_optional(load):
    """Guards against VMs of a deployment without sizes that do not start, or have a weight."""
    assert capacity_weight(load(SETTINGS).capacity) == 0.0
    sizes = "sibling_port = 8103\ncpu_share = 0.301\ncores = 3\nlink_mbps = 10"
    sized = load(SETTINGS.replace("sibling_port = 8103", sizes))
    assert sized.capacity == VmCapacity(0.301, 3.0, 10.0, 200.0)
    assert load(SETTINGS).keep_startup_settings(sized).cpu_share == 0.0


def test_contracts_are_optional_and_change_with_a_reload(load):
    """Guards against unknown contracts that stop a start, and against a switch that needs one."""
    before = load(SETTINGS)
    assert before.contracts == frozenset()
    listed = SETTINGS + "\n[contracts]\nbase = true\nhealth = true\ndrain = false\n"
    assert before.keep_startup_settings(load(listed)).contracts == {"base", "health"}


def test_the_deployment_template_lists_the_contracts_one_a_line():
    """Guards against a template whose table of contracts is empty or no TOML."""
    table = (DEPLOY / "settings.toml").read_text().partition("[contracts]")[2].partition("[")[0]
    opened, line, closed = re.fullmatch(
        r"\s*({{#contracts}})(.*\n)({{/contracts}})\s*", table
    ).groups()
    assert (opened, closed) == ("{{#contracts}}", "{{/contracts}}")
    rendered = "".join(line.replace("{{.}}", name) for name in ("base", "health"))
    assert tomllib.loads(rendered) == {"base": True, "health": True}
