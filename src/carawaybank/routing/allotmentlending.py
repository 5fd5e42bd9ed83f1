"""Tokens that one VM of a region holds for the others of its region.

Load pattern: a tenant sends a few requests a second to many VMs, so that each VM sees one every few
seconds, and the owner of the allotment is in another region. No VM can hold tokens for each of its
requests in advance, as all VMs together would hold more than the burst and the reserve. The first
VM of the region by rank that answers, the lender, holds some for all of them.

A lent token is used at once and counts as used at the lender, so that the owner's sum of
outstanding tokens remains right. VMs need not agree on the lender: each lends only what it holds.
"""

import math
from collections import deque
from collections.abc import Iterable

from carawaybank.routing.allotmentmessages import Borrow, Loan

#: Seconds over which the demand for loans is averaged, and without demand until a VM that lent
#: holds no tokens for others any more.
LOAN_DEMAND_S = 3.0
KEEP_LOANS_S = 30.0
#: Seconds until tokens that were lent are replaced: a round trip to the owner, the gap between asks
#: and delays on busy VMs.
REPLACE_S = 0.15
#: Minimum number of tokens held for loans, and standard deviations of the demand that they cover.
MIN_STOCK = 3
STOCK_DEVIATIONS = 2.5
#: Seconds after a VM asked for a loan within which it uses it. Afterwards the owner has refilled
#: its bucket, and requests would run beside those of the new tokens.
LOAN_VALID_S = 0.06
#: Seconds for which a lender answers a repeated request without lending again.
REPEAT_S = 0.5
#: Bounds of the seconds without an answer until a request is repeated and the owner is asked too;
#: a round trip within a region takes 9 ms.
MIN_REPEAT_AFTER_S = 0.012
MAX_REPEAT_AFTER_S = 0.04
#: Seconds without an answer after which a lender is passed over, until a lost answer says nothing
#: of whether it answers now, and for how long it is passed over: one that has answered before, one
#: that may be of a build that knows no loans.
LENDER_TIMEOUT_S = (0.06, 1.0)
SKIP_S = (3.0, 30.0)
#: Minimum number of requests without an answer for this; a single one may be lost.
MIN_UNANSWERED = 3
#: Seconds for which a VM asks the owner after its lender had no tokens.
SHORT_S = 0.1


class LoanDemand:
    """The demand of a region for tokens of one tenant, as its lender sees it."""

    def __init__(self) -> None:
        """Starts without demand."""
        self._demand = 0.0
        self._counted_at = self._borrowed_at = float("-inf")

    def record(self, count: int, *, is_own: bool, now: float) -> None:
        """Counts tokens that other VMs asked for, or that callers of this VM needed."""
        self._demand = self._recent(now) + count
        self._counted_at = now
        if not is_own:
            self._borrowed_at = now

    def stock(self, *, now: float) -> int:
        """Returns the number of tokens to hold; 0 if no other VM asked for any for long."""
        if now - self._borrowed_at > KEEP_LOANS_S:
            return 0
        mean = self._recent(now) / LOAN_DEMAND_S * REPLACE_S
        return max(MIN_STOCK, math.ceil(mean + STOCK_DEVIATIONS * math.sqrt(mean)))

    def _recent(self, now: float) -> float:
        return self._demand * math.exp(-(now - self._counted_at) / LOAN_DEMAND_S)


class Lender:
    """What a VM that others borrow from remembers: the demand, and its recent answers."""

    def __init__(self) -> None:
        """Starts without demand."""
        self._demand: dict[str, LoanDemand] = {}
        self._answers: dict[tuple[str, int], Loan] = {}
        self._expiries: deque[tuple[float, tuple[str, int]]] = deque()

    def find_answer(self, vm: str, borrow: Borrow, *, now: float) -> Loan | None:
        """Returns the answer that was sent to a request before, if any."""
        while self._expiries and self._expiries[0][0] <= now:
            del self._answers[self._expiries.popleft()[1]]
        return self._answers.get((vm, borrow.number))

    def record_demand(self, tenant: str, count: int, *, now: float) -> None:
        """Counts tokens of a tenant that another VM asked for."""
        self._demand.setdefault(tenant, LoanDemand()).record(count, is_own=False, now=now)

    def record_answer(self, vm: str, loan: Loan, *, now: float) -> None:
        """Remembers an answer, in case the request is repeated."""
        self._answers[vm, loan.number] = loan
        self._expiries.append((now + REPEAT_S, (vm, loan.number)))

    def record_own_demand(self, tenant: str, *, now: float) -> None:
        """Counts a request of a caller of this VM, if others borrow tokens of the tenant here."""
        if tenant in self._demand:
            self._demand[tenant].record(1, is_own=True, now=now)

    def stock(self, tenant: str, *, now: float) -> int:
        """Returns the number of tokens of a tenant to hold for loans."""
        demand = self._demand.get(tenant)
        stock = demand.stock(now=now) if demand is not None else 0
        if demand is not None and not stock:
            del self._demand[tenant]
        return stock


class _LenderPeer:
    """Whether and how fast another VM answers requests for loans."""

    def __init__(self) -> None:
        self.has_answered = False
        self.round_trip_s = 0.0
        self.unanswered_since: float | None = None
        self.unanswered = 0
        self.skipped_until = float("-inf")

    @property
    def repeat_after_s(self) -> float:
        return min(MAX_REPEAT_AFTER_S, max(MIN_REPEAT_AFTER_S, 1.4 * self.round_trip_s))

    def is_skipped(self, now: float) -> bool:
        since = self.unanswered_since
        if since is not None and now - since > LENDER_TIMEOUT_S[0]:
            if now - since < LENDER_TIMEOUT_S[1] and self.unanswered >= MIN_UNANSWERED:
                self.skipped_until = now + SKIP_S[0 if self.has_answered else 1]
            self.unanswered_since, self.unanswered = None, 0
        return now < self.skipped_until


class _Request:
    """A request for a loan that has no answer yet."""

    def __init__(self, *, lender: str, borrow: Borrow, now: float) -> None:
        self.lender = lender
        self.borrow = borrow
        self.first_sent_at = self.sent_at = now
        #: Whether the owner is asked beside the lender, which did not answer in time.
        self.is_late = False


class Borrower:
    """The loans that this VM asked for while requests wait."""

    def __init__(self) -> None:
        """Starts without requests."""
        self._peers: dict[str, _LenderPeer] = {}
        self._requests: dict[int, _Request] = {}
        self._short_until: dict[str, float] = {}

    def find_lender(self, tenant: str, candidates: Iterable[str], *, now: float) -> str:
        """Returns the first of some VMs that answers; empty if none is to be asked now."""
        if now < self._short_until.get(tenant, float("-inf")):
            return ""
        return next((vm for vm in candidates if not self._peer(vm).is_skipped(now)), "")

    def request(
        self, lender: str, tenant: str, waiting: int, *, owner: str, number: int, now: float
    ) -> tuple[list[tuple[str, Borrow]], float]:
        """Returns the requests to send for callers that wait, and when to call this again.

        Args:
            lender: The VM to ask.
            tenant: Name of the tenant.
            waiting: Number of its requests that wait.
            owner: The owner of the allotment, which may be the lender.
            number: Number of a new request for a loan; higher than those before.
            now: Current time.

        Returns:
            Lenders and requests for loans, and the seconds until the next is to be repeated.
        """
        self._drop_old(now)
        due: list[tuple[str, Borrow]] = []
        pending = [r for r in self._requests.values() if r.borrow.tenant == tenant]
        for request in pending:
            peer = self._peer(request.lender)
            if now - request.sent_at >= peer.repeat_after_s - 1e-6:
                request.sent_at = now
                peer.unanswered += 1
                # An owner that lent its last token, of which the answer was lost, would report that
                # the allotment is used up.
                is_lent = request.lender == owner and peer.has_answered
                elapsed_s = now - request.first_sent_at
                request.is_late = not is_lent or elapsed_s > LENDER_TIMEOUT_S[0]
                due.append((request.lender, request.borrow))
        count = waiting - sum(request.borrow.tokens for request in pending)
        if count > 0:
            borrow = Borrow(number, tenant, count)
            pending.append(_Request(lender=lender, borrow=borrow, now=now))
            self._requests[number] = pending[-1]
            peer = self._peer(lender)
            if peer.unanswered_since is None:
                peer.unanswered_since = now
            peer.unanswered += 1
            due.append((lender, borrow))
        delay_s = min(r.sent_at + self._peer(r.lender).repeat_after_s - now for r in pending)
        return due, max(0.001, delay_s)

    def expected(self, tenant: str) -> int:
        """Returns the tokens for which the owner need not be asked yet."""
        requests = (r for r in self._requests.values() if not r.is_late)
        return sum(r.borrow.tokens for r in requests if r.borrow.tenant == tenant)

    def receive(self, vm: str, loan: Loan, *, now: float) -> float | None:
        """Records a loan; returns the time until which it may be used, if it was expected."""
        request = self._requests.get(loan.number)
        if request is None or (request.lender, request.borrow.tenant) != (vm, loan.tenant):
            return None
        del self._requests[loan.number]
        peer = self._peer(vm)
        elapsed_s = now - request.first_sent_at
        peer.round_trip_s += (elapsed_s - peer.round_trip_s) / (4 if peer.has_answered else 1)
        peer.has_answered, peer.unanswered_since, peer.unanswered = True, None, 0
        peer.skipped_until = float("-inf")
        if loan.tokens < request.borrow.tokens:
            self._short_until[loan.tenant] = now + SHORT_S
        return request.first_sent_at + LOAN_VALID_S

    def _peer(self, vm: str) -> _LenderPeer:
        return self._peers.setdefault(vm, _LenderPeer())

    def _drop_old(self, now: float) -> None:
        self._requests = {
            n: r for n, r in self._requests.items() if now - r.first_sent_at < LOAN_VALID_S
        }
