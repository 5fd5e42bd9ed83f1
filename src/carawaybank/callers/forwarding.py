"""Forwarding: performs what the decision core says until the request has a verdict."""

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
    Message,
    PassOn,
    Relay,
    RequestArrived,
    RequestInfo,
)
from carawaybank.targets.client import TargetClient
from carawaybank.transport import HttpRequest
from carawaybank.verdicts import Verdict


class CrashAnnouncer(Protocol):
    """Tells siblings of crashes."""

    def announce_crash(self) -> None:
        """Tells all reachable siblings, within a short time."""


class Ended(NamedTuple):
    """A request that has its verdict.

    Attributes:
        verdict: The verdict.
        tried: Targets that it was at here.
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
        announcer: CrashAnnouncer,
        counters: Counters,
    ) -> None:
        """Takes what requests are performed with.

        Args:
            host: The decision core.
            targets: Dispatches to targets.
            siblings: Relays to siblings.
            announcer: Tells siblings of crashes.
            counters: Counts requests and attempts.
        """
        self._host = host
        self._targets = targets
        self._siblings = siblings
        self._announcer = announcer
        self._counters = counters
        self._keys = itertools.count(1)
        self._in_flight = 0

    @property
    def in_flight(self) -> int:
        """Requests under way."""
        return self._in_flight

    async def run(
        self,
        info: RequestInfo,
        request: HttpRequest,
        *,
        relayed: bool = False,
        passed_on: bool = False,
        tried: tuple[str, ...] = (),
    ) -> Ended:
        """Returns how a request ended.

        Args:
            info: What steering needs to know.
            request: What goes to a target.
            relayed: Whether a sibling sent it to be run on an owned target.
            passed_on: Whether a sibling sent it because its id is bound here.
            tried: Targets that it was at before.
        """
        started = time.monotonic()
        self._in_flight += 1
        try:
            arrived = RequestArrived(next(self._keys), info, relayed, passed_on, tried)
            ended = await self._perform(arrived, request, info)
        finally:
            self._in_flight -= 1
        self._counters.count_request(info.service, ended.verdict, time.monotonic() - started)
        return ended

    async def _perform(self, arrived: Message, request: HttpRequest, info: RequestInfo) -> Ended:
        tried: list[str] = []
        message = arrived
        while True:
            (action,) = self._host.handle(message)
            if isinstance(action, Finish):
                return Ended(action.verdict, tuple(tried))
            if isinstance(action, Dispatch):
                tried.append(action.target)
            message = await self._perform_step(action, request, info)

    async def _perform_step(
        self, action: Action, request: HttpRequest, info: RequestInfo
    ) -> Message:
        match action:
            case Dispatch():
                self._counters.count_attempt(info.service)
                return await self._targets.dispatch(action, request)
            case Relay():
                return await self._siblings.relay(action, request, info)
            case PassOn():
                return await self._siblings.pass_on(action, request, info)
            case AnnounceCrash():
                await asyncio.to_thread(self._announcer.announce_crash)
                return CrashAnnounced(action.key)
        raise TypeError(action)
