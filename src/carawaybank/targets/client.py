"""Sends requests and probes to targets and classifies the results."""

import time

from carawaybank import headers
from carawaybank.steering.messages import AttemptEnded, Dispatch, ProbeEnded
from carawaybank.steering.pools import PoolTarget
from carawaybank.steering.targetstate import ProbeResult
from carawaybank.transport import HttpRequest, Outcome, Transport
from carawaybank.verdicts import Answered, MayHaveRun, NotRun, Reason

_PROBE_TIMEOUT_S = 0.5
#: Time limit in seconds of the probe that distinguishes a crashed target from a lost connection.
_CRASH_CHECK_TIMEOUT_S = 0.3
_PROBE_PATH = "/health"
#: Outcomes after which the target may still be running the request.
_LINGERING_REASONS = frozenset({Reason.TIMEOUT, Reason.ANSWER_OF_ANOTHER_REQUEST})


class TargetClient:
    """Sends requests and probes to targets."""

    def __init__(self, *, transport: Transport) -> None:
        """Creates a client that uses a transport.

        Args:
            transport: Connections to targets.
        """
        self._transport = transport

    async def dispatch(self, action: Dispatch, request: HttpRequest) -> AttemptEnded:
        """Sends a request to the target of an action; returns how the attempt ended.

        If a new connection breaks, the target counts as crashed. If a reused connection breaks, a
        probe on a new connection decides whether it crashed.
        """
        started = time.monotonic()
        outcome = await self._transport.send(
            action.address,
            _with_deadline(request, action.deadline),
            deadline=action.deadline,
            reuse_deadline=action.reuse_deadline,
            fresh=action.fresh_connection,
        )
        latency_s = time.monotonic() - started
        return await self._classify(action, outcome, latency_s)

    async def probe(self, target: PoolTarget) -> ProbeEnded:
        """Probes a target on a new connection; returns its state, load and latency."""
        request = HttpRequest("GET", _PROBE_PATH, {"Connection": "close"})
        started = time.monotonic()
        deadline = started + _PROBE_TIMEOUT_S
        outcome = await self._transport.send(target.address, request, deadline=deadline, fresh=True)
        verdict = outcome.verdict
        if not isinstance(verdict, Answered):
            return ProbeEnded(target.name, ProbeResult.UNREACHABLE)
        busy = _find_header(verdict, headers.BUSY)
        draining = _find_header(verdict, headers.DRAINING) == "true"
        result = ProbeResult.DRAINING if draining else ProbeResult.SERVING
        latency_s = time.monotonic() - started
        return ProbeEnded(target.name, result, int(busy) if busy.isdecimal() else None, latency_s)

    async def _classify(self, action: Dispatch, outcome: Outcome, latency_s: float) -> AttemptEnded:
        verdict = outcome.verdict
        if isinstance(verdict, Answered):
            draining = _find_header(verdict, headers.DRAINING) == "true"
            if _find_header(verdict, headers.NOT_RUN) == "true":
                retry_after_s = _parse_retry_after_s(_find_header(verdict, "Retry-After"))
                shed = NotRun(Reason.TARGET_SHED, retry_after_s, "the target shed the request")
                return AttemptEnded(action.key, shed, latency_s, draining=draining)
            answered = verdict._replace(target=action.target)
            return AttemptEnded(action.key, answered, latency_s, draining=draining)
        if isinstance(verdict, NotRun):
            return AttemptEnded(action.key, verdict, latency_s)
        crashed = outcome.broken and (
            not outcome.reused or not await self._accepts_requests(action.address)
        )
        if crashed:
            verdict = MayHaveRun(Reason.TARGET_CRASHED, 1.0, "the target was lost while it ran")
        may_linger = verdict.reason in _LINGERING_REASONS
        return AttemptEnded(action.key, verdict, latency_s, crashed, may_linger)

    async def _accepts_requests(self, address: str) -> bool:
        probe = HttpRequest("GET", _PROBE_PATH, {"Connection": "close"})
        deadline = time.monotonic() + _CRASH_CHECK_TIMEOUT_S
        outcome = await self._transport.send(address, probe, deadline=deadline, fresh=True)
        return isinstance(outcome.verdict, Answered)


def _with_deadline(request: HttpRequest, deadline: float) -> HttpRequest:
    remaining_s = max(0.0, deadline - time.monotonic())
    deadline_at = f"{time.time() + remaining_s:.3f}"
    return request._replace(headers={**request.headers, headers.DEADLINE_AT: deadline_at})


def _find_header(response: Answered, name: str) -> str:
    wanted = name.lower()
    return next((value for key, value in response.headers if key.lower() == wanted), "")


def _parse_retry_after_s(text: str) -> float:
    return float(text) if text.isdecimal() else 1.0
