"""Loading and validation of the daemon's settings."""

from pathlib import Path

import pytest

from carawaybank.exceptions import DocumentError
from carawaybank.settings import load

EXAMPLE = Path(__file__).parent.parent / "docs" / "entry-vm.toml"


def load_text(tmp_path, text):
    path = tmp_path / "vm.toml"
    path.write_text(text)
    return load(path)


def test_the_documented_example_has_the_default_values(tmp_path):
    """Guards against an example file whose values differ from the defaults in the code."""
    example = load(EXAMPLE)
    required = EXAMPLE.read_text().partition("[siblings]")[0]
    minimal = load_text(tmp_path, required)
    assert minimal == example._replace(seeds=())


@pytest.mark.parametrize(
    ("old", "new", "fault"),
    [
        ('region = "sask"', 'regoin = "sask"', "unknown key vm.regoin"),
        ('failure_domain = "regina"', "", "missing required field `failure_domain`"),
        ("timeout_s = 1.0", 'timeout_s = "1s"', "Expected `float`, got `str`"),
        ("timeout_s = 1.0", "timeout_s = 1000", "platform.timeout_s: 1000"),
        ("heartbeat_s = 0.7", "heartbeat_s = 600", "siblings.heartbeat_s: 600"),
        ("suspect_after_s = 1.6", "suspect_after_s = 0.6", "siblings.suspect_after_s: 0.6"),
        ('"127.0.0.11:8100"', '"localhost:8100"', "vm.callers_address: 'localhost:8100'"),
        ('"127.0.0.11:8200"', '"127.0.0.11:8100"', "must differ"),
        ('["127.0.0.12:8200"]', '["sibling"]', "siblings.seeds[0]: 'sibling'"),
        ('"http://127.0.0.1:9000"', '"127.0.0.1:9000"', "platform.url"),
        ("retry_share = 0.1", "retry_share = 0.5", "requests.retry_share: 0.5"),
        ('level = "INFO"', 'level = "LOUD"', "Invalid enum value 'LOUD'"),
        ("[logs]", "[logz]", "unknown key logz"),
        ("threads = 48", "threads = [", "not TOML"),
    ],
)
def test_a_fault_is_reported_with_file_and_key(tmp_path, old, new, fault):
    text = EXAMPLE.read_text()
    assert old in text
    with pytest.raises(DocumentError) as caught:
        load_text(tmp_path, text.replace(old, new, 1))
    assert fault in str(caught.value)
    assert "vm.toml" in str(caught.value)


def test_a_missing_file_is_reported(tmp_path):
    with pytest.raises(DocumentError, match="cannot be read"):
        load(tmp_path / "none.toml")
