"""Rendezvous hashing: all processes rank the same members alike without exchanging messages."""

from collections.abc import Iterable

import xxhash

#: Characters of a text up to which it is a key itself.
_MAX_KEY_CHARS = 128


def score(*, key: str, member: str) -> int:
    """Returns the 64-bit hash of a member for a key; the highest one ranks first.

    >>> score(key="target", member="vm-1") == score(key="target", member="vm-1")
    True
    """
    return xxhash.xxh3_64_intdigest(f"{key}\x00{member}".encode())


def rank(*, key: str, members: Iterable[str]) -> list[str]:
    """Returns the members by descending score for the key; equal scores rank by name.

    >>> rank(key="target", members=["a", "b"]) == rank(key="target", members=["b", "a"])
    True
    """
    return sorted(members, key=lambda member: (score(key=key, member=member), member), reverse=True)


def fingerprint(*parts: bytes) -> str:
    """Returns the 128-bit digest of a sequence of parts as hexadecimal digits.

    Each part is hashed together with its length, so that the boundaries of the parts count.

    >>> fingerprint(b"ab", b"c") == fingerprint(b"a", b"bc")
    False
    """
    digest = xxhash.xxh3_128()
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def shorten(text: str) -> str:
    """Returns a text that identifies another one, for use as a key that is kept.

    >>> shorten("order-7"), len(shorten(10_000 * "x"))
    ('order-7', 32)
    """
    if len(text) <= _MAX_KEY_CHARS:
        return text
    return fingerprint(text.encode("utf-8", "surrogateescape"))
