"""Decides when a VM that lags asks a sibling for the changes that the sibling has reported.

Load pattern: the readers of a failure domain, and maybe this VM itself, are cut off from the store
or get no response, while heartbeats from elsewhere show that there are changes.
"""

from carawaybank.rows import INITIAL_POSITION, Position

#: Seconds without another attempt after a sibling did not give the changes. The pauses between
#: calls to a store that does not respond are shorter, so that they are not cut off each time.
_RETRY_PAUSE_S = 1.0


class CatchUp:
    """The newest position that siblings report for a table, and the one that can be asked for it.

    >>> catch_up = CatchUp()
    >>> catch_up.record_report(Position(1, 5), vm="vm-2")
    >>> catch_up.begin(now=0.0), catch_up.source
    (True, 'vm-2')
    >>> catch_up.end(now=0.1), catch_up.source, catch_up.begin(now=0.2)
    (None, '', False)
    """

    def __init__(self) -> None:
        """Starts without reports."""
        self._newest_position = INITIAL_POSITION
        self._vm = ""
        self._is_wanted = False
        self._paused_until = float("-inf")

    @property
    def newest_position(self) -> Position:
        """Newest position that a sibling or the store has reported."""
        return self._newest_position

    @property
    def source(self) -> str:
        """Name of the VM to ask instead of the reader; empty if the reader is called."""
        return self._vm if self._is_wanted else ""

    def record_report(self, position: Position, *, vm: str) -> None:
        """Records a reported position.

        Args:
            position: Position up to which the sender knows of changes.
            vm: Name of the sender; empty if it has not read these changes itself.
        """
        if position > self._newest_position:
            self._newest_position, self._vm = position, vm
        elif position == self._newest_position and vm:
            self._vm = vm

    def can_begin(self, *, now: float) -> bool:
        """Returns whether a sibling can be asked at a time in monotonic seconds."""
        return bool(self._vm) and now >= self._paused_until

    def begin(self, *, now: float) -> bool:
        """Has the next call go to the sibling, if one can be asked; returns whether it does."""
        self._is_wanted = self.can_begin(now=now)
        return self._is_wanted

    def end(self, *, now: float) -> None:
        """Has the next call go to the reader again, after a call to the sibling."""
        self._is_wanted = False
        self._paused_until = now + _RETRY_PAUSE_S
