"""Reports of targets' limits between entry VMs, sent as UDP datagrams to the heartbeat address.

A limit that this VM learned, or that changed or ended, is reported at once: a VM reports to the
readers of its failure domain, a reader to all its VMs and to the readers of the other failure
domains, and these to their VMs. All known limits are repeated every few seconds, because datagrams
may be lost and VMs may join. Without any limit, nothing is sent. A heartbeat is a JSON array and a
report is a JSON object, so that VMs of an older build discard reports and read heartbeats as usual.

Load pattern: all targets of a service become overloaded at the same moment.
"""

import asyncio
from collections.abc import Callable, Sequence
from typing import TypedDict

import msgspec

from carawaybank.counters import Counters
from carawaybank.documents import decode_message
from carawaybank.exceptions import DocumentError
from carawaybank.journal import Journal
from carawaybank.routing.targetlimits import LimitReport, TargetLimits
from carawaybank.siblings.vms import VmDirectory, VmRecord

#: Seconds for which changes are gathered into one datagram.
BATCH_DELAY_S = 0.05
#: Rounds of heartbeats after which all limits are reported again: in the own failure domain, and to
#: the readers of the others.
REPEAT_EVERY = 5
REMOTE_REPEAT_EVERY = 10
#: Maximum number of reports in a datagram, which then fits into a packet.
MAX_REPORTS = 16
#: Maximum number of datagrams that a repetition sends to each VM; further limits follow in the next
#: one.
MAX_REPEATED_DATAGRAMS = 4


class LimitMessage(TypedDict):
    """The content of a datagram.

    Attributes:
        vm: Name of the VM that sent it.
        limits: The limits that it reports.
    """

    vm: str
    limits: list[LimitReport]


class LimitExchange:
    """Reports the limits of targets to siblings, and applies their reports."""

    def __init__(
        self,
        *,
        limits: TargetLimits,
        vms: VmDirectory,
        send: Callable[[bytes, Sequence[VmRecord]], None],
        counters: Counters,
        journal: Journal,
        on_ended: Callable[[str], None] = lambda _: None,
    ) -> None:
        """Starts without changes to report.

        Args:
            limits: The limits that this VM knows.
            vms: Selects the recipients.
            send: Sends a datagram to VMs.
            counters: Counts limits that were learned and that ended.
            journal: Logs changes of limits.
            on_ended: Called with the id of each target whose limit ended.
        """
        self._on_ended = on_ended
        self._limits = limits
        self._vms = vms
        self._send = send
        self._counters = counters
        self._journal = journal
        #: Targets whose changed limits are about to be reported, and whether remote readers get the
        #: report as well.
        self._changed: dict[str, bool] = {}
        self._rounds = 0
        self._next_repeated = 0

    def publish(self) -> None:
        """Logs the changes since the last call, and reports them to siblings."""
        self._publish(passes_on=True, include_remote=True)

    def receive(self, data: bytes) -> None:
        """Applies a sibling's reports and passes on those that change what this VM knows.

        Reports of the own failure domain are passed on by its readers only. An invalid datagram is
        logged and ignored.
        """
        try:
            message = decode_message(data, LimitMessage, source="datagram")
        except DocumentError as error:
            self._journal.log("limits", "report ignored", reason=str(error))
            return
        self.publish()
        now = asyncio.get_running_loop().time()
        for report in message["limits"]:
            self._limits.apply_report(report, source=message["vm"], now=now)
        is_local = message["vm"] in {record.vm for record in self._vms.domain_peers}
        self._publish(passes_on=not is_local or self._is_reader(), include_remote=is_local)

    def repeat(self) -> None:
        """Reports all limits again in some of the rounds of heartbeats."""
        self.publish()
        self._rounds += 1
        if self._rounds % REPEAT_EVERY:
            return
        reports = self._limits.reports(now=asyncio.get_running_loop().time())
        if not reports:
            return
        count = min(len(reports), MAX_REPORTS * MAX_REPEATED_DATAGRAMS)
        start = self._next_repeated % len(reports)
        self._next_repeated = start + count
        selected = (reports + reports)[start : start + count]
        self._report(selected, include_remote=self._rounds % REMOTE_REPEAT_EVERY == 0)

    def _publish(self, *, passes_on: bool, include_remote: bool) -> None:
        for event in self._limits.pop_events():
            self._journal.log(
                "limits",
                event.name,
                target=event.target_id,
                rate=event.rate,
                source=event.source,
            )
            self._counters.count_limit_event(event.name)
            if event.name == "ended":
                self._on_ended(event.target_id)
            if passes_on and event.name != "ignored":
                self._schedule(event.target_id, include_remote=include_remote)

    def _schedule(self, target_id: str, *, include_remote: bool) -> None:
        if not self._changed:
            asyncio.get_running_loop().call_later(BATCH_DELAY_S, self._flush)
        self._changed[target_id] = self._changed.get(target_id, False) or include_remote

    def _flush(self) -> None:
        changed, self._changed = self._changed, {}
        reports = self._limits.reports(now=asyncio.get_running_loop().time())
        local = [r for r in reports if changed.get(r.target_id) is False]
        everywhere = [r for r in reports if changed.get(r.target_id)]
        self._report(local, include_remote=False)
        self._report(everywhere, include_remote=True)

    def _report(self, reports: Sequence[LimitReport], *, include_remote: bool) -> None:
        recipients = self._recipients(include_remote=include_remote)
        for start in range(0, len(reports), MAX_REPORTS):
            batch = list(reports[start : start + MAX_REPORTS])
            data = msgspec.json.encode(LimitMessage(vm=self._vms.own.vm, limits=batch))
            self._send(data, recipients)

    def _recipients(self, *, include_remote: bool) -> list[VmRecord]:
        now = asyncio.get_running_loop().time()
        readers = self._vms.readers(now=now)
        if self._vms.own not in readers:
            return readers
        remote = self._vms.remote_readers(now=now) if include_remote else []
        return [*self._vms.domain_peers, *remote]

    def _is_reader(self) -> bool:
        return self._vms.own in self._vms.readers(now=asyncio.get_running_loop().time())
