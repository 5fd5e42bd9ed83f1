"""The exceptions of carawaybank.

All derive from :class:`CarawaybankError`, so that an embedder can catch one type. Outcomes of
requests are not exceptions; they are values of :mod:`carawaybank.verdicts`.
"""


class CarawaybankError(Exception):
    """Base class of all errors raised by carawaybank."""


class DocumentError(CarawaybankError, ValueError):
    """A settings file, ticket or message does not have the documented shape.

    Attributes:
        faults: One sentence for each fault found.
    """

    def __init__(self, *, source: str, faults: tuple[str, ...]) -> None:
        """Collects the faults of one document.

        Args:
            source: Name of the file or peer that the document came from.
            faults: One sentence for each fault.
        """
        super().__init__(f"{source}: " + "; ".join(faults))
        self.faults = faults


class PlatformError(CarawaybankError):
    """The platform answered with an error or did not answer.

    Attributes:
        may_have_run: Whether the call may have taken effect.
    """

    def __init__(self, *, message: str, may_have_run: bool) -> None:
        """Describes a failed call.

        Args:
            message: What was seen.
            may_have_run: Whether the call may have taken effect.
        """
        super().__init__(message)
        self.may_have_run = may_have_run


class SnapshotError(CarawaybankError):
    """A snapshot is damaged or incomplete."""


class ListenError(CarawaybankError):
    """An address to serve cannot be listened on."""


class TaskError(CarawaybankError):
    """A background task of the process failed, and the process stopped for it."""
