"""Rendezvous hashing: every process ranks the same members alike without messages."""

from collections.abc import Iterable

import xxhash


def score(*, key: str, member: str) -> int:
    """Returns the weight of a member for a key.

    >>> score(key="target", member="vm-1") == score(key="target", member="vm-1")
    True
    """
    return xxhash.xxh3_64_intdigest(f"{key}\x00{member}".encode())


def rank(*, key: str, members: Iterable[str]) -> list[str]:
    """Returns the members by descending weight for the key.

    >>> rank(key="target", members=["a", "b"]) == rank(key="target", members=["b", "a"])
    True
    """
    return sorted(members, key=lambda member: (score(key=key, member=member), member), reverse=True)


def fingerprint(*parts: bytes) -> str:
    """Returns a short digest of the parts, unambiguous about their borders.

    >>> fingerprint(b"ab", b"c") == fingerprint(b"a", b"bc")
    False
    """
    digest = xxhash.xxh3_128()
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
