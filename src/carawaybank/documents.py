"""Decoding and validation of documents: settings, tickets and messages.

The expected structure is given as a ``TypedDict`` class. :func:`convert` reports every unknown key
and the first value of the wrong type with its path, so that one run shows what has to be corrected.

Usage::

    >>> class Point(TypedDict):
    ...     x: int
    >>> convert({"x": 1}, Point, source="point")
    {'x': 1}
"""

from collections.abc import Mapping
from functools import lru_cache
from pathlib import Path
from typing import Any, TypedDict, TypeVar, get_args, get_origin, get_type_hints, is_typeddict

import msgspec

from carawaybank.exceptions import DocumentError

_T = TypeVar("_T")

__all__ = [
    "MAX_NUMBER",
    "TypedDict",
    "convert",
    "decode_json",
    "decode_message",
    "decode_toml",
    "encode_json",
    "load_toml",
]

#: Largest absolute value of a number in a message; calculations with it cannot overflow.
MAX_NUMBER = 2**63 - 1
#: Values that a message may have. Two bytes of it may become an object of 64 bytes, so that a
#: message of 12 MB used up the memory of a VM. A configuration of a thousand routes has 40,000.
_MAX_VALUES = 250_000


def convert(raw: object, expected_type: type[_T], *, source: str) -> _T:
    """Returns ``raw`` converted to the expected type.

    Raises:
        DocumentError: If a key is unknown or missing, or a value has the wrong type.
    """
    faults = _unknown_keys(raw, expected_type, path="")
    try:
        value = msgspec.convert(raw, expected_type, strict=True)
    except msgspec.ValidationError as error:
        raise DocumentError(source=source, faults=(*faults, _validation_message(error))) from None
    if faults:
        raise DocumentError(source=source, faults=tuple(faults))
    return value


def decode_json(data: bytes, expected_type: type[_T], *, source: str) -> _T:
    """Returns a JSON document converted to the expected type.

    Raises:
        DocumentError: If the document is not JSON or not of the expected type.
    """
    try:
        raw = msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise DocumentError(source=source, faults=(f"not JSON: {error}",)) from None
    return convert(raw, expected_type, source=source)


def decode_message(data: bytes, expected_type: type[_T], *, source: str) -> _T:
    """Returns a JSON message or row of another program converted to the expected type.

    Unknown keys are ignored, since other versions may add some.

    Raises:
        DocumentError: If the data is not JSON, is nested too deeply or not of the expected type, or
            contains very many values or a number whose absolute value is larger than
            ``MAX_NUMBER``.
    """
    if _count_values(data) > _MAX_VALUES:
        raise DocumentError(source=source, faults=(f"it has more than {_MAX_VALUES} values",))
    try:
        message = msgspec.json.decode(data, type=expected_type)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise DocumentError(source=source, faults=(str(error),)) from None
    if _has_large_number(message):
        raise DocumentError(source=source, faults=("a number is too large",))
    return message


def _count_values(data: bytes) -> int:
    """Returns the most values that a JSON document can have, by what begins or separates them."""
    if len(data) <= _MAX_VALUES:
        return len(data)
    return sum(data.count(each) for each in (b"[", b"{", b","))


def _has_large_number(message: object) -> bool:
    pending = [message]
    while pending:
        value = pending.pop()
        if isinstance(value, Mapping):
            pending.extend(value.values())
        elif isinstance(value, list | tuple):
            pending.extend(value)
        elif isinstance(value, int | float) and not -MAX_NUMBER <= value <= MAX_NUMBER:
            return True
    return False


def decode_toml(data: bytes, expected_type: type[_T], *, source: str) -> _T:
    """Returns a TOML document converted to the expected type.

    Raises:
        DocumentError: If the document is not TOML or not of the expected type.
    """
    try:
        raw = msgspec.toml.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise DocumentError(source=source, faults=(f"not TOML: {error}",)) from None
    return convert(raw, expected_type, source=source)


def load_toml(path: Path, expected_type: type[_T]) -> _T:
    """Returns the TOML document in a file converted to the expected type.

    Raises:
        DocumentError: If the file cannot be read, is not TOML or not of the expected type.
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        raise DocumentError(source=str(path), faults=(f"cannot be read: {error}",)) from None
    return decode_toml(data, expected_type, source=str(path))


def encode_json(value: object) -> bytes:
    """Returns the value encoded as JSON with sorted keys.

    >>> encode_json({"b": 1, "a": 2})
    b'{"a":2,"b":1}'
    """
    return msgspec.json.encode(value, order="sorted")


def _validation_message(error: msgspec.ValidationError) -> str:
    return str(error).replace("Object ", "").replace("`$.", "`").replace("`$[...]", "`entry")


def _unknown_keys(raw: object, expected_type: Any, *, path: str) -> list[str]:
    if not isinstance(raw, Mapping):
        return []
    if is_typeddict(expected_type):
        return _unknown_typed_dict_keys(raw, expected_type, path=path)
    if get_origin(expected_type) is dict:
        value_type = get_args(expected_type)[1]
        entries = ((key, value, value_type) for key, value in raw.items())
    else:
        return []
    faults: list[str] = []
    for key, value, child_type in entries:
        faults.extend(_unknown_keys(value, child_type, path=f"{path}{key}."))
    return faults


@lru_cache(maxsize=256)
def _resolve_type_hints(expected_type: Any) -> dict[str, Any]:
    return get_type_hints(expected_type)


def _unknown_typed_dict_keys(raw: Mapping[Any, Any], expected_type: Any, *, path: str) -> list[str]:
    type_hints = _resolve_type_hints(expected_type)
    faults = []
    for key, value in raw.items():
        if key in type_hints:
            faults.extend(_unknown_keys(value, type_hints[key], path=f"{path}{key}."))
        else:
            allowed = ", ".join(sorted(type_hints))
            faults.append(f"unknown key {path}{key}; allowed are {allowed}")
    return faults
