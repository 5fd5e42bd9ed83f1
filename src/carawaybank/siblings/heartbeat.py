"""Heartbeats between entry VMs, sent as UDP datagrams.

Each VM sends its heartbeat to the two readers of its failure domain. A reader sends its heartbeat
with all known reports to all VMs of its failure domain, and with its own report to the readers of
the other failure domains. Readers of its region get every second heartbeat and readers of other
regions every third, because traffic between regions is expensive. Heartbeats also carry the
positions up to which a VM has read the watched tables, so that a VM whose watch gets no response
detects that it is lagging.
"""

import asyncio
import contextlib
import socket
import time
from collections.abc import Callable, Sequence
from typing import cast

import msgspec

from carawaybank.documents import decode_message
from carawaybank.exceptions import DocumentError
from carawaybank.rows import Position
from carawaybank.siblings.vms import Heartbeat, VmDirectory, VmRecord

#: Seconds between heartbeats. Four intervals fit into ``HEARTBEAT_TIMEOUT_S``.
INTERVAL_S = 0.6
#: Readers of other failure domains in the same region get one heartbeat out of this number.
SAME_REGION_EVERY = 2
#: Seconds after its start in which a VM sends heartbeats at a shorter interval, and to all readers:
#: after a restart of all VMs nobody knows who is there.
_START_S = 3.0
_START_INTERVAL_S = 0.2
#: Minimum seconds between heartbeats that are sent early because of a newer configuration.
MIN_EARLY_GAP_S = 0.1
#: Readers of failure domains in other regions get one heartbeat out of this number.
OTHER_REGION_EVERY = 3
#: Datagrams that are read in one round of the event loop, and the size of the largest in bytes.
_MAX_DATAGRAMS = 256
_MAX_DATAGRAM_BYTES = 65_536
#: Bytes of a datagram that is always handled. The largest ones take up to 12 ms.
_SMALL_BYTES = 2_048
#: Seconds of processor time for larger ones at once, and fraction of the time that they may use.
_MAX_WORK_S = 0.1
_WORK_SHARE = 0.2


class DatagramWork:
    """Limits the time that large datagrams take.

    Load pattern: a peer sends the largest datagrams as fast as it can, while callers wait for the
    same event loop.

    >>> work = DatagramWork(now=0.0)
    >>> work.record(0.5, now=0.0)
    >>> work.may_handle(60_000, now=1.0), work.may_handle(300, now=1.0)
    (False, True)
    >>> work.may_handle(60_000, now=3.0)
    True
    """

    def __init__(self, *, now: float) -> None:
        """Starts with no time used.

        Args:
            now: Monotonic seconds.
        """
        self._left_s = _MAX_WORK_S
        self._updated_at = now

    def may_handle(self, size: int, *, now: float) -> bool:
        """Returns whether a datagram of a number of bytes is handled, not dropped."""
        if size <= _SMALL_BYTES:
            return True
        self._update(now)
        return self._left_s > 0.0

    def record(self, work_s: float, *, now: float) -> None:
        """Records the processor time of a datagram that was handled."""
        self._update(now)
        self._left_s -= work_s

    def _update(self, now: float) -> None:
        gained_s = _WORK_SHARE * (now - self._updated_at)
        self._left_s = min(_MAX_WORK_S, self._left_s + gained_s)
        self._updated_at = now


class HeartbeatTask(asyncio.DatagramProtocol):
    """Sends and receives heartbeats over a UDP socket."""

    def __init__(
        self,
        *,
        vms: VmDirectory,
        positions: Callable[[], dict[str, Position]],
        on_change: Callable[[VmRecord], None],
        on_positions: Callable[[dict[str, Position], str], None],
        on_sent: Callable[[], None] = lambda: None,
        on_report: Callable[[bytes], None] = lambda _: None,
    ) -> None:
        """Starts without a socket.

        Args:
            vms: Records heartbeats and selects their recipients.
            positions: Returns the position up to which each watched table has been read.
            on_change: Called with the record of a VM that a heartbeat changed.
            on_positions: Called with the positions up to which another VM has read the tables, and
                its name.
            on_sent: Called after each round, when readers may have changed.
            on_report: Called with each datagram that is a JSON object, which is no heartbeat.
        """
        self._vms = vms
        self._positions = positions
        self._on_change = on_change
        self._on_positions = on_positions
        self._on_sent = on_sent
        self._on_report = on_report
        self._transport: asyncio.DatagramTransport | None = None
        self._sock: socket.socket | None = None
        self._work = DatagramWork(now=time.monotonic())
        self._rounds = 0
        self._is_starting = False
        self._last_early_at = float("-inf")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of the socket."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def read_from(self, sock: socket.socket) -> None:
        """Reads also the datagrams that wait in a socket when one is received.

        The event loop itself reads one a round. While rounds are long, they would wait behind one
        another and be seconds old.

        Args:
            sock: The socket of the transport.
        """
        self._sock = sock

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Handles a datagram and those that wait behind it."""
        self._handle(data)
        if self._sock is None:
            return
        for _ in range(_MAX_DATAGRAMS):
            try:
                data = self._sock.recv(_MAX_DATAGRAM_BYTES)
            except OSError:  # None waits, or the last one that was sent could not be delivered.
                return
            self._handle(data)

    def _handle(self, data: bytes) -> None:
        """Handles a datagram, or drops a large one while such take too much time."""
        if not self._work.may_handle(len(data), now=time.monotonic()):
            return
        started = time.thread_time()
        try:
            self._apply(data)
        finally:
            if len(data) > _SMALL_BYTES:
                self._work.record(time.thread_time() - started, now=time.monotonic())

    def _apply(self, data: bytes) -> None:
        """Records a heartbeat and calls the callbacks; ignores an invalid datagram."""
        if data.startswith(b"{"):
            self._on_report(data)
            return
        try:
            heartbeat = decode_message(data, Heartbeat, source="heartbeat")
        except DocumentError:
            return
        changed = self._vms.record_heartbeat(heartbeat, now=asyncio.get_running_loop().time())
        if changed is not None:
            self._on_change(changed)
        self._on_positions(heartbeat.positions, heartbeat.vm)

    async def run(self) -> None:
        """Sends a round of heartbeats every ``INTERVAL_S`` seconds, until cancelled."""
        loop = asyncio.get_running_loop()
        start_ends_at = loop.time() + _START_S
        while True:
            self._is_starting = loop.time() < start_ends_at
            self.send()
            self._on_sent()
            await asyncio.sleep(_START_INTERVAL_S if self._is_starting else INTERVAL_S)

    def send(self) -> None:
        """Sends the heartbeats of one round.

        The recipients depend on whether this VM is a reader of its failure domain, as the module
        docstring describes.
        """
        now = asyncio.get_running_loop().time()
        self._rounds += 1
        own = self._vms.own
        readers = self._vms.readers(now=now)
        is_reader = own in readers
        own_reports = self._vms.state_reports(now=now, is_reader=is_reader)
        if not is_reader:
            self._send(self._vms.make_heartbeat(self._positions(), own_reports or None), readers)
            return
        own_reports[own.failure_domain] = [self._vms.own_report(now=now)]
        all_reports = self._vms.known_reports(now=now)
        for topic, reports in own_reports.items():
            all_reports[topic] = [*all_reports.get(topic, ()), *reports]
        self._send(self._vms.make_heartbeat(self._positions(), all_reports), self._vms.domain_peers)
        remote = [record for record in self._vms.remote_readers(now=now) if self._is_due(record)]
        self._send(self._vms.make_heartbeat(self._positions(), own_reports), remote)

    def send_early(self, *, include_remote: bool) -> None:
        """Sends a heartbeat at once because of a newer configuration, if this VM is a reader.

        Args:
            include_remote: Whether to send it to readers of other failure domains too.
        """
        now = asyncio.get_running_loop().time()
        if now - self._last_early_at < MIN_EARLY_GAP_S or self._vms.own not in self._vms.readers(
            now=now
        ):
            return
        self._last_early_at = now
        heartbeat = self._vms.make_heartbeat(self._positions())
        self._send(heartbeat, self._vms.domain_peers)
        if include_remote:
            self._send(heartbeat, self._vms.remote_readers(now=now))

    def send_final(self) -> None:
        """Sends a heartbeat to the own failure domain and to the readers of all others.

        It is sent when this VM stops, so that the stop is known at once.
        """
        now = asyncio.get_running_loop().time()
        heartbeat = self._vms.make_heartbeat(self._positions())
        self._send(heartbeat, [*self._vms.domain_peers, *self._vms.remote_readers(now=now)])

    def _is_due(self, record: VmRecord) -> bool:
        every = SAME_REGION_EVERY if self._vms.is_in_own_region(record) else OTHER_REGION_EVERY
        return self._is_starting or self._rounds % every == 0

    def _send(self, heartbeat: Heartbeat, records: list[VmRecord]) -> None:
        if records:
            self.send_datagram(msgspec.json.encode(heartbeat), records)

    def send_datagram(self, data: bytes, records: Sequence[VmRecord]) -> None:
        """Sends a datagram to VMs; does nothing before the socket is open."""
        if self._transport is None:
            return
        for record in records:
            host, _, port = record.sibling_address.rpartition(":")
            # A full socket buffer drops this datagram; the next one replaces it.
            with contextlib.suppress(OSError):
                self._transport.sendto(data, (host, int(port)))
