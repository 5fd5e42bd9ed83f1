"""Logging by loguru: one line an event, with a fixed prefix for each part."""

import sys
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from loguru import Logger

_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} [{extra[part]}] {message}"


def configure(*, level: str, as_json: bool) -> None:
    """Sends logs to standard error.

    Args:
        level: Least level that is logged.
        as_json: Whether each line is a JSON object.
    """
    logger.remove()
    logger.configure(extra={"part": "daemon"})
    logger.add(sys.stderr, level=level, format=_FORMAT, serialize=as_json, enqueue=False)


def part(name: str) -> "Logger":
    """Returns the logger of a part of the system.

    >>> part("targets") is not None
    True
    """
    return logger.bind(part=name)
