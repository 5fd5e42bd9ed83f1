"""The map from IPv4 address blocks of callers to sites, packed into sorted arrays.

A block begins at an IPv4 address and ends before the first address of the next block. Each block
takes six bytes, also in a map of 1.6 million blocks; a look-up is one bisection.

Usage::

    >>> blocks = BlockMap.build([("10.0.0.0", 0), ("10.1.0.0", 1)], sites=["a", "b"])
    >>> blocks.find("10.0.255.255"), blocks.find("10.1.0.1"), blocks.find("9.0.0.0")
    ('a', 'b', None)
"""

import sys
from array import array
from bisect import bisect_right
from collections.abc import Iterable, Sequence
from ipaddress import IPv4Address

from carawaybank.exceptions import SnapshotError
from carawaybank.steering import hashing

_START_CODE = "I"
_SITE_CODE = "H"
_BLOCK_BYTES = 6


class BlockMap:
    """Maps the IPv4 address of a caller to a site."""

    def __init__(
        self, *, starts: "array[int]", indexes: "array[int]", sites: Sequence[str]
    ) -> None:
        """Initializes the map from two arrays of equal length.

        Args:
            starts: First address of each block, ascending.
            indexes: Index into ``sites`` for each block.
            sites: Names of the sites.
        """
        self._starts = starts
        self._indexes = indexes
        self._sites = tuple(sites)

    def __len__(self) -> int:
        """Returns the number of blocks."""
        return len(self._starts)

    @classmethod
    def build(cls, blocks: Iterable[tuple[str, int]], *, sites: Sequence[str]) -> "BlockMap":
        """Builds a map from (first address, index into ``sites``) pairs in any order."""
        ordered = sorted((int(IPv4Address(start)), index) for start, index in blocks)
        starts = array(_START_CODE, (start for start, _ in ordered))
        indexes = array(_SITE_CODE, (index for _, index in ordered))
        return cls(starts=starts, indexes=indexes, sites=sites)

    @classmethod
    def from_bytes(cls, data: bytes, *, digest: str, sites: Sequence[str]) -> "BlockMap":
        """Unpacks a map that :meth:`to_bytes` packed.

        Raises:
            SnapshotError: If the digest does not match, the data is truncated or a block refers
                to an unknown site.
        """
        if hashing.fingerprint(data) != digest:
            raise SnapshotError("the digest of the block map differs from the one in its ticket")
        count, remainder = divmod(len(data), _BLOCK_BYTES)
        if remainder:
            raise SnapshotError("the block map is truncated")
        starts, indexes = array(_START_CODE), array(_SITE_CODE)
        starts_size = count * starts.itemsize
        starts.frombytes(data[:starts_size])
        indexes.frombytes(data[starts_size:])
        if sys.byteorder == "big":
            starts.byteswap()
            indexes.byteswap()
        if count and max(indexes) >= len(sites):
            raise SnapshotError("the block map refers to a site that its ticket does not list")
        return cls(starts=starts, indexes=indexes, sites=sites)

    def to_bytes(self) -> bytes:
        """Returns the packed map in little-endian byte order: all starts, then all indexes."""
        starts, indexes = self._starts[:], self._indexes[:]
        if sys.byteorder == "big":
            starts.byteswap()
            indexes.byteswap()
        return starts.tobytes() + indexes.tobytes()

    def find(self, address: str) -> str | None:
        """Returns the site of an address, or None if no block covers it or it is not IPv4."""
        try:
            address_number = int(IPv4Address(address))
        except ValueError:
            return None
        position = bisect_right(self._starts, address_number) - 1
        return self._sites[self._indexes[position]] if position >= 0 else None
