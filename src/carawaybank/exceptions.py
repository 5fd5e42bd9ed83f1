"""Exceptions of carawaybank.

All derive from :class:`CarawaybankError`, so that an application can catch one type. Outcomes of
requests are not exceptions but values of :mod:`carawaybank.verdicts`.
"""


class CarawaybankError(Exception):
    """Base class of all errors raised by carawaybank."""


class DocumentError(CarawaybankError, ValueError):
    """A settings file, ticket or message does not have the documented structure.

    Attributes:
        faults: One message per fault found.
    """

    def __init__(self, *, source: str, faults: tuple[str, ...]) -> None:
        """Creates an error that lists the faults of one document.

        Args:
            source: Name of the file or peer from which the document was read.
            faults: One message per fault.
        """
        super().__init__(f"{source}: " + "; ".join(faults))
        self.faults = faults


class PlatformError(CarawaybankError):
    """The platform responded with an error or did not respond.

    Attributes:
        may_have_run: Whether the call may have taken effect.
    """

    def __init__(self, *, message: str, may_have_run: bool) -> None:
        """Creates an error for one failed call.

        Args:
            message: Description of the failure.
            may_have_run: Whether the call may have taken effect.
        """
        super().__init__(message)
        self.may_have_run = may_have_run


class SnapshotError(CarawaybankError):
    """A snapshot is damaged or incomplete."""


class ListenError(CarawaybankError):
    """A server cannot bind its address."""
