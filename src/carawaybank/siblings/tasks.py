"""The thread that schedules exchanges with siblings, and the worker threads that send them."""

import queue
import threading
import time

from carawaybank import logs
from carawaybank.host import Host
from carawaybank.settings import Settings
from carawaybank.siblings.client import SiblingClient
from carawaybank.steering.membership import Member, Status
from carawaybank.steering.ownership import DeathProof
from carawaybank.storage.poller import VmIdentity
from carawaybank.verdicts import NotRun, Reason

#: Maximum seconds between ticks of the decision core.
_TICK_S = 0.2
_MIN_PAUSE_S = 0.01
_WORKER_THREADS = 6
_EXCHANGE_TIMEOUT_S = 0.5
#: Seconds between exchanges with an address whose VM is not known yet.
_CONTACT_INTERVAL_S = 1.0
#: Seconds without readiness after which verification is ended.
_VERIFICATION_TIMEOUT_S = 1.0
#: Total seconds for which sending crash reports waits for siblings.
_CRASH_REPORT_TIMEOUT_S = 0.1
#: Number of siblings to which crash reports are sent.
_CRASH_REPORT_FANOUT = 48


class Contact:
    """The control address of an entry VM, from a seed or from a row of the platform's table.

    Attributes:
        address: The control address.
        identity: The name and incarnation that the row has for the address; None for a seed.
        tried: Whether an exchange with the address has ended, or its VM is known.
        next_at: Monotonic time from which the next exchange may be sent.
    """

    def __init__(self, *, address: str, identity: VmIdentity | None = None) -> None:
        """Starts without an exchange.

        Args:
            address: Its control address.
            identity: The name and incarnation that a row has for the address, if any.
        """
        self.address = address
        self.identity = identity
        self.tried = False
        self.next_at = 0.0


class SiblingTask(threading.Thread):
    """Advances the time of the decision core and sends the exchanges that are due."""

    def __init__(self, *, host: Host, client: SiblingClient, settings: Settings) -> None:
        """Creates the thread and a contact for each seed.

        Args:
            host: The decision core.
            client: Sends exchanges.
            settings: Has the seeds and the address of this VM.
        """
        super().__init__(name="siblings", daemon=True)
        self._host = host
        self._client = client
        self._own_address = settings.control_address
        self._contacts = {
            seed: Contact(address=seed)
            for seed in settings.seeds
            if seed != settings.control_address
        }
        self._queue: queue.Queue[tuple[Member | None, str]] = queue.Queue()
        self._pending_addresses: set[str] = set()
        self._known_addresses: set[str] = set()
        self._known_version = -1
        self._stopping = threading.Event()
        self._verifying_since: float | None = None
        self._log = logs.get_logger("siblings")

    @property
    def all_contacts_tried(self) -> bool:
        """Whether an exchange with each contact has ended, or its VM is known."""
        return all(contact.tried for contact in list(self._contacts.values()))

    def add_contact(self, address: str, identity: VmIdentity) -> None:
        """Adds a control address from the platform's table, unless it is that of this VM."""
        if address != self._own_address:
            self._contacts[address] = Contact(address=address, identity=identity)

    def run(self) -> None:
        """Starts the workers and runs ticks until stopped."""
        for index in range(_WORKER_THREADS):
            threading.Thread(target=self._run_worker, name=f"exchange-{index}", daemon=True).start()
        while not self._stopping.wait(_MIN_PAUSE_S):
            self._host.exchange_due.wait(_TICK_S)
            self._host.exchange_due.clear()
            try:
                self._run_once()
            except Exception:
                self._log.exception("Tick failed")

    def stop(self) -> None:
        """Ends the thread and its workers after their current work."""
        self._stopping.set()

    def report_crashes(self) -> None:
        """Sends the crash reports to the nearest siblings.

        Returns after ``_CRASH_REPORT_TIMEOUT_S`` seconds at the latest. The siblings forward the
        reports in the same way as tickets.
        """
        threads = [
            threading.Thread(target=self._report_crashes_to, args=(member,), daemon=True)
            for member in self._nearest(_CRASH_REPORT_FANOUT)
        ]
        for thread in threads:
            thread.start()
        deadline = time.monotonic() + _CRASH_REPORT_TIMEOUT_S
        for thread in threads:
            thread.join(max(0.0, deadline - time.monotonic()))

    def _nearest(self, count: int) -> list[Member]:
        with self._host.lock:
            own = self._host.membership.own
            others = [
                m for m in self._host.membership.other_members() if m.status is not Status.SUSPECT
            ]
        others.sort(key=lambda m: (m.failure_domain != own.failure_domain, m.region != own.region))
        return others[:count]

    def _report_crashes_to(self, member: Member) -> None:
        sent_at = self._host.now
        message = self._host.make_exchange(member.vm, with_crashes=True)
        response = self._client.exchange(
            member.control_address, message, timeout_s=_EXCHANGE_TIMEOUT_S
        )
        if not isinstance(response, NotRun):
            self._host.handle_response(response, sent_at=sent_at)

    def _run_once(self) -> None:
        for member in self._host.tick():
            self._enqueue(member, member.control_address)
        self._contact_unknown_addresses()
        self._limit_verification()

    def _contact_unknown_addresses(self) -> None:
        now = time.monotonic()
        self._refresh_known_addresses()
        for contact in list(self._contacts.values()):
            if contact.address in self._known_addresses:
                contact.tried = True
            elif now >= contact.next_at:
                contact.next_at = now + _CONTACT_INTERVAL_S
                self._enqueue(None, contact.address)

    def _refresh_known_addresses(self) -> None:
        with self._host.lock:
            version = self._host.membership.version
            if version == self._known_version:
                return
            self._known_version = version
            others = self._host.membership.other_members()
        self._known_addresses = {member.control_address for member in others}

    def _limit_verification(self) -> None:
        if self._host.is_ready:
            self._verifying_since = None
            return
        now = time.monotonic()
        if self._verifying_since is None:
            self._verifying_since = now
        elif now - self._verifying_since > _VERIFICATION_TIMEOUT_S:
            self._host.stop_verifying()

    def _enqueue(self, member: Member | None, address: str) -> None:
        if address in self._pending_addresses:
            return
        self._pending_addresses.add(address)
        self._queue.put((member, address))

    def _run_worker(self) -> None:
        while not self._stopping.is_set():
            member, address = self._queue.get()
            try:
                self._exchange(member, address)
            except Exception:
                self._log.exception("Exchange failed")
            finally:
                self._pending_addresses.discard(address)

    def _exchange(self, member: Member | None, address: str) -> None:
        sent_at = self._host.now
        message = self._host.make_exchange(member.vm if member else None)
        response = self._client.exchange(address, message, timeout_s=_EXCHANGE_TIMEOUT_S)
        contact = self._contacts.get(address)
        if contact is not None:
            contact.tried = True
        if isinstance(response, NotRun):
            if response.reason is Reason.CONNECTION_REFUSED:
                self._handle_refusal(member, contact)
            return
        if member is not None and response["vm"] != member.vm:
            self._report_dead(member)
        self._host.handle_response(response, sent_at=sent_at)
        if response.get("behind"):
            self._fetch_snapshot(address)

    def _handle_refusal(self, member: Member | None, contact: Contact | None) -> None:
        if member is not None:
            self._report_dead(member)
        elif contact is not None and contact.identity is not None:
            vm, incarnation = contact.identity
            self._host.record_death(vm, incarnation, DeathProof.CONNECTION_REFUSED)
            self._contacts.pop(contact.address, None)

    def _fetch_snapshot(self, address: str) -> None:
        state = self._client.fetch_snapshot(address, timeout_s=_EXCHANGE_TIMEOUT_S)
        if state is not None:
            self._host.apply_snapshot(state)

    def _report_dead(self, member: Member) -> None:
        proof = DeathProof.CONNECTION_REFUSED
        if self._host.record_death(member.vm, member.incarnation, proof):
            self._log.warning("{} is gone: {}", member.vm, proof)
