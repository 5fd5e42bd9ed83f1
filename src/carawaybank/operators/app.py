"""What operators see: tickets, read-back, dumps, metrics and planned stops."""

from collections.abc import Callable
from typing import Any

from carawaybank import documents, exposition
from carawaybank.counters import verdict_name
from carawaybank.exceptions import DocumentError, PlatformError
from carawaybank.exposition import Exposition
from carawaybank.host import Host
from carawaybank.operators.documents import SubmissionResult
from carawaybank.operators.readback import STATUS_PATH, ReadBack
from carawaybank.steering.tickets import AcceptedTicket, TicketDocument
from carawaybank.storage.tasks import PlatformTask
from carawaybank.storage.tickets import Accepted, Submission, TicketStore
from carawaybank.web import (
    BadRequestError,
    Router,
    WebRequest,
    WebResponse,
    in_thread,
    json_response,
)

TICKETS_PATH = "/v1/tickets"
EFFECT_PATH = "/v1/tickets/effect"
FLEET_PATH = "/v1/fleet"
DUMP_PATH = "/v1/dump"
DRAIN_PATH = "/v1/drain"
INCIDENTS_PATH = "/v1/incidents"
METRICS_PATH = "/metrics"
STATE_PATH = "/v1/state"
_HISTORY_LENGTH = 50


class OperatorsApp:
    """Handlers for the command-line tool."""

    def __init__(
        self,
        *,
        host: Host,
        read_back: ReadBack,
        tickets: TicketStore,
        platform: PlatformTask,
        metrics: Exposition,
        stop: Callable[[], None],
    ) -> None:
        """Takes what operators may use.

        Args:
            host: The decision core.
            read_back: Answers questions.
            tickets: Accepts tickets.
            platform: Knows when the platform was last reached.
            metrics: Serves the metrics.
            stop: Begins a planned stop of this daemon.
        """
        self._host = host
        self._read_back = read_back
        self._tickets = tickets
        self._platform = platform
        self._metrics = metrics
        self._stop = stop

    def mount(self, router: Router) -> None:
        """Mounts the handlers."""
        router.mount(TICKETS_PATH, in_thread(self.submit_or_list), methods=("GET", "POST"))
        router.mount(EFFECT_PATH, in_thread(self.show_effect), methods=("POST",))
        router.mount(STATUS_PATH, in_thread(self.show_status))
        router.mount(FLEET_PATH, in_thread(self.show_fleet))
        router.mount(INCIDENTS_PATH, in_thread(self.show_incidents))
        router.mount(DUMP_PATH, in_thread(self.show_dump))
        router.mount(STATE_PATH, in_thread(self.show_state))
        router.mount(DRAIN_PATH, in_thread(self.drain), methods=("POST",))
        router.mount(METRICS_PATH, in_thread(self.show_metrics))
        router.mount_prefix(TICKETS_PATH + "/", in_thread(self.show_ticket))

    def submit_or_list(self, request: WebRequest) -> WebResponse:
        """Accepts a ticket, or lists those kept in memory."""
        if request.method == "GET":
            return json_response(self._history())
        submission = self._tickets.submit(_read_ticket(request), accepted_at=self._host.wall_time)
        if isinstance(submission, Accepted):
            self._bring_in()
        result = _describe(submission)
        return json_response(result)

    def show_ticket(self, request: WebRequest) -> WebResponse:
        """Answers with one accepted ticket."""
        number = request.path[len(TICKETS_PATH) + 1 :]
        if not number.isdecimal():
            raise BadRequestError(detail="a ticket is asked for by its number")
        try:
            found = self._tickets.read(int(number))
        except PlatformError as error:
            kept = {t["ticket"]["number"]: t for t in self._host.log.history()}
            if int(number) not in kept:
                raise BadRequestError(detail=str(error), status=503) from None
            found = kept[int(number)]
        if found is None:
            raise BadRequestError(detail=f"there is no ticket {number}", status=404)
        return json_response(found)

    def show_effect(self, request: WebRequest) -> WebResponse:
        """Answers with what a ticket would change."""
        return json_response(self._read_back.effect(_read_ticket(request)))

    def show_status(self, _: WebRequest) -> WebResponse:
        """Answers with this entry VM's report."""
        return json_response(self._read_back.own_status(self._platform_age_s()))

    def show_fleet(self, _: WebRequest) -> WebResponse:
        """Answers with the reports of all entry VMs."""
        return json_response(self._read_back.fleet_status(self._platform_age_s()))

    def show_dump(self, _: WebRequest) -> WebResponse:
        """Answers with the state of this process."""
        return json_response(self._read_back.dump())

    def show_state(self, _: WebRequest) -> WebResponse:
        """Answers with the state in force."""
        return json_response(self._host.state._asdict())

    def show_metrics(self, _: WebRequest) -> WebResponse:
        """Answers with metrics in the Prometheus format."""
        self._metrics.load()
        text = self._metrics.text() or b""
        return WebResponse(200, (("Content-Type", exposition.CONTENT_TYPE),), text)

    def drain(self, _: WebRequest) -> WebResponse:
        """Begins a planned stop of this daemon."""
        self._stop()
        return json_response({"draining": self._host.membership.own.vm}, status=202)

    def show_incidents(self, _: WebRequest) -> WebResponse:
        """Answers with requests of unknown outcome, of all entry VMs."""
        try:
            return json_response(self._platform.incidents.read())
        except PlatformError as error:
            raise BadRequestError(detail=str(error), status=503) from None

    def _history(self) -> list[AcceptedTicket]:
        try:
            return self._tickets.read_after(max(0, self._tickets.head() - _HISTORY_LENGTH))
        except PlatformError:
            return self._host.log.history()

    def _bring_in(self) -> None:
        try:
            self._host.accept_tickets(self._tickets.read_after(self._host.log.held))
        except PlatformError:
            return

    def _platform_age_s(self) -> float:
        reached_at = self._platform.reached_at
        return -1.0 if reached_at is None else round(self._host.now - reached_at, 3)


def _read_ticket(request: WebRequest) -> TicketDocument:
    try:
        return documents.decode_json(request.body, TicketDocument, source="ticket")
    except DocumentError as error:
        raise BadRequestError(detail=str(error), status=422) from None


def _describe(submission: Submission) -> SubmissionResult:
    if isinstance(submission, Accepted):
        detail = "accepted before by the same command" if submission.repeated else "accepted"
        return SubmissionResult(
            verdict="accepted",
            number=submission.number,
            reason="",
            detail=detail,
            retry_after_s=0.0,
        )
    result: dict[str, Any] = {
        "verdict": verdict_name(submission),
        "number": 0,
        "reason": str(submission.reason),
        "detail": submission.detail,
        "retry_after_s": submission.retry_after_s,
    }
    return documents.convert(result, SubmissionResult, source="submission")
