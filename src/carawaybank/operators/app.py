"""HTTP handlers for operators: tickets, status, state dumps, incidents, metrics, planned stops."""

from collections.abc import Callable
from typing import Any

from carawaybank import documents, exposition
from carawaybank.counters import verdict_name
from carawaybank.exceptions import DocumentError, PlatformError
from carawaybank.exposition import Exposition
from carawaybank.host import Host
from carawaybank.operators.documents import SubmissionResult
from carawaybank.operators.status import STATUS_PATH, StatusReports
from carawaybank.steering.tickets import AcceptedTicket, TicketDocument
from carawaybank.storage.poller import PlatformPoller
from carawaybank.storage.tickets import Accepted, Submission, TicketStore
from carawaybank.web import (
    BadRequestError,
    Router,
    WebRequest,
    WebResponse,
    json_response,
    run_in_thread,
)

TICKETS_PATH = "/v1/tickets"
EFFECT_PATH = "/v1/tickets/effect"
FLEET_PATH = "/v1/fleet"
DUMP_PATH = "/v1/dump"
DRAIN_PATH = "/v1/drain"
INCIDENTS_PATH = "/v1/incidents"
METRICS_PATH = "/metrics"
STATE_PATH = "/v1/state"
_MAX_HISTORY_TICKETS = 50


class OperatorsApp:
    """Handlers of the control address, which the command-line tool calls."""

    def __init__(
        self,
        *,
        host: Host,
        status_reports: StatusReports,
        tickets: TicketStore,
        poller: PlatformPoller,
        metrics: Exposition,
        stop: Callable[[], None],
    ) -> None:
        """Creates the handlers; :meth:`mount` registers them.

        Args:
            host: The decision core.
            status_reports: Collects status reports, state dumps and the effects of tickets.
            tickets: Reads and accepts tickets.
            poller: Provides the time of the last successful read and the stored incidents.
            metrics: Formats the metrics.
            stop: Begins a planned stop of this daemon.
        """
        self._host = host
        self._status_reports = status_reports
        self._tickets = tickets
        self._poller = poller
        self._metrics = metrics
        self._stop = stop

    def mount(self, router: Router) -> None:
        """Registers the handlers with a router; each runs in a thread, as they may block."""
        router.mount(TICKETS_PATH, run_in_thread(self.handle_tickets), methods=("GET", "POST"))
        router.mount(EFFECT_PATH, run_in_thread(self.show_effect), methods=("POST",))
        router.mount(STATUS_PATH, run_in_thread(self.show_status))
        router.mount(FLEET_PATH, run_in_thread(self.show_fleet))
        router.mount(INCIDENTS_PATH, run_in_thread(self.show_incidents))
        router.mount(DUMP_PATH, run_in_thread(self.show_dump))
        router.mount(STATE_PATH, run_in_thread(self.show_state))
        router.mount(DRAIN_PATH, run_in_thread(self.drain), methods=("POST",))
        router.mount(METRICS_PATH, run_in_thread(self.show_metrics))
        router.mount_prefix(TICKETS_PATH + "/", run_in_thread(self.show_ticket))

    def handle_tickets(self, request: WebRequest) -> WebResponse:
        """Submits a ticket (POST), or lists the most recent accepted ones (GET).

        Raises:
            BadRequestError: If the body is not a ticket.
        """
        if request.method == "GET":
            return json_response(self._read_recent_tickets())
        submission = self._tickets.submit(_read_ticket(request), accepted_at=self._host.wall_time)
        if isinstance(submission, Accepted):
            self._apply_new_tickets()
        result = _make_result(submission)
        return json_response(result)

    def show_ticket(self, request: WebRequest) -> WebResponse:
        """Responds with one accepted ticket; from memory if the platform cannot be reached.

        Raises:
            BadRequestError: If the path has no ticket number, the number was not accepted (404), or
                the platform failed and the ticket is not in memory (503).
        """
        number = request.path[len(TICKETS_PATH) + 1 :]
        if not number.isdecimal():
            raise BadRequestError(detail="a ticket is asked for by its number")
        try:
            found = self._tickets.read(int(number))
        except PlatformError as error:
            in_memory = {t["ticket"]["number"]: t for t in self._host.ticket_log.tickets()}
            if int(number) not in in_memory:
                raise BadRequestError(detail=str(error), status=503) from None
            found = in_memory[int(number)]
        if found is None:
            raise BadRequestError(detail=f"there is no ticket {number}", status=404)
        return json_response(found)

    def show_effect(self, request: WebRequest) -> WebResponse:
        """Responds with the changes that a ticket would make, without submitting it.

        Raises:
            BadRequestError: If the body is not a ticket.
        """
        return json_response(self._status_reports.effect(_read_ticket(request)))

    def show_status(self, _: WebRequest) -> WebResponse:
        """Responds with the status of this entry VM alone."""
        return json_response(self._status_reports.own_status(self._platform_age_s()))

    def show_fleet(self, _: WebRequest) -> WebResponse:
        """Responds with the reports of all entry VMs."""
        return json_response(self._status_reports.fleet_status(self._platform_age_s()))

    def show_dump(self, _: WebRequest) -> WebResponse:
        """Responds with the state of this process."""
        return json_response(self._status_reports.dump())

    def show_state(self, _: WebRequest) -> WebResponse:
        """Responds with the state in force."""
        return json_response(self._host.state._asdict())

    def show_metrics(self, _: WebRequest) -> WebResponse:
        """Responds with the metrics in the Prometheus text format."""
        self._metrics.load()
        text = self._metrics.render() or b""
        return WebResponse(200, (("Content-Type", exposition.CONTENT_TYPE),), text)

    def drain(self, _: WebRequest) -> WebResponse:
        """Begins a planned stop of this daemon and responds before it has ended."""
        self._stop()
        return json_response({"draining": self._host.membership.own.vm}, status=202)

    def show_incidents(self, _: WebRequest) -> WebResponse:
        """Responds with the stored requests of unknown outcome of all entry VMs.

        Raises:
            BadRequestError: If the platform cannot be reached (503).
        """
        try:
            return json_response(self._poller.incidents.read())
        except PlatformError as error:
            raise BadRequestError(detail=str(error), status=503) from None

    def _read_recent_tickets(self) -> list[AcceptedTicket]:
        try:
            return self._tickets.read_after(
                max(0, self._tickets.last_number() - _MAX_HISTORY_TICKETS)
            )
        except PlatformError:
            return self._host.ticket_log.tickets()

    def _apply_new_tickets(self) -> None:
        try:
            self._host.add_tickets(self._tickets.read_after(self._host.ticket_log.highest_held))
        except PlatformError:
            return

    def _platform_age_s(self) -> float:
        reached_at = self._poller.reached_at
        return -1.0 if reached_at is None else round(self._host.now - reached_at, 3)


def _read_ticket(request: WebRequest) -> TicketDocument:
    try:
        return documents.decode_json(request.body, TicketDocument, source="ticket")
    except DocumentError as error:
        raise BadRequestError(detail=str(error), status=422) from None


def _make_result(submission: Submission) -> SubmissionResult:
    if isinstance(submission, Accepted):
        detail = "accepted before by the same command" if submission.is_repeated else "accepted"
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
