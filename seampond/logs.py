"""One structured line for each decision, on standard output."""

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
_RENAMED = (
    ('asctime', 'time'),
    ('levelname', 'level'),
    ('name', 'logger'),
    ('message', 'event'),
)
_LINES_MAX = 2000
_ROUTINE_MAX = 1000
_ROUTINE_PER_SECOND = 300
_END_SECONDS = 0.5


class LineRateLimiter(logging.Filter):
    """Lets so many lines of one kind through in a second.

    Explanation
    -----------
    Routine lines (below `WARNING`) are bounded for each event; failures are
    not, so that under load they keep their lines.  What is dropped is told
    with the first line of a later second.

    Examples
    --------
    >>> budget = LineRateLimiter(2, lambda: 7.0)
    >>> record = logging.LogRecord('x', 20, '', 0, 'served', None, None)
    >>> [budget.filter(record) for _ in range(3)]
    [True, True, False]

    """

    def __init__(self, per_second: int, now: Callable[[], float]) -> None:
        """Start with nothing dropped."""
        super().__init__()
        self.dropped = 0
        self._per_second = per_second
        self._now = now
        self._second = 0
        self._counts: Counter[str] = Counter()
        self._untold = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Tell whether this line is written."""
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
        """Give how many lines were dropped since this was asked last."""
        untold = self._untold
        self._untold = 0
        return untold

    def record_dropped(self) -> None:
        """Count a line that is not written."""
        self.dropped += 1
        self._untold += 1


class BoundedQueueHandler(QueueHandler):
    """Hands lines to a thread that writes them; never waits for it.

    Explanation
    -----------
    The reader of our output may stall.  Then the queue fills: routine lines
    are dropped at half of it, failures at its end.
    """

    def __init__(
        self,
        lines: 'queue.Queue[logging.LogRecord | None]',
        budget: LineRateLimiter,
    ) -> None:
        """Keep the queue."""
        super().__init__(lines)
        self.addFilter(budget)
        # The thread formats; here only the message is put together.
        self.setFormatter(logging.Formatter('%(message)s'))
        self._lines = lines
        self._budget = budget

    @property
    def dropped(self) -> int:
        """How many lines were not written."""
        return self._budget.dropped

    @property
    def is_drained(self) -> bool:
        """Whether no line waits to be written."""
        return self._lines.empty()

    def enqueue(self, record: logging.LogRecord) -> None:
        """Put a line on the queue, or drop it."""
        is_routine = record.levelno < logging.WARNING
        if is_routine and self._lines.qsize() > _ROUTINE_MAX:
            self._budget.record_dropped()
            return
        if self._lines.full():
            self._budget.record_dropped()
            return
        untold = self._budget.take_unreported_count()
        if untold:
            record.dropped_lines = untold
        self._lines.put_nowait(record)


class LogWriter:
    """Writes the lines of this process, in a thread of its own."""

    def __init__(self, stream: TextIO, process: str = '') -> None:
        """Start the thread; each line names the process."""
        lines: queue.Queue[logging.LogRecord | None]
        lines = queue.Queue(_LINES_MAX)
        budget = LineRateLimiter(_ROUTINE_PER_SECOND, time.monotonic)
        self.handler = BoundedQueueHandler(lines, budget)
        self._lines = lines
        self._target = logging.StreamHandler(stream)
        self._target.setFormatter(
            JsonFormatter(
                _FORMAT,
                rename_fields=dict(_RENAMED),
                static_fields={'process': process},
                timestamp=False,
            )
        )
        self._thread = threading.Thread(target=self._write, daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Write what is left, if the reader takes it in time."""
        try:
            self._lines.put_nowait(None)
        except queue.Full:
            return
        self._thread.join(_END_SECONDS)

    def _write(self) -> None:
        while True:
            record = self._lines.get()
            if record is None:
                return
            self._target.handle(record)


def set_up_logs(
    level: str, stream: TextIO | None = None, process: str = ''
) -> LogWriter:
    """Log JSON lines of `level` and above.

    Parameters
    ----------
    level : str
        A name that `logging` knows, for example ``INFO``.
    stream : TextIO or None
        Where to; standard output by default.
    process : str
        The name that each line carries.

    Returns
    -------
    LogWriter
        To be closed at the end of the process.

    """
    writer = LogWriter(stream or sys.stdout, process)
    logging.basicConfig(level=level, handlers=[writer.handler], force=True)
    # The library logs each transition; our own lines say what changed.
    logging.getLogger('transitions').setLevel(logging.WARNING)
    logging.getLogger('uvicorn').setLevel(logging.CRITICAL)
    return writer
