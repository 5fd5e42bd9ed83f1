"""Detection of changes of the settings file, which may change without a signal to the process."""

from pathlib import Path

from carawaybank import deployment as deployments
from carawaybank.deployment import Deployment
from carawaybank.exceptions import DocumentError
from carawaybank.journal import Journal


class SettingsFile:
    """Settings file that is polled for changes."""

    def __init__(self, *, path: Path, journal: Journal) -> None:
        """Stores the path without reading the file.

        Args:
            path: Path of the settings file.
            journal: Journal to which an invalid file is logged, once while the reason stays the
                same.
        """
        self._path = path
        self._journal = journal
        self._content = b""
        self._last_error = ""

    def load_if_changed(self) -> Deployment | None:
        """Returns the settings if the file has changed since the last call, else None.

        An invalid file is logged to the journal and also returns None.
        """
        try:
            content = self._path.read_bytes()
            if content == self._content:
                return None
            self._content = content
            changed = deployments.load(self._path)
        except (OSError, DocumentError) as error:
            if str(error) != self._last_error:
                self._journal.log("daemon", "settings passed over", reason=str(error))
            self._last_error = str(error)
            return None
        self._last_error = ""
        return changed
