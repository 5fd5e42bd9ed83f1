"""Strict revocation: how long a VM uses API keys without proof that its configuration is current.

Load pattern: VMs that are cut off from the store and from their siblings go on serving all their
callers while keys are withdrawn. Unless revocation is strict they do so without a limit, because
refusing all tenants would turn each loss of the store into an outage.
"""

import math


class RevocationLimit:
    """The time since the configuration in force was last proven to be current.

    >>> limit = RevocationLimit(is_strict=True, within_s=5.0)
    >>> limit.is_exceeded(now=0.0)
    True
    >>> limit.record_proof(at=7.0)
    >>> limit.is_exceeded(now=12.0), limit.is_exceeded(now=12.1)
    (False, True)
    """

    def __init__(self, *, is_strict: bool, within_s: float) -> None:
        """Starts without a proof.

        Args:
            is_strict: Whether keys may be used only for a limited time without proof.
            within_s: This time in seconds.
        """
        self.is_strict = is_strict
        self.within_s = within_s
        self._proven_at = -math.inf

    def update(self, *, is_strict: bool, within_s: float) -> None:
        """Replaces the limit and keeps the proof."""
        self.is_strict, self.within_s = is_strict, within_s

    def record_proof(self, *, at: float) -> None:
        """Records that the configuration in force was current at a time in monotonic seconds."""
        self._proven_at = max(self._proven_at, at)

    def age_s(self, *, now: float) -> float:
        """Returns the seconds since the last proof; infinity if there is none."""
        return now - self._proven_at

    def is_exceeded(self, *, now: float) -> bool:
        """Returns whether keys may not be used at present."""
        return self.is_strict and self.age_s(now=now) > self.within_s
