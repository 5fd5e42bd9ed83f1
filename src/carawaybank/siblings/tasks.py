"""The task that exchanges with siblings, and the workers that it hands exchanges to."""

import queue
import threading
import time

from carawaybank import logs
from carawaybank.host import Host
from carawaybank.settings import Settings
from carawaybank.siblings.client import SiblingClient
from carawaybank.steering.membership import Member, Status
from carawaybank.steering.ownership import DeathProof
from carawaybank.storage.tasks import Holding
from carawaybank.verdicts import NotRun, Reason

_TICK_S = 0.2
_LEAST_PAUSE_S = 0.01
_WORKERS = 6
_EXCHANGE_TIMEOUT_S = 0.5
_CONTACT_INTERVAL_S = 1.0
_VERIFY_LIMIT_S = 1.0
_ANNOUNCE_LIMIT_S = 0.1
_ANNOUNCE_FANOUT = 48


class Contact:
    """An address of an entry VM that is not yet known by name."""

    def __init__(self, *, address: str, holding: Holding | None = None) -> None:
        """Starts untried.

        Args:
            address: Its control address.
            holding: The start of a daemon that the table names at the address.
        """
        self.address = address
        self.holding = holding
        self.tried = False
        self.next_at = 0.0


class SiblingTask(threading.Thread):
    """Lets time pass in the core and sends the exchanges that are due."""

    def __init__(self, *, host: Host, client: SiblingClient, settings: Settings) -> None:
        """Prepares the task.

        Args:
            host: The decision core.
            client: Talks to siblings.
            settings: Seeds and addresses.
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
        self._work: queue.Queue[tuple[Member | None, str]] = queue.Queue()
        self._pending: set[str] = set()
        self._known: set[str] = set()
        self._known_version = -1
        self._stopping = threading.Event()
        self._verifying_since: float | None = None
        self._log = logs.part("siblings")

    @property
    def contacts_tried(self) -> bool:
        """Whether every contact was tried once."""
        return all(contact.tried for contact in list(self._contacts.values()))

    def add_contact(self, address: str, holding: Holding) -> None:
        """Adds an address that the table names."""
        if address != self._own_address:
            self._contacts[address] = Contact(address=address, holding=holding)

    def run(self) -> None:
        """Runs until stopped."""
        for index in range(_WORKERS):
            threading.Thread(target=self._work_loop, name=f"exchange-{index}", daemon=True).start()
        while not self._stopping.wait(_LEAST_PAUSE_S):
            self._host.exchange_due.wait(_TICK_S)
            self._host.exchange_due.clear()
            try:
                self._run_once()
            except Exception:
                self._log.exception("Tick failed")

    def stop(self) -> None:
        """Ends the task."""
        self._stopping.set()

    def announce_crash(self) -> None:
        """Tells the nearest siblings of the crash reports, within a short time.

        They pass the reports on as they do tickets.
        """
        threads = [
            threading.Thread(target=self._announce_to, args=(member,), daemon=True)
            for member in self._nearest(_ANNOUNCE_FANOUT)
        ]
        for thread in threads:
            thread.start()
        deadline = time.monotonic() + _ANNOUNCE_LIMIT_S
        for thread in threads:
            thread.join(max(0.0, deadline - time.monotonic()))

    def _nearest(self, count: int) -> list[Member]:
        with self._host.lock:
            own = self._host.membership.own
            others = [m for m in self._host.membership.others() if m.status is not Status.SUSPECT]
        others.sort(key=lambda m: (m.failure_domain != own.failure_domain, m.region != own.region))
        return others[:count]

    def _announce_to(self, member: Member) -> None:
        sent_at = self._host.now
        message = self._host.compose(member.vm, with_crashes=True)
        answer = self._client.exchange(
            member.control_address, message, timeout_s=_EXCHANGE_TIMEOUT_S
        )
        if not isinstance(answer, NotRun):
            self._host.receive(answer, sent_at=sent_at)

    def _run_once(self) -> None:
        for member in self._host.tick():
            self._enqueue(member, member.control_address)
        self._contact_unknown()
        self._limit_verification()

    def _contact_unknown(self) -> None:
        now = time.monotonic()
        self._refresh_known()
        for contact in list(self._contacts.values()):
            if contact.address in self._known:
                contact.tried = True
            elif now >= contact.next_at:
                contact.next_at = now + _CONTACT_INTERVAL_S
                self._enqueue(None, contact.address)

    def _refresh_known(self) -> None:
        with self._host.lock:
            version = self._host.membership.version
            if version == self._known_version:
                return
            self._known_version = version
            others = self._host.membership.others()
        self._known = {member.control_address for member in others}

    def _limit_verification(self) -> None:
        if self._host.is_ready:
            self._verifying_since = None
            return
        now = time.monotonic()
        if self._verifying_since is None:
            self._verifying_since = now
        elif now - self._verifying_since > _VERIFY_LIMIT_S:
            self._host.stop_verifying()

    def _enqueue(self, member: Member | None, address: str) -> None:
        if address in self._pending:
            return
        self._pending.add(address)
        self._work.put((member, address))

    def _work_loop(self) -> None:
        while not self._stopping.is_set():
            member, address = self._work.get()
            try:
                self._exchange(member, address)
            except Exception:
                self._log.exception("Exchange failed")
            finally:
                self._pending.discard(address)

    def _exchange(self, member: Member | None, address: str) -> None:
        sent_at = self._host.now
        message = self._host.compose(member.vm if member else None)
        answer = self._client.exchange(address, message, timeout_s=_EXCHANGE_TIMEOUT_S)
        contact = self._contacts.get(address)
        if contact is not None:
            contact.tried = True
        if isinstance(answer, NotRun):
            if answer.reason is Reason.CONNECTION_REFUSED:
                self._note_refusal(member, contact)
            return
        if member is not None and answer["vm"] != member.vm:
            self._prove_dead(member)
        self._host.receive(answer, sent_at=sent_at)
        if answer.get("behind"):
            self._fetch_snapshot(address)

    def _note_refusal(self, member: Member | None, contact: Contact | None) -> None:
        if member is not None:
            self._prove_dead(member)
        elif contact is not None and contact.holding is not None:
            vm, incarnation = contact.holding
            self._host.prove_dead(vm, incarnation, DeathProof.CONNECTION_REFUSED)
            self._contacts.pop(contact.address, None)

    def _fetch_snapshot(self, address: str) -> None:
        state = self._client.fetch_snapshot(address, timeout_s=_EXCHANGE_TIMEOUT_S)
        if state is not None:
            self._host.install(state)

    def _prove_dead(self, member: Member) -> None:
        proof = DeathProof.CONNECTION_REFUSED
        if self._host.prove_dead(member.vm, member.incarnation, proof):
            self._log.warning("{} is gone: {}", member.vm, proof)
