"""Structured logging as JSON lines, bounded and non-blocking."""

import logging
import queue
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable
from logging.handlers import QueueHandler
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

_FORMAT = '%(asctime)s %(levelname)s %(name)s %(message)s'
_RENAMED_FIELDS = (
    ('asctime', 'time'),
    ('levelname', 'level'),
    ('name', 'logger'),
    ('message', 'event'),
)
_QUEUE_MAX_LINES = 2000
_ROUTINE_QUEUE_MAX_LINES = 1000
_ROUTINE_LINES_PER_SECOND = 300
_CLOSE_TIMEOUT_SECONDS = 0.5


class LineRateLimiter(logging.Filter):
    """Limits the rate of routine lines.

    Explanation
    -----------
    Lines below `WARNING` are limited for each event; warnings and errors are
    not.  The number of dropped lines is added to a later line.

    Examples
    --------
    >>> rate_limiter = LineRateLimiter(2, lambda: 7.0)
    >>> record = logging.LogRecord('x', 20, '', 0, 'served', None, None)
    >>> [rate_limiter.filter(record) for _ in range(3)]
    [True, True, False]

    """

    def __init__(self, per_second: int, now: Callable[[], float]) -> None:
        """Initialize the filter."""
        super().__init__()
        self.dropped = 0
        self._per_second = per_second
        self._now = now
        self._second = 0
        self._counts: Counter[str] = Counter()
        self._unreported = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether the line may be written."""
        second = int(self._now())
        if second != self._second:
            self._second = second
            self._counts.clear()
        if record.levelno < logging.WARNING:
            self._counts[record.msg] += 1
            if self._counts[record.msg] > self._per_second:
                self.record_dropped()
                return False
        return True

    def take_unreported_count(self) -> int:
        """Return the number of lines dropped since the last call."""
        unreported = self._unreported
        self._unreported = 0
        return unreported

    def record_dropped(self) -> None:
        """Record a dropped line."""
        self.dropped += 1
        self._unreported += 1


class BoundedQueueHandler(QueueHandler):
    """Passes records to the writing thread without blocking.

    Explanation
    -----------
    If the reader of the output stalls, routine lines are dropped once the
    queue is half full, warnings and errors once it is full.
    """

    def __init__(
        self,
        lines: 'queue.Queue[logging.LogRecord | None]',
        rate_limiter: LineRateLimiter,
    ) -> None:
        """Initialize the handler."""
        super().__init__(lines)
        self.addFilter(rate_limiter)
        # The thread formats the line; only the message is formatted here.
        self.setFormatter(logging.Formatter('%(message)s'))
        self._lines = lines
        self._rate_limiter = rate_limiter

    @property
    def dropped(self) -> int:
        """The number of lines that were dropped."""
        return self._rate_limiter.dropped

    @property
    def is_drained(self) -> bool:
        """Whether the queue is empty."""
        return self._lines.empty()

    def enqueue(self, record: logging.LogRecord) -> None:
        """Put a record on the queue, or drop it."""
        is_routine = record.levelno < logging.WARNING
        if is_routine and self._lines.qsize() > _ROUTINE_QUEUE_MAX_LINES:
            self._rate_limiter.record_dropped()
            return
        if self._lines.full():
            self._rate_limiter.record_dropped()
            return
        unreported = self._rate_limiter.take_unreported_count()
        if unreported:
            record.dropped_lines = unreported
        self._lines.put_nowait(record)


class LogWriter:
    """Writes the log of this process in a separate thread."""

    def __init__(self, stream: TextIO, process: str = '') -> None:
        """Start the thread."""
        lines: queue.Queue[logging.LogRecord | None]
        lines = queue.Queue(_QUEUE_MAX_LINES)
        rate_limiter = LineRateLimiter(
            _ROUTINE_LINES_PER_SECOND, time.monotonic
        )
        self.handler = BoundedQueueHandler(lines, rate_limiter)
        self._lines = lines
        self._target = logging.StreamHandler(stream)
        self._target.setFormatter(
            JsonFormatter(
                _FORMAT,
                rename_fields=dict(_RENAMED_FIELDS),
                static_fields={'process': process},
                timestamp=False,
            )
        )
        self._thread = threading.Thread(target=self._write, daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Write the queued lines and stop, within a time limit."""
        try:
            self._lines.put_nowait(None)
        except queue.Full:
            return
        self._thread.join(_CLOSE_TIMEOUT_SECONDS)

    def _write(self) -> None:
        while True:
            record = self._lines.get()
            if record is None:
                return
            self._target.handle(record)


def set_up_logs(
    level: str, stream: TextIO | None = None, process: str = ''
) -> LogWriter:
    """Set up logging of JSON lines.

    Parameters
    ----------
    level : str
        Lowest level to log, for example ``INFO``.
    stream : TextIO or None
        Output stream; standard output by default.
    process : str
        Name of the process, added to each line.

    Returns
    -------
    LogWriter
        The writer, to be closed at the end of the process.

    """
    writer = LogWriter(stream or sys.stdout, process)
    logging.basicConfig(level=level, handlers=[writer.handler], force=True)
    # These libraries log what seampond logs itself.
    logging.getLogger('transitions').setLevel(logging.WARNING)
    logging.getLogger('uvicorn').setLevel(logging.CRITICAL)
    return writer
