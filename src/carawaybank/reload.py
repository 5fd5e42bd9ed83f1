"""Notices changed settings, which may change without a signal too."""

from pathlib import Path

from carawaybank import deployment as deployments
from carawaybank.deployment import Deployment
from carawaybank.exceptions import DocumentError
from carawaybank.journal import Journal


class SettingsFile:
    """A settings file that is looked at again and again."""

    def __init__(self, *, path: Path, journal: Journal) -> None:
        """Reads nothing yet.

        Args:
            path: The file.
            journal: Where a file that cannot be used is noted, once for each reason.
        """
        self._path = path
        self._journal = journal
        self._text = b""
        self._fault = ""

    def load_changed(self) -> Deployment | None:
        """Returns the settings if the file changed since the last time and can be used."""
        try:
            text = self._path.read_bytes()
            if text == self._text:
                return None
            self._text = text
            changed = deployments.load(self._path)
        except (OSError, DocumentError) as error:
            if str(error) != self._fault:
                self._journal.note("daemon", "settings passed over", reason=str(error))
            self._fault = str(error)
            return None
        self._fault = ""
        return changed
