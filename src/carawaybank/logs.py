"""Logging with loguru: one line per event, prefixed with the component that logs it."""

import sys
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from loguru import Logger

_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} [{extra[part]}] {message}"


def configure(*, level: str, as_json: bool) -> None:
    """Configures loguru to log to standard error.

    Args:
        level: Minimum level that is logged.
        as_json: Whether each line is written as a JSON object.
    """
    logger.remove()
    logger.configure(extra={"part": "daemon"})
    logger.add(sys.stderr, level=level, format=_FORMAT, serialize=as_json, enqueue=False)


def get_logger(name: str) -> "Logger":
    """Returns the logger of a component of the system.

    >>> get_logger("targets") is not None
    True
    """
    return logger.bind(part=name)
