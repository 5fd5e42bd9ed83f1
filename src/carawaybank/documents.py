"""Checked decoding of documents: settings, tickets and messages.

Shapes are ``TypedDict`` classes. :func:`convert` reports every unknown key and the first wrong
type with its path, so that one run shows what to mend.

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

__all__ = ["TypedDict", "convert", "decode_json", "decode_toml", "encode_json", "load_toml"]


def convert(raw: object, shape: type[_T], *, source: str) -> _T:
    """Returns ``raw`` as a value of the shape.

    Raises:
        DocumentError: If a key is unknown or missing, or a value has the wrong type.
    """
    faults = _unknown_keys(raw, shape, path="")
    try:
        value = msgspec.convert(raw, shape, strict=True)
    except msgspec.ValidationError as error:
        raise DocumentError(source=source, faults=(*faults, _describe(error))) from None
    if faults:
        raise DocumentError(source=source, faults=tuple(faults))
    return value


def decode_json(data: bytes, shape: type[_T], *, source: str) -> _T:
    """Returns the JSON document as a value of the shape.

    Raises:
        DocumentError: If the document is not JSON or not of the shape.
    """
    try:
        raw = msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise DocumentError(source=source, faults=(f"not JSON: {error}",)) from None
    return convert(raw, shape, source=source)


def decode_toml(data: bytes, shape: type[_T], *, source: str) -> _T:
    """Returns the TOML document as a value of the shape.

    Raises:
        DocumentError: If the document is not TOML or not of the shape.
    """
    try:
        raw = msgspec.toml.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise DocumentError(source=source, faults=(f"not TOML: {error}",)) from None
    return convert(raw, shape, source=source)


def load_toml(path: Path, shape: type[_T]) -> _T:
    """Returns the TOML document in a file as a value of the shape.

    Raises:
        DocumentError: If the file cannot be read, is not TOML or not of the shape.
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        raise DocumentError(source=str(path), faults=(f"cannot be read: {error}",)) from None
    return decode_toml(data, shape, source=str(path))


def encode_json(value: object) -> bytes:
    """Returns the value as JSON with sorted keys.

    >>> encode_json({"b": 1, "a": 2})
    b'{"a":2,"b":1}'
    """
    return msgspec.json.encode(value, order="sorted")


def _describe(error: msgspec.ValidationError) -> str:
    return str(error).replace("Object ", "").replace("`$.", "`").replace("`$[...]", "`entry")


def _unknown_keys(raw: object, shape: Any, *, path: str) -> list[str]:
    if not isinstance(raw, Mapping):
        return []
    if is_typeddict(shape):
        return _unknown_keys_of_table(raw, shape, path=path)
    if get_origin(shape) is dict:
        value_shape = get_args(shape)[1]
        children = ((key, value, value_shape) for key, value in raw.items())
    else:
        return []
    faults: list[str] = []
    for key, value, child in children:
        faults.extend(_unknown_keys(value, child, path=f"{path}{key}."))
    return faults


@lru_cache(maxsize=256)
def _hints(shape: Any) -> dict[str, Any]:
    return get_type_hints(shape)


def _unknown_keys_of_table(raw: Mapping[Any, Any], shape: Any, *, path: str) -> list[str]:
    hints = _hints(shape)
    faults = []
    for key, value in raw.items():
        if key in hints:
            faults.extend(_unknown_keys(value, hints[key], path=f"{path}{key}."))
        else:
            allowed = ", ".join(sorted(hints))
            faults.append(f"unknown key {path}{key}; allowed are {allowed}")
    return faults
