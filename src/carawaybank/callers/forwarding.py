"""Executes the actions of the decision core until a request has a verdict."""

import asyncio
import itertools
import time
from typing import NamedTuple, Protocol

from carawaybank.counters import Counters
from carawaybank.host import Host
from carawaybank.siblings.client import SiblingClient
from carawaybank.steering.messages import (
    Action,
    AnnounceCrash,
    CrashAnnounced,
    Dispatch,
    Finish,
    ForwardToBoundVm,
    Message,
    Relay,
    RequestArrived,
    RequestInfo,
)
from carawaybank.targets.client import TargetClient
from carawaybank.transport import HttpRequest
from carawaybank.verdicts import Verdict


class CrashReporter(Protocol):
    """Reports crashes of targets to siblings."""

    def report_crashes(self) -> None:
        """Sends the crash reports to siblings; blocks until they respond, with a short timeout."""


class ForwardResult(NamedTuple):
    """The outcome of a request at this entry VM.

    Attributes:
        verdict: The verdict.
        tried: Names of the targets to which this entry VM sent the request, in order.
    """

    verdict: Verdict
    tried: tuple[str, ...]


class Forwarder:
    """Runs requests from arrival to verdict."""

    def __init__(
        self,
        *,
        host: Host,
        targets: TargetClient,
        siblings: SiblingClient,
        crash_reporter: CrashReporter,
        counters: Counters,
    ) -> None:
        """Starts with no request in flight.

        Args:
            host: The decision core.
            targets: Sends requests to targets.
            siblings: Sends requests to siblings.
            crash_reporter: Reports crashes to siblings.
            counters: Counts requests and attempts.
        """
        self._host = host
        self._targets = targets
        self._siblings = siblings
        self._crash_reporter = crash_reporter
        self._counters = counters
        self._request_keys = itertools.count(1)
        self._in_flight = 0

    @property
    def in_flight(self) -> int:
        """Number of requests that have no verdict yet."""
        return self._in_flight

    async def run(
        self,
        info: RequestInfo,
        request: HttpRequest,
        *,
        relayed: bool = False,
        forwarded: bool = False,
        tried: tuple[str, ...] = (),
    ) -> ForwardResult:
        """Runs a request until it has a verdict, and counts it.

        Args:
            info: The data that steering decides on.
            request: The request to send to a target.
            relayed: Whether a sibling sent it to be run on a target that this entry VM owns.
            forwarded: Whether a sibling sent it because its id is bound to this entry VM.
            tried: Targets to which other entry VMs have already sent it.

        Returns:
            The verdict and the targets tried here.
        """
        started_at = time.monotonic()
        self._in_flight += 1
        try:
            arrival = RequestArrived(next(self._request_keys), info, relayed, forwarded, tried)
            result = await self._run_to_verdict(arrival, request, info)
        finally:
            self._in_flight -= 1
        self._counters.count_request(info.service, result.verdict, time.monotonic() - started_at)
        return result

    async def _run_to_verdict(
        self, arrival: Message, request: HttpRequest, info: RequestInfo
    ) -> ForwardResult:
        tried: list[str] = []
        message = arrival
        while True:
            (action,) = self._host.handle(message)
            if isinstance(action, Finish):
                return ForwardResult(action.verdict, tuple(tried))
            if isinstance(action, Dispatch):
                tried.append(action.target)
            message = await self._execute(action, request, info)

    async def _execute(self, action: Action, request: HttpRequest, info: RequestInfo) -> Message:
        match action:
            case Dispatch():
                self._counters.count_attempt(info.service)
                return await self._targets.dispatch(action, request)
            case Relay():
                return await self._siblings.relay(action, request, info)
            case ForwardToBoundVm():
                return await self._siblings.forward_bound(action, request, info)
            case AnnounceCrash():
                await asyncio.to_thread(self._crash_reporter.report_crashes)
                return CrashAnnounced(action.key)
        raise TypeError(action)
