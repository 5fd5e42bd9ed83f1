"""The tokens of one tenant at one entry VM: what it was granted, and its fixed share.

Load pattern: callers of a tenant arrive at many VMs, at some of them once in a minute and at others
a hundred times a second, and move to others within seconds. A VM asks for what it expects to need
until the next grant, gives back what it no longer expects to need, and refuses at once while the
owner has no tokens left. While no owner answers, it goes on for a short time at a part of the rate
that it was granted before. A fixed share of the excess that users tolerate serves first requests;
over all VMs it adds up to less than the excess.
"""

import math
from collections import deque
from typing import NamedTuple

from carawaybank.routing.allotmentbucket import TOKEN_S, Ask, Grant
from carawaybank.routing.allotmentowners import TRANSITION_S

#: Seconds over which the demand is averaged.
DEMAND_S = 0.3
#: Seconds of demand for which tokens are kept: the interval between asks and the round trip.
STOCK_S = 0.35
#: Seconds before their expiry from which tokens that are still wanted are extended with an ask.
EXTEND_BEFORE_S = 1.0
#: Seconds between asks while no request waits.
ASK_INTERVAL_S = 0.2
#: Seconds since the last request for which some tokens are kept in advance. They spare callers who
#: send a request every few seconds the wait for a grant.
KEEP_S = 4.0
#: The same while another VM of the region has tokens, and the longest interval between requests for
#: which any are kept then: kept by all VMs of a region, they would leave none for others.
KEEP_NEAR_TOKENS_S = 0.3
#: Seconds after which the token of a request that did not run is not given back any more, because
#: the owner has refilled its bucket meanwhile.
RETURN_WITHIN_S = 0.3
#: Seconds for which a report that tokens are used up keeps this VM from asking for a stock.
SCARCE_S = 1.0
#: Factor and number of tokens above the expected need that are kept before some are given back.
SURPLUS_FACTOR = 1.5
SURPLUS_TOKENS = 2
#: Seconds without a grant after which a VM goes on without one, and for which it does.
UNANSWERED_S = 0.45
CONTINUE_S = 2.0
#: Part of its rate of used grants that a VM goes on with, and seconds over which it is averaged.
CONTINUE_PART = 0.8
USED_S = 3.0
#: Seconds without a request after which the owner is told that none are expected, if there were at
#: least this many in the last ``DEMAND_S`` seconds before.
IDLE_S = 0.4
BUSY_DEMAND = 1.5
#: Seconds after which an unanswered ask counts as lost, several round trips between regions.
ANSWER_TIMEOUT_S = 0.25


class Token(NamedTuple):
    """The right to run one request.

    Attributes:
        expires_at: Time until which it can be used by another request.
        is_fixed: Whether it was not granted, but came from the fixed share or a continued rate.
        acquired_at: Time at which a request took it.
    """

    expires_at: float
    is_fixed: bool = False
    acquired_at: float = 0.0


class TenantShare:
    """The tokens of one tenant at one VM.

    Attributes:
        waiting: Number of requests that wait for a token.
        expected: Number of them for which another VM was asked for a loan.
        stock_for_loans: Tokens to hold for other VMs.
        is_near_tokens: Whether another VM of the region owns the allotment, or lends tokens.
    """

    def __init__(self, *, fixed: float, window_s: float, ask_interval_s: float, now: float) -> None:
        """Starts without tokens.

        Args:
            fixed: Requests in a window that this VM may send without a grant.
            window_s: Length of the window in seconds.
            ask_interval_s: Seconds between asks while no request waits.
            now: Current time.
        """
        self.waiting = 0
        self.expected = 0
        self.stock_for_loans = 0
        self.is_near_tokens = False
        #: Time until which borrowed tokens can be used, and their number.
        self._borrowed: deque[list[float]] = deque()
        self._interval_s = float("inf")
        self._window_s = window_s
        self._ask_interval_s = ask_interval_s
        self._next_ask_at = now
        #: Whether the owner has to learn what was used of a grant, for which it keeps room.
        self._owes_report = False
        self._granted: deque[list[float]] = deque()
        self._debt = 0
        self._demand = 0.0
        self._counted_at = now
        self._is_counted = False
        #: Tokens needed and wished by time of the ask, of asks without an answer.
        self._asked: dict[float, tuple[int, int]] = {}
        self._asked_at = float("-inf")
        self._used_up_until = float("-inf")
        self._scarce_until = float("-inf")
        self._fixed = fixed
        self._fixed_tokens = 0.0
        self._fixed_at = now
        self._used = 0.0
        self._used_at = now
        self._granted_at = float("-inf")
        self._continued_at = now
        self._own_tokens = 0.0
        #: Tokens taken without a grant since the last one.
        self._continued = 0
        self._is_known_busy = False
        #: The VM that granted last.
        self._owner = ""

    def update_fixed(self, fixed: float) -> None:
        """Replaces the requests in a window that this VM may send without a grant."""
        self._fixed = fixed

    @property
    def last_used_at(self) -> float:
        """Time of the last request."""
        return self._counted_at

    def record_demand(self, *, now: float) -> None:
        """Counts a caller's request, whether or not it gets a token."""
        self._demand = self._recent_demand(now) + 1.0
        self._interval_s = now - self._counted_at if self._is_counted else float("inf")
        self._counted_at, self._is_counted = now, True

    def try_acquire(self, *, now: float) -> Token | None:
        """Takes a token if there is one."""
        self._drop_expired(now)
        if self._borrowed:
            self._take(self._borrowed)
            return Token(now)
        if self._granted:
            self._count_used(1, now)
            return Token(self._take(self._granted), acquired_at=now)
        if self._try_continue(now):
            return Token(now, is_fixed=True)
        half = self._fixed / 2
        earned = (now - self._fixed_at) * half / self._window_s
        self._fixed_tokens = min(half, self._fixed_tokens + earned)
        self._fixed_at = now
        if self._fixed_tokens >= 1.0:
            self._fixed_tokens -= 1.0
            return Token(now, is_fixed=True)
        return None

    def lend(self, count: int, *, now: float) -> int:
        """Takes some tokens for requests of another VM; returns how many there were."""
        lent = 0
        while lent < count and not self.waiting:
            self._drop_expired(now)
            if self._granted:
                self._count_used(1, now)
                self._take(self._granted)
            elif not self._try_continue(now):
                break
            lent += 1
        return lent

    def record_loan(self, count: int, *, until: float, is_from_owner: bool, now: float) -> None:
        """Records tokens that another VM lent, which can be used until a time.

        Those of the owner count for the rate at which this VM goes on while the owner is silent;
        those of another VM count there.
        """
        if count > 0:
            self._borrowed.append([until, count])
            if is_from_owner:
                self._count_used(count, now)
                self._granted_at = now

    def _count_used(self, count: int, now: float) -> None:
        self._used = self._used * math.exp(-(now - self._used_at) / USED_S) + count
        self._used_at = now

    @staticmethod
    def _take(tokens: deque[list[float]]) -> float:
        oldest = tokens[0]
        oldest[1] -= 1
        if oldest[1] <= 0:
            tokens.popleft()
        return oldest[0]

    def _try_continue(self, now: float) -> bool:
        """Takes a token of the rate that this VM was granted before its owner fell silent."""
        silent_s = now - self._granted_at
        elapsed_s, self._continued_at = now - self._continued_at, now
        is_unanswered = self._asked_at > self._granted_at and now - self._asked_at < UNANSWERED_S
        if not (is_unanswered and UNANSWERED_S <= silent_s <= CONTINUE_S) or self.wait_s(now=now):
            self._own_tokens = 0.0
            return False
        rate = CONTINUE_PART * self._used / USED_S
        capacity = 1.0 + STOCK_S * rate
        self._own_tokens = min(capacity, self._own_tokens + rate * min(elapsed_s, silent_s))
        if self._own_tokens < 1.0:
            return False
        self._own_tokens -= 1.0
        self._continued += 1
        return True

    def give_back(self, token: Token, *, now: float) -> None:
        """Returns the token of a request that did not run and never will."""
        if token.is_fixed:
            self._fixed_tokens = min(self._fixed / 2, self._fixed_tokens + 1.0)
        elif token.expires_at > now and now - token.acquired_at <= RETURN_WITHIN_S:
            self._granted.appendleft([token.expires_at, 1])

    def charge(self) -> None:
        """Counts a further attempt of a request that may have run; the next grant pays for it."""
        self._debt += 1

    def wait_s(self, *, now: float) -> float:
        """Returns the seconds until the owner has tokens again; 0 if it may have some now."""
        return max(0.0, self._used_up_until - now)

    def is_scarce(self, *, now: float) -> bool:
        """Returns whether the owner reported a short time ago that it had too few tokens."""
        return now < self._scarce_until

    def record_grant(self, grant: Grant, *, owner: str, sent_at: float, now: float) -> None:
        """Records an owner's response to an ask that was sent at ``sent_at``.

        The owner counts what this VM held then as outstanding for ``TOKEN_S`` from the ask on, so
        that tokens of the same owner can be used for as long. Another owner that answers this soon
        took the slot over without a wait, and granted the whole rate while this VM went on.
        """
        self._asked.pop(sent_at, None)
        if owner == self._owner:
            for entry in self._granted:
                entry[0] = max(entry[0], sent_at + TOKEN_S)
        elif now - self._granted_at < TRANSITION_S:
            self._debt += self._continued
        self._owner, self._granted_at, self._continued = owner, now, 0
        paid = min(self._debt, grant.granted)
        self._debt -= paid
        if grant.granted > paid:
            self._granted.append([sent_at + TOKEN_S, grant.granted - paid])
        self._owes_report = self._owes_report or grant.granted > 0
        self._used_up_until = float("-inf")
        if grant.wait_s:
            self._scarce_until = now + SCARCE_S
            self._used_up_until = sent_at + grant.wait_s
            if self._stock(now):  # The next regular ask is due, so that no request needs to wait.
                self._used_up_until = max(self._used_up_until, now + self._ask_interval_s)

    def is_ask_due(self, *, now: float) -> bool:
        """Returns whether it is time for the next regular ask, and schedules the one after it."""
        if now < self._next_ask_at:
            return False
        self._next_ask_at = now + 0.9 * self._ask_interval_s
        return True

    def make_ask(
        self, tenant: str, *, now: float, answer_timeout_s: float = ANSWER_TIMEOUT_S
    ) -> Ask | None:
        """Returns what to ask the owner for, or None if there is nothing to ask or return.

        Args:
            tenant: Name of the tenant.
            now: Current time.
            answer_timeout_s: Seconds after which an ask without an answer counts as lost.
        """
        self._drop_expired(now)
        self._asked = {at: n for at, n in self._asked.items() if now - at < answer_timeout_s}
        asked = sum(needed for needed, _ in self._asked.values())
        asked_in_all = sum(map(sum, self._asked.values()))
        held = int(sum(count for _, count in self._granted))
        target = max(0, self.waiting - self.expected) + self._debt + self._stock(now)
        wished = self._wished(now)
        returned = min(held, max(0, held - math.ceil(SURPLUS_FACTOR * target) - wished))
        kept = held - returned
        needed = max(0, target - kept - asked)
        wished = max(0, min(wished, target + wished - kept - asked_in_all))
        is_idle = self._is_known_busy and now - self._counted_at > IDLE_S
        is_idle = is_idle and not self.stock_for_loans
        if is_idle:
            needed, wished, returned, kept = 0, 0, held, 0
        is_busy = self._recent_demand(now) >= BUSY_DEMAND
        self._is_known_busy = not is_idle and (self._is_known_busy or is_busy)
        has_wish = wished > 0 and (kept <= target or self.stock_for_loans > 0)
        is_extending = kept > 0 and self._granted[0][0] - now < EXTEND_BEFORE_S
        if not (needed or returned or has_wish or is_idle or self._owes_report or is_extending):
            return None
        self._owes_report = False
        self._give_up(returned)
        if needed or wished:
            self._asked[now] = (needed, wished)
        if needed or self.stock_for_loans:
            self._asked_at = now
        return Ask(tenant, needed, wished, kept, returned)

    def _wished(self, now: float) -> int:
        """Returns the tokens to keep beyond those that are needed soon."""
        if self.stock_for_loans:  # The owner grants none of these while tokens are scarce.
            return self.stock_for_loans
        if self.is_scarce(now=now):
            return 0
        keep_s = KEEP_NEAR_TOKENS_S if self.is_near_tokens else KEEP_S
        is_frequent = not self.is_near_tokens or self._interval_s < keep_s
        return SURPLUS_TOKENS if is_frequent and now - self._counted_at < keep_s else 0

    def _stock(self, now: float) -> int:
        """Returns the tokens to keep for requests that are expected before the next grant.

        A single request shows nothing of a rate yet.
        """
        return math.floor(max(0.0, self._recent_demand(now) - 1.0) / DEMAND_S * STOCK_S)

    def _recent_demand(self, now: float) -> float:
        """Returns the requests in the last ``DEMAND_S`` seconds, older ones weighing less."""
        return self._demand * math.exp(-(now - self._counted_at) / DEMAND_S)

    def _drop_expired(self, now: float) -> None:
        self._granted = deque(entry for entry in self._granted if entry[0] > now)
        self._borrowed = deque(entry for entry in self._borrowed if entry[0] > now)

    def _give_up(self, count: int) -> None:
        while count:
            oldest = self._granted[0]
            taken = min(count, int(oldest[1]))
            oldest[1] -= taken
            count -= taken
            if oldest[1] <= 0:
                self._granted.popleft()
