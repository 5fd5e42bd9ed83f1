"""The map of client blocks to sites, packed into sorted arrays.

Each block begins at an IPv4 address and reaches to the next block's. 1.6 million blocks take six
bytes each; a look-up is one bisection.

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
    """Maps the address of a caller to its site."""

    def __init__(
        self, *, starts: "array[int]", indexes: "array[int]", sites: Sequence[str]
    ) -> None:
        """Takes sorted arrays of equal length.

        Args:
            starts: First address of each block, ascending.
            indexes: Index into ``sites`` of each block.
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
        """Returns a map of (first address, site index) pairs."""
        ordered = sorted((int(IPv4Address(start)), index) for start, index in blocks)
        starts = array(_START_CODE, (start for start, _ in ordered))
        indexes = array(_SITE_CODE, (index for _, index in ordered))
        return cls(starts=starts, indexes=indexes, sites=sites)

    @classmethod
    def from_bytes(cls, data: bytes, *, digest: str, sites: Sequence[str]) -> "BlockMap":
        """Returns the map that :meth:`to_bytes` packed.

        Raises:
            SnapshotError: If the bytes do not have the digest or the shape.
        """
        if hashing.fingerprint(data) != digest:
            raise SnapshotError("the block map does not have its ticket's digest")
        count, rest = divmod(len(data), _BLOCK_BYTES)
        if rest:
            raise SnapshotError("the block map is truncated")
        starts, indexes = array(_START_CODE), array(_SITE_CODE)
        border = count * starts.itemsize
        starts.frombytes(data[:border])
        indexes.frombytes(data[border:])
        if sys.byteorder == "big":
            starts.byteswap()
            indexes.byteswap()
        if count and max(indexes) >= len(sites):
            raise SnapshotError("the block map names a site that its ticket does not")
        return cls(starts=starts, indexes=indexes, sites=sites)

    def to_bytes(self) -> bytes:
        """Returns the packed map, little endian."""
        starts, indexes = self._starts[:], self._indexes[:]
        if sys.byteorder == "big":
            starts.byteswap()
            indexes.byteswap()
        return starts.tobytes() + indexes.tobytes()

    def find(self, address: str) -> str | None:
        """Returns the site of an address; None when no block covers it."""
        try:
            number = int(IPv4Address(address))
        except ValueError:
            return None
        position = bisect_right(self._starts, number) - 1
        return self._sites[self._indexes[position]] if position >= 0 else None
