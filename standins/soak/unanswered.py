"""Requests that got no answer before their caller's deadline, by VM and time around its stop."""

from collections import Counter
from typing import NamedTuple

from standins.soak.history import Event, History, Request

#: Seconds before SIGTERM from which a request counts as sent around it.
BEFORE_STOP_S = 5.0


class Unanswered(NamedTuple):
    """A request without any answer at its caller's deadline.

    Attributes:
        request: The request.
        stop: SIGTERM of its VM around which it was sent, if any.
    """

    request: Request
    stop: Event | None

    @property
    def second(self) -> int | None:
        """Whole seconds from SIGTERM to the sending, negative before; None apart from a stop."""
        return None if self.stop is None else int((self.request.sent_at - self.stop.at) // 1)


def find_unanswered(history: History) -> list[Unanswered]:
    """Returns the requests without any answer in their time, by the time of sending."""
    return [
        Unanswered(request, _find_stop(history, request))
        for request in history.requests
        if request.outcome == "timeout" and not request.status
    ]


def summarize_unanswered(history: History) -> list[str]:
    """Returns lines with counts by VM and whole seconds from its SIGTERM."""
    found = find_unanswered(history)
    lines = [
        f"requests without any answer in their time: {len(found)} of {len(history.requests)};"
        " by VM, and by whole seconds from its SIGTERM to when they were sent"
    ]
    for vm, count in sorted(Counter(each.request.vm for each in found).items()):
        seconds = Counter(each.second for each in found if each.request.vm == vm)
        apart = seconds.pop(None, 0)
        known = sorted((second, each) for second, each in seconds.items() if second is not None)
        parts = [f"{second} s: {each}" for second, each in known]
        parts += [f"apart from a stop: {apart}"] if apart else []
        lines.append(f"  {count:7} {vm or '-'}: {', '.join(parts)}")
    return lines


def _find_stop(history: History, request: Request) -> Event | None:
    """Returns the SIGTERM of the VM that is nearest to the sending of a request, if any is near."""
    near = [
        stop
        for stop in history.find_events("SIGTERM", vm=request.vm)
        if -BEFORE_STOP_S <= request.sent_at - stop.at <= history.bounds.graceS
    ]
    return min(near, key=lambda stop: abs(request.sent_at - stop.at), default=None)
