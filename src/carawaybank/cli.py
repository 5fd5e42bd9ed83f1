"""The command-line tool of operators and callers.

Usage:
  carawaybank ticket submit FILE --via ADDRESS [--wait] [--dry-run] [--json]
  carawaybank ticket show [NUMBER] --via ADDRESS [--json]
  carawaybank ticket diff OLD NEW --via ADDRESS [--json]
  carawaybank status --via ADDRESS [--json]
  carawaybank dump --via ADDRESS [--json]
  carawaybank explain HOST PATH [--object KEY] [--tenant NAME] --via ADDRESS [--json]
  carawaybank incidents --via ADDRESS [--json]
  carawaybank drain --via ADDRESS [--json]
  carawaybank entries --via ADDRESS [--failure-domain NAME] [--json]
  carawaybank check FILE
  carawaybank (-h | --help)
  carawaybank --version

Options:
  --via ADDRESS          Control address of any entry VM; for entries, its callers' address.
  --wait                 Wait until the ticket is in force on every entry VM that answers.
  --dry-run              Show what the ticket would change; nothing is accepted.
  --failure-domain NAME  Where the caller is.
  --object KEY           Object of the request.
  --tenant NAME          Tenant of the request; its API key is not needed.
  --json                 Print JSON.
  -h --help              Show this text.
  --version              Show the version.

Examples:
  carawaybank ticket submit places.toml --via 127.0.0.11:8200 --wait
  carawaybank status --via 127.0.0.11:8200
  carawaybank entries --via 127.0.0.11:8100 --failure-domain regina
  carawaybank explain ledger.example /look/7 --object 7 --via 10.1.0.10:8166

Exit codes:
  0  done
  1  failed, or an entry VM did not answer in time
  2  the arguments, settings or ticket are wrong
  3  refused: certainly not accepted
  4  unknown: may have been accepted; repeat the same command
"""

import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import urllib3
from docopt import docopt
from urllib3.exceptions import HTTPError

import carawaybank
from carawaybank import documents, settings
from carawaybank.exceptions import DocumentError
from carawaybank.operators.documents import FleetStatus, SubmissionResult
from carawaybank.routing.explanation import Candidate, Explanation
from carawaybank.steering.tickets import ENTITY_KINDS, AcceptedTicket, TicketDocument
from carawaybank.storage.incidents import IncidentDocument

EXIT_FAILED = 1
EXIT_WRONG_INPUT = 2
EXIT_REFUSED = 3
EXIT_UNKNOWN = 4

_TIMEOUT_S = 10.0
_WAIT_LIMIT_S = 15.0
_WAIT_POLL_S = 0.2


class CommandError(Exception):
    """A command failed; the process exits with ``code``."""

    def __init__(self, *, text: str, code: int = EXIT_FAILED) -> None:
        """Creates the error that ends the command.

        Args:
            text: Message for the user: the fault and what to do next.
            code: Exit code of the process.
        """
        super().__init__(text)
        self.code = code


class Client:
    """HTTP client of one daemon."""

    def __init__(self, *, address: str) -> None:
        """Creates a client; opens no connection.

        Args:
            address: ``IP:PORT`` of the daemon.
        """
        self._address = address
        self._http = urllib3.PoolManager(timeout=_TIMEOUT_S, retries=False)

    def call(self, method: str, path: str, body: bytes | None = None) -> Any:
        """Sends a request and returns the decoded JSON body of the response.

        Raises:
            CommandError: If the daemon does not respond, the body is not JSON, or the status is 400
                or above.
        """
        try:
            response = self._http.request(method, f"http://{self._address}{path}", body=body)
        except HTTPError as error:
            error_name = type(error).__name__
            text = f"{self._address} did not answer ({error_name}); try another entry VM"
            raise CommandError(text=text) from None
        try:
            document: Any = documents.decode_json(response.data, object, source=path)
        except DocumentError as error:
            raise CommandError(text=str(error)) from None
        if response.status >= 400:
            detail = document.get("detail", "") if isinstance(document, dict) else ""
            code = EXIT_WRONG_INPUT if response.status < 500 else EXIT_FAILED
            raise CommandError(text=f"{self._address}: {detail}", code=code)
        return document


def main() -> None:
    """Parses the command line, runs the command and exits with its exit code."""
    arguments = docopt(__doc__, version=carawaybank.__version__)
    try:
        run(arguments, sys.stdout.write)
    except CommandError as error:
        sys.stderr.write(f"carawaybank: {error}\n")
        sys.exit(error.code)
    except DocumentError as error:
        sys.stderr.write(f"carawaybank: {error}\n")
        sys.exit(EXIT_WRONG_INPUT)


def run(arguments: dict[str, Any], write: Callable[[str], object]) -> None:
    """Runs a command.

    Args:
        arguments: Command line as parsed by docopt.
        write: Called with the text to print.

    Raises:
        CommandError: If the command failed.
        DocumentError: If a settings or ticket file is invalid.
    """
    if arguments["check"]:
        settings.load(Path(arguments["FILE"]))
        write(f"{arguments['FILE']}: right\n")
        return
    client = Client(address=arguments["--via"])
    command = next(command for name, command in _COMMANDS.items() if _is_given(arguments, name))
    value, text = command(client, arguments)
    write(documents.encode_json(value).decode() + "\n" if arguments["--json"] else text)


def _is_given(arguments: dict[str, Any], name: str) -> bool:
    return all(arguments[word] for word in name.split())


def _submit(client: Client, arguments: dict[str, Any]) -> tuple[Any, str]:
    path = Path(arguments["FILE"])
    try:
        data = path.read_bytes()
    except OSError as error:
        raise CommandError(text=f"{path}: {error}", code=EXIT_WRONG_INPUT) from None
    ticket = documents.decode_toml(data, TicketDocument, source=str(path))
    body = documents.encode_json(ticket)
    if arguments["--dry-run"]:
        return _show_effect(client, body)
    result: SubmissionResult = client.call("POST", "/v1/tickets", body)
    if result["verdict"] == "not-run":
        text = f"not accepted: {result['detail']}"
        raise CommandError(text=f"{text} ({result['reason']})", code=EXIT_REFUSED)
    if result["verdict"] == "may-have-run":
        raise CommandError(text=f"unknown: {result['detail']}", code=EXIT_UNKNOWN)
    text = f"ticket {result['number']} {result['detail']}\n"
    if arguments["--wait"]:
        text += _wait_until_in_force(client, result["number"])
    return result, text


def _show_effect(client: Client, body: bytes) -> tuple[Any, str]:
    effect = client.call("POST", "/v1/tickets/effect", body)
    lines = [*effect["changes"]]
    lines += [f"slots {key}: {a} -> {b}" for key, (a, b) in sorted(effect["slots"].items())]
    if effect["faults"]:
        raise CommandError(
            text="would be refused: " + "; ".join(effect["faults"]), code=EXIT_REFUSED
        )
    return effect, "\n".join([*lines, "would be accepted", ""])


def _wait_until_in_force(client: Client, number: int) -> str:
    deadline = time.monotonic() + _WAIT_LIMIT_S
    while True:
        fleet: FleetStatus = client.call("GET", "/v1/fleet")
        lagging = [vm["vm"] for vm in fleet["vms"] if vm["reported"] and vm["ticket"] < number]
        if not lagging:
            unreported = [vm["vm"] for vm in fleet["vms"] if not vm["reported"]]
            suffix = f"; no report from {', '.join(unreported)}" if unreported else ""
            return f"ticket {number} in force on every entry VM that answered{suffix}\n"
        if time.monotonic() > deadline:
            raise CommandError(
                text=f"ticket {number} is accepted but not yet in force on {lagging}"
            )
        time.sleep(_WAIT_POLL_S)


def _show_ticket(client: Client, arguments: dict[str, Any]) -> tuple[Any, str]:
    if arguments["NUMBER"]:
        accepted = client.call("GET", f"/v1/tickets/{arguments['NUMBER']}")
        return accepted, documents.encode_json(accepted).decode() + "\n"
    history: list[AcceptedTicket] = client.call("GET", "/v1/tickets")
    lines = [
        f"{t['ticket']['number']:>6}  "
        f"{time.strftime('%Y-%m-%dT%H:%M:%SZ', time.gmtime(t['accepted_at']))}  "
        f"{t['ticket']['author']}: {t['ticket']['reason']}\n"
        for t in history
    ]
    return history, "".join(lines) or "this entry VM stores no tickets\n"


def _show_changes(client: Client, arguments: dict[str, Any]) -> tuple[Any, str]:
    old, new = int(arguments["OLD"]), int(arguments["NEW"])
    changes: list[str] = []
    for number in range(old + 1, new + 1):
        ticket = client.call("GET", f"/v1/tickets/{number}")["ticket"]
        for kind in ENTITY_KINDS:
            changes += [f"{number}: set {kind}/{name}" for name in sorted(ticket.get(kind, {}))]
        changes += [f"{number}: remove {path}" for path in ticket.get("removed", [])]
    return changes, "".join(f"{line}\n" for line in changes)


def _show_status(client: Client, _: dict[str, Any]) -> tuple[Any, str]:
    fleet: FleetStatus = client.call("GET", "/v1/fleet")
    lines = [f"ticket in force here: {fleet['ticket']}\n"]
    lines += [f"{domain}: at least {n}\n" for domain, n in sorted(fleet["failure_domains"].items())]
    for vm in fleet["vms"]:
        report = f"ticket {vm['ticket']}" if vm["reported"] else "no report"
        age = vm["platform_age_s"]
        last_read = f", platform read {age:.0f} s ago" if age >= 0 else ""
        lines.append(
            f"  {vm['vm']} ({vm['failure_domain']}, {vm['status']}): {report}{last_read}\n"
        )
    return fleet, "".join(lines)


def _dump(client: Client, _: dict[str, Any]) -> tuple[Any, str]:
    dump = client.call("GET", "/v1/dump")
    return dump, documents.encode_json(dump).decode() + "\n"


def _explain(client: Client, arguments: dict[str, Any]) -> tuple[Any, str]:
    query = {"host": arguments["HOST"], "path": arguments["PATH"]}
    for name, option in (("object_key", "--object"), ("tenant", "--tenant")):
        if arguments[option]:
            query[name] = arguments[option]
    explanation: Explanation = client.call("POST", "/v1/explain", documents.encode_json(query))
    return explanation, "".join(f"{line}\n" for line in _explanation_lines(explanation))


def _explanation_lines(explanation: Explanation) -> Iterator[str]:
    yield f"configuration {explanation['configuration']:08x}, route {explanation['route'] or '-'}"
    if explanation["tenant"]:
        yield f"tenant {explanation['tenant']}, allotment {explanation['rate']:g} per s"
    if explanation["allowed_regions"]:
        yield f"home regions: {', '.join(explanation['allowed_regions'])}"
    if explanation["refused"]:
        yield f"refused: {explanation['refused']}"
    for plan in explanation["services"]:
        yield f"service {plan['service']}, {plan['weight']:.0%} of the route: {plan['decision']}"
        for region, candidates in plan["candidates"].items():
            yield f"  region {region}, share {plan['regions'][region]:.0%}"
            for candidate in candidates:
                yield f"    {_describe_candidate(candidate)}"


def _describe_candidate(candidate: Candidate) -> str:
    state = candidate["excluded"] or f"expected after {candidate['expected_ms']} ms"
    age_s = candidate["load_age_s"]
    report = "no load report" if age_s < 0 else f"load report {age_s:g} s old"
    return (
        f"{candidate['target_id']} ({candidate['failure_domain']}): {state}, "
        f"{candidate['wait_ms']} ms waiting, warm {candidate['warmth']:.0%}, "
        f"pace {candidate['pace']:.0%}, {report}"
    )


def _incidents(client: Client, _: dict[str, Any]) -> tuple[Any, str]:
    incidents: list[IncidentDocument] = client.call("GET", "/v1/incidents")
    lines = [
        f"{time.strftime('%Y-%m-%dT%H:%M:%SZ', time.gmtime(i['seen_at']))}  {i['request_id']}  "
        f"{i['service']}  {i['customer']}  {i['reason']}: may have run; "
        f"check with the service before sending it again\n"
        for i in incidents
    ]
    return incidents, "".join(lines) or "no request of unknown outcome\n"


def _drain(client: Client, _: dict[str, Any]) -> tuple[Any, str]:
    document = client.call("POST", "/v1/drain", b"")
    return document, f"{document['draining']} is draining; it exits when no request is in flight\n"


def _entries(client: Client, arguments: dict[str, Any]) -> tuple[Any, str]:
    domain = arguments["--failure-domain"]
    query = f"?failure_domain={domain}" if domain else ""
    document = client.call("GET", f"/v1/entries{query}")
    lines = [f"{e['vm']}  {e['address']}  {e['failure_domain']}\n" for e in document["entries"]]
    return document, f"ticket {document['ticket']}, valid for {document['ttl_s']} s\n" + "".join(
        lines
    )


_COMMANDS: dict[str, Callable[[Client, dict[str, Any]], tuple[Any, str]]] = {
    "ticket submit": _submit,
    "ticket show": _show_ticket,
    "ticket diff": _show_changes,
    "status": _show_status,
    "dump": _dump,
    "explain": _explain,
    "incidents": _incidents,
    "drain": _drain,
    "entries": _entries,
}

if __name__ == "__main__":
    main()
