"""Delays, cuts and resets of the links between callers, entry VMs and targets.

A link is a layer between the socket and the protocol of the caller's or target's end of a
connection, so that it takes no process of its own. The entry VM's end is the product's and has no
such layer: what passes is delayed in both directions at the other end. VMs connect to targets from
127.0.0.1, so that a target cannot tell them apart and uses the mean over all VMs.
"""

import asyncio
import random
import socket
import struct
import weakref
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from functools import partial
from typing import Any, NamedTuple, TypedDict

#: Units of one-way delays from the beginning of a handshake at the VM until its first bytes arrive.
HANDSHAKE_DELAYS = 3
#: Value of the option with which a socket is closed by a reset.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class LinkDelays(TypedDict):
    """One-way delays of a deployment's links in milliseconds.

    Attributes:
        caller_ms: Between a caller and a VM of its failure domain.
        in_domain_ms: Within a failure domain.
        cross_domain_ms: Between failure domains of a region.
        cross_region_ms: Between regions.
        jitter: Largest deviation of a single delay, as a share of it.
    """

    caller_ms: float
    in_domain_ms: float
    cross_domain_ms: float
    cross_region_ms: float
    jitter: float


_NO_DELAYS = LinkDelays(
    caller_ms=0.0, in_domain_ms=0.0, cross_domain_ms=0.0, cross_region_ms=0.0, jitter=0.0
)


class Site(NamedTuple):
    """Failure domain and region of one end of a link."""

    failure_domain: str
    region: str


def delay_s(delays: LinkDelays, one: Site, other: Site) -> float:
    """Returns the mean one-way delay in seconds between two processes of the deployment."""
    if one.region != other.region:
        return delays["cross_region_ms"] / 1000
    if one.failure_domain != other.failure_domain:
        return delays["cross_domain_ms"] / 1000
    return delays["in_domain_ms"] / 1000


def caller_delay_s(delays: LinkDelays, caller: Site, vm: Site) -> float:
    """Returns the mean one-way delay in seconds between a caller and an entry VM."""
    farther_s = delay_s(delays, caller, vm) if caller != vm else 0.0
    return delays["caller_ms"] / 1000 + farther_s


def mean_delay_s(delays: LinkDelays, one: Site, others: Iterable[Site]) -> float:
    """Returns the mean of the one-way delays in seconds from one process to several."""
    found = [delay_s(delays, one, other) for other in others]
    return sum(found) / len(found)


def reset_on_close(transport: asyncio.BaseTransport) -> None:
    """Makes the close of a connection a reset, unless its socket is closed already.

    The socket of a link may be closed while its end is still on its way to the protocol.
    """
    sock = transport.get_extra_info("socket")
    if sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)


class Delay:
    """Draws one-way delays around a mean."""

    def __init__(self, *, mean_s: float, jitter: float, rng: random.Random) -> None:
        """Keeps the distribution.

        Args:
            mean_s: Mean delay in seconds.
            jitter: Largest deviation as a share of the mean.
            rng: Source of the deviations.
        """
        self.mean_s = mean_s
        self._jitter, self._rng = jitter, rng

    def draw_s(self) -> float:
        """Returns the delay of one segment in seconds."""
        return self.mean_s * (1.0 + self._jitter * self._rng.uniform(-1.0, 1.0))


class DelayLine:
    """Makes calls after a delay, in the order in which they were added.

    Attributes:
        pending_bytes: Bytes of the calls that were not made yet.
    """

    def __init__(self, *, delay: Delay) -> None:
        """Creates an empty line.

        Args:
            delay: Draws the delay of each call.
        """
        self.pending_bytes = 0
        self._delay = delay
        self._loop = asyncio.get_running_loop()
        self._calls: deque[tuple[float, int, Callable[[], object]]] = deque()
        self._opens_at = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def add(self, call: Callable[[], object], *, size: int = 0) -> None:
        """Adds a call, with the number of bytes that it delivers.

        A call whose delay is shorter than that of the one before it waits for that one.
        """
        self._calls.append((self._loop.time() + self._delay.draw_s(), size, call))
        self.pending_bytes += size
        if self._timer is None:
            self._set_timer()

    def hold(self, until: float) -> None:
        """Makes no call before a time of the event loop."""
        self._opens_at = max(self._opens_at, until)

    def clear(self) -> int:
        """Discards what has not arrived, and returns its bytes."""
        discarded = self.pending_bytes
        self._calls.clear()
        self.pending_bytes = 0
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        return discarded

    def _set_timer(self) -> None:
        due_at = max(self._calls[0][0], self._opens_at)
        self._timer = self._loop.call_at(due_at, self._deliver)

    def _deliver(self) -> None:
        self._timer = None
        now = self._loop.time()
        while self._calls and max(self._calls[0][0], self._opens_at) <= now:
            _, size, call = self._calls.popleft()
            self.pending_bytes -= size
            call()
        if self._calls and self._timer is None:
            self._set_timer()


class LinkTransport(asyncio.Transport):
    """The transport that the protocol at the caller's or target's end sees."""

    def __init__(self, *, link: "Link", transport: asyncio.Transport) -> None:
        """Wraps the transport of a socket.

        Args:
            link: The link to which the transport belongs.
            transport: Transport of the socket to the VM.
        """
        super().__init__()
        self._link, self._transport = link, transport

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Returns what the socket's transport knows, or the bytes that a reset discarded."""
        if name == "discarded_bytes":
            return self._link.discarded_bytes
        return self._transport.get_extra_info(name, default)

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Sets the limits of the socket's transport."""
        self._transport.set_write_buffer_limits(high, low)

    def get_write_buffer_size(self) -> int:
        """Returns the bytes on their way to the VM and those that the socket has not taken."""
        return self._link.outbound.pending_bytes + self._transport.get_write_buffer_size()

    def is_reading(self) -> bool:
        """Returns whether bytes of the VM are taken from the socket."""
        return self._transport.is_reading()

    def pause_reading(self) -> None:
        """Takes no bytes from the socket; those that were taken still arrive."""
        self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Takes bytes from the socket again."""
        self._transport.resume_reading()

    def is_closing(self) -> bool:
        """Returns whether this end has closed the connection or was told of its end."""
        return self._link.is_ended

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Sends bytes, which reach the VM after the delay."""
        if not self._link.is_ended:
            self._link.outbound.add(partial(self._transport.write, bytes(data)), size=len(data))

    def write_eof(self) -> None:
        """Sends the end of the stream, which reaches the VM after the delay."""
        if not self._link.is_ended:
            self._link.outbound.add(self._transport.write_eof)

    def can_write_eof(self) -> bool:
        """Returns whether the end of the stream can be sent."""
        return True

    def close(self) -> None:
        """Closes this end at once; the VM sees it after the delay."""
        self._link.end(self._transport.close)

    def abort(self) -> None:
        """Closes this end at once, without waiting for unsent bytes."""
        self._link.end(self._transport.abort)


class Link(asyncio.Protocol):
    """The link of one connection.

    Attributes:
        is_ended: Whether the protocol has closed the connection or was told of its end.
        discarded_bytes: Bytes from the VM that a reset discarded on their way.
        outbound: What is on its way to the VM.
        inbound: What is on its way from the VM.
        vm: Address of the VM; empty if it is not known.
    """

    def __init__(
        self,
        *,
        protocol: asyncio.Protocol,
        delay: Delay,
        vm: str = "",
        is_accepted: bool = False,
    ) -> None:
        """Creates a link that has no socket yet.

        Args:
            protocol: Protocol of the caller's or target's end.
            delay: Draws one-way delays.
            vm: Address of the VM.
            is_accepted: Whether the VM opens the connection; it then learns at once that it is
                open, and its first bytes are delayed by the handshake too.
        """
        self.is_ended = False
        self.discarded_bytes = 0
        self.vm = vm
        self.outbound, self.inbound = DelayLine(delay=delay), DelayLine(delay=delay)
        self._protocol, self._delay = protocol, delay
        self._is_accepted = is_accepted
        self._transport: asyncio.Transport | None = None

    def end(self, close: Callable[[], None]) -> None:
        """Ends the connection for the protocol at once, and for the VM after the delay."""
        if self.is_ended:
            return
        self.is_ended = True
        self.inbound.clear()
        self.outbound.add(close)
        asyncio.get_running_loop().call_soon(self._protocol.connection_lost, None)

    def abort(self) -> None:
        """Closes the connection from this end, if it was opened."""
        if self._transport is not None:
            self.end(self._transport.abort)

    def reset(self) -> None:
        """Resets the connection on its way: nothing that is on it reaches either end."""
        if self._transport is not None:
            self.outbound.clear()
            reset_on_close(self._transport)
            self._transport.abort()
        self._lose(ConnectionResetError("reset by the link"))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Tells the protocol of the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if self._is_accepted:
            handshake_s = HANDSHAKE_DELAYS * self._delay.mean_s
            self.inbound.hold(asyncio.get_running_loop().time() + handshake_s)
        self._protocol.connection_made(LinkTransport(link=self, transport=transport))

    def data_received(self, data: bytes) -> None:
        """Delivers bytes of the VM after the delay."""
        if not self.is_ended:
            self.inbound.add(partial(self._receive, data), size=len(data))

    def eof_received(self) -> bool:
        """Delivers the VM's end of the stream after the delay, and keeps the socket until then."""
        if not self.is_ended:
            self.inbound.add(self._receive_eof)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Delivers a reset after the delay; bytes that are on their way are discarded."""
        self.outbound.clear()
        self._lose(exc)

    def pause_writing(self) -> None:
        """Passes on that bytes wait for the kernel."""
        self._protocol.pause_writing()

    def resume_writing(self) -> None:
        """Passes on that the kernel has taken all bytes."""
        self._protocol.resume_writing()

    def _lose(self, exc: Exception | None) -> None:
        if self.is_ended:
            return
        if exc is not None:
            self.discarded_bytes += self.inbound.clear()
        self.inbound.add(partial(self._report_loss, exc))

    def _report_loss(self, exc: Exception | None) -> None:
        if not self.is_ended:
            self.is_ended = True
            self.inbound.clear()
            self._protocol.connection_lost(exc)

    def _receive(self, data: bytes) -> None:
        if not self.is_ended:
            self._protocol.data_received(data)

    def _receive_eof(self) -> None:
        if not self.is_ended and not self._protocol.eof_received() and self._transport is not None:
            self.end(self._transport.close)


class Links:
    """The links of a process that sends load or hosts targets."""

    def __init__(
        self, *, delays: LinkDelays | None, vms: Mapping[str, Site], rng: random.Random
    ) -> None:
        """Creates the links of a process without connections.

        Args:
            delays: Delays of the deployment; None for links without delay.
            vms: Failure domain and region of each VM by its address for requests.
            rng: Source of jitter and of the connections that a fault resets.
        """
        self._delays = delays or _NO_DELAYS
        self._vms, self._rng = vms, rng
        self._open: weakref.WeakSet[Link] = weakref.WeakSet()
        self._cut_until: dict[str, float] = {}

    async def connect(self, protocol: asyncio.Protocol, address: str, *, caller: Site) -> None:
        """Connects a caller to a VM, which takes one delay in each direction.

        Raises:
            OSError: If the connection is refused.
        """
        mean_s = caller_delay_s(self._delays, caller, self._vms[address])
        delay = self._make_delay(mean_s)
        loop = asyncio.get_running_loop()
        # Whichever direction is cut, a handshake does not end before the link is restored.
        restored_at = self._cut_until.get(address, 0.0)
        await asyncio.sleep(delay.draw_s() + max(0.0, restored_at - loop.time()))
        link = Link(protocol=protocol, delay=delay, vm=address)
        host, _, port = address.rpartition(":")
        try:
            await loop.create_connection(lambda: link, host, int(port))
        finally:
            try:
                await asyncio.sleep(delay.draw_s())
            except asyncio.CancelledError:
                link.abort()
                raise
        self._open.add(link)

    def accept(self, protocol: asyncio.Protocol, *, target: Site) -> Link:
        """Returns the protocol of a connection that a VM opens to a target."""
        mean_s = mean_delay_s(self._delays, target, self._vms.values())
        return Link(protocol=protocol, delay=self._make_delay(mean_s), is_accepted=True)

    def cut(self, vm: str, *, is_to_vm: bool, for_s: float) -> None:
        """Holds what passes between callers and a VM in one direction, as retransmissions do.

        Args:
            vm: Address of the VM.
            is_to_vm: Whether the direction towards the VM is cut.
            for_s: Seconds until the link is restored.
        """
        until = asyncio.get_running_loop().time() + for_s
        self._cut_until[vm] = until
        for link in self._links_of(vm):
            (link.outbound if is_to_vm else link.inbound).hold(until)

    def silence(self, vm: str, *, for_s: float) -> None:
        """Holds what passes on the open connections of callers to a VM in both directions."""
        until = asyncio.get_running_loop().time() + for_s
        for link in self._links_of(vm):
            link.outbound.hold(until)
            link.inbound.hold(until)

    def reset(self, vm: str, *, share: float) -> None:
        """Resets a share of the open connections of callers to a VM."""
        for link in self._links_of(vm):
            if self._rng.random() < share:
                link.reset()

    def _links_of(self, vm: str) -> list[Link]:
        return [link for link in self._open if link.vm == vm and not link.is_ended]

    def _make_delay(self, mean_s: float) -> Delay:
        return Delay(mean_s=mean_s, jitter=self._delays["jitter"], rng=self._rng)
