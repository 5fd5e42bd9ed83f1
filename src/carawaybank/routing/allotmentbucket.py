"""The token bucket of a tenant's allotment at the VM that owns it.

Load pattern: all VMs ask for tokens of a tenant that sends several times its allotment, and
datagrams of either direction are lost. The tokens in the bucket and those that VMs may still hold
never exceed the burst plus a reserve, and are refilled at the tenant's rate. Requests that run in
any window are therefore at most rate x window + burst + reserve, whenever tokens are used. A new
owner starts with an empty bucket, which keeps this bound across the tokens of its predecessor. What
VMs that fell silent may go on with is kept back for them.
"""

import math
from collections import deque
from typing import NamedTuple

#: Seconds for which a granted token is valid, counted by its holder from before it asked.
TOKEN_S = 2.0
#: Part of the bucket that must be filled before VMs get tokens in advance, and the tokens and
#: seconds of the rate that suffice for it.
MIN_FILL = 0.5
MIN_FILL_TOKENS = 2.0
MIN_FILL_S = 0.05
#: Seconds after which a VM that had asked often counts as cut off, and until when it may go on at
#: the rate of its last grants; and the rate per second of a VM that asks often.
SILENT_S = (0.7, 2.0)
MIN_SILENT_RATE = 4.0
#: Seconds over which the rate of the grants to a VM is averaged, and between counts of silent VMs.
GRANTED_S = 1.0
SILENCE_COUNT_S = 0.2
#: Seconds for which what a VM asked for in vain counts when tokens are shared.
NEED_S = 0.3
#: Longest wait in seconds that a VM is told.
MAX_WAIT_S = 5.0
#: Seconds after a burst was lowered within which raising it again adds no tokens.
BURST_CREDIT_S = 5.0
#: Seconds of the rate that the bucket holds at least, so that asks at intervals lose nothing, and
#: tokens beyond them, which VMs that lend can hold; at most the reserve.
MIN_BURST_S = 0.25
MIN_BURST = 6.0


class AllotmentTerms(NamedTuple):
    """The allotment of a tenant.

    Attributes:
        rate: Requests per second over all VMs.
        burst: Requests beyond the rate at once.
        excess: Requests beyond these that users tolerate in a window.
    """

    rate: float
    burst: float
    excess: float


class Ask(NamedTuple):
    """A VM's request for tokens of one tenant.

    Attributes:
        tenant: Name of the tenant.
        needed: Tokens asked for.
        wished: Further tokens that it would keep in advance while the bucket is well filled.
        held: Tokens that the VM still holds.
        returned: Tokens that it gives back.
    """

    tenant: str
    needed: int
    wished: int
    held: int
    returned: int


class Grant(NamedTuple):
    """The owner's response for one tenant.

    Attributes:
        tenant: Name of the tenant.
        granted: Tokens granted.
        wait_s: Seconds until there is room; 0 if the allotment is not used up.
    """

    tenant: str
    granted: int
    wait_s: float


class _Holder:
    """What the owner knows of one VM: tokens that it may hold, and how many it needs."""

    def __init__(self) -> None:
        self.held = 0
        #: Tokens granted by ask number that the VM has not confirmed.
        self.unconfirmed: dict[int, int] = {}
        self.unmet = 0
        self.unmet_until = 0.0
        self.until = 0.0
        self.asked_at = 0.0
        self.rate = 0.0

    @property
    def outstanding(self) -> int:
        return self.held + sum(self.unconfirmed.values())

    def record_grant(self, count: int, *, is_idle: bool, now: float) -> None:
        elapsed_s = min(GRANTED_S, max(0.05, now - self.asked_at))
        weight = 1.0 - math.exp(-elapsed_s / GRANTED_S)
        self.rate = 0.0 if is_idle else self.rate + weight * (count / elapsed_s - self.rate)
        self.asked_at = now

    def silent_rate(self, now: float) -> float:
        """Requests per second that a VM which does not ask may go on with."""
        is_silent = SILENT_S[0] < now - self.asked_at < SILENT_S[1]
        return self.rate if is_silent and self.rate >= MIN_SILENT_RATE else 0.0


class AllotmentBucket:
    """The tokens of one tenant at its owner.

    >>> bucket = AllotmentBucket(terms=AllotmentTerms(10.0, 20.0, 25.0), now=0.0)
    >>> bucket.ask("vm", Ask("acme", 5, 0, 0, 0), number=1, confirmed=0, now=0.3)
    Grant(tenant='acme', granted=3, wait_s=0.2)
    """

    def __init__(self, *, terms: AllotmentTerms, now: float) -> None:
        """Starts empty, because the tokens of the last owner may still be used.

        Args:
            terms: The allotment; ``excess`` is what tokens in use may add.
            now: Time since which this VM owns the allotment.
        """
        self._terms = terms
        self._tokens = 0.0
        self._refilled_at = now
        self._holders: dict[str, _Holder] = {}
        self._outstanding = 0
        self._unmet = 0
        self._silent_rate = 0.0
        self._credited_burst = 0.0
        self._burst_until = float("-inf")
        self._silence_counted_at = now
        self._expiries: deque[tuple[float, str]] = deque()
        self._need_expiries: deque[tuple[float, str]] = deque()

    @property
    def terms(self) -> AllotmentTerms:
        """The allotment."""
        return self._terms

    def update_terms(self, terms: AllotmentTerms, *, now: float) -> None:
        """Applies a changed allotment; a higher burst is available at once."""
        self._refill(now)
        if terms.burst < self._terms.burst and now >= self._burst_until:
            self._credited_burst = self._terms.burst
        if terms.burst < self._terms.burst:
            self._burst_until = now + BURST_CREDIT_S
        known = max(self._terms.burst, self._credited_burst if now < self._burst_until else 0.0)
        raised = max(0.0, terms.burst - known)
        self._terms = terms
        self._tokens = min(self._tokens + raised, self._capacity)

    def ask(self, vm: str, ask: Ask, *, number: int, confirmed: int, now: float) -> Grant:
        """Returns the grant for a VM's request.

        Args:
            vm: The VM that asks.
            ask: What it asks for and holds.
            number: Number of the ask; increases with each ask of the VM.
            confirmed: Number of the newest ask whose grant is part of what the VM holds.
            now: Current time.
        """
        self._refill(now)
        if vm not in self._holders:
            # Tokens of an earlier owner, which this one extends, count as if granted here.
            self._tokens = max(0.0, self._tokens - max(0, ask.held))
        holder = self._holders.setdefault(vm, _Holder())
        before = holder.outstanding
        # Grants that the VM did not confirm before a newer one are lost, and it will ignore them.
        holder.unconfirmed = {k: n for k, n in holder.unconfirmed.items() if k > confirmed}
        holder.held = max(0, ask.held)
        returned = max(0, min(ask.returned, before - holder.outstanding))
        self._outstanding += holder.outstanding - before
        self._tokens = min(self._tokens + returned, max(self._tokens, self._capacity))
        self._unmet += ask.needed - holder.unmet
        count = self._share(ask.needed)
        if count == ask.needed:
            count += max(0, min(ask.wished, self._spare(count)))
        self._tokens -= count
        if count:
            holder.unconfirmed[number] = count
            self._outstanding += count
        holder.record_grant(
            count - returned, is_idle=not (ask.needed or ask.wished or ask.held), now=now
        )
        holder.unmet = max(0, ask.needed - count)
        self._unmet -= min(count, ask.needed)
        holder.unmet_until = now + NEED_S
        self._need_expiries.append((holder.unmet_until, vm))
        holder.until = now + TOKEN_S
        self._expiries.append((holder.until, vm))
        return Grant(ask.tenant, count, self._wait_s() if count < ask.needed else 0.0)

    def lend(self, vm: str, count: int, *, now: float) -> int:
        """Takes some tokens for requests that wait at a VM; returns how many there were.

        They are used at once, and thus not outstanding. VMs that share too few tokens come first.
        """
        self._refill(now)
        lent = max(0, min(count, int(self._tokens + 1e-9))) if not self._unmet else 0
        if lent:
            self._tokens -= lent
            holder = self._holders.setdefault(vm, _Holder())
            holder.record_grant(lent, is_idle=False, now=now)
            holder.until = max(holder.until, now + TOKEN_S)
            self._expiries.append((holder.until, vm))
        return lent

    @property
    def _capacity(self) -> float:
        rate, burst, reserve = self._terms
        return max(burst, 1.0, min(reserve, MIN_BURST + MIN_BURST_S * rate))

    def _spare(self, count: int) -> int:
        """Returns the tokens that VMs may keep in advance after a grant.

        Tokens in VMs' hands keep the bucket from refilling; they leave room for some in it.
        """
        rate, burst, reserve = self._terms
        kept = min(self._capacity * MIN_FILL, max(MIN_FILL_TOKENS, MIN_FILL_S * rate))
        room = burst + reserve - kept - self._outstanding
        return int(min(self._tokens - kept, room) - count)

    def _share(self, needed: int) -> int:
        """Returns how many tokens a VM gets, in proportion to its needs if not all can be met."""
        available = int(self._tokens + 1e-9)
        if self._unmet > available:
            available = min(available, max(1, int(available * needed / self._unmet)))
        return max(0, min(needed, available))

    def _wait_s(self) -> float:
        """Returns the seconds until there is a token after those that other requests wait for.

        It is less than the time in which the bucket would fill, so that no tokens are lost.
        """
        others = min(max(0, self._unmet - 1), self._capacity / 2)
        missing = max(0.0, 1.0 - self._tokens) + others
        return round(min(MAX_WAIT_S, max(0.001, missing / self._terms.rate)), 3)

    def _refill(self, now: float) -> None:
        self._drop_expired(now)
        rate, burst, reserve = self._terms
        room = min(self._capacity, burst + reserve - self._outstanding) - self._tokens
        if now - self._silence_counted_at >= SILENCE_COUNT_S:
            self._silence_counted_at = now
            self._silent_rate = sum(h.silent_rate(now) for h in self._holders.values())
        earned = max(0.0, rate - self._silent_rate) * max(0.0, now - self._refilled_at)
        self._tokens += max(0.0, min(earned, room))
        self._refilled_at = now

    def _drop_expired(self, now: float) -> None:
        while self._need_expiries and self._need_expiries[0][0] <= now:
            _, vm = self._need_expiries.popleft()
            holder = self._holders.get(vm)
            if holder is not None and holder.unmet_until <= now:
                self._unmet -= holder.unmet
                holder.unmet = 0
        while self._expiries and self._expiries[0][0] <= now:
            _, vm = self._expiries.popleft()
            holder = self._holders.get(vm)
            if holder is not None and holder.until <= now:
                self._outstanding -= holder.outstanding
                self._unmet -= holder.unmet
                del self._holders[vm]
