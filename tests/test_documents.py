"""Messages of other programs."""

import pytest

from carawaybank.documents import decode_message
from carawaybank.exceptions import DocumentError


@pytest.mark.parametrize("value", [b"[]", b"{}", b"1"])
def test_a_message_with_very_many_values_is_refused(value):
    """Guards against a row of 10 MB that uses up the memory of a VM when it is decoded."""
    with pytest.raises(DocumentError, match="more than 250000 values"):
        decode_message(b"[" + value + 250_000 * (b"," + value) + b"]", list, source="row")


def test_a_large_message_with_few_values_is_decoded():
    """Guards against a limit that counts the bytes of a message."""
    message = decode_message(b'["' + b"x" * 2_000_000 + b'"]', list[str], source="row")
    assert len(message[0]) == 2_000_000
