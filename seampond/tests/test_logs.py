"""Logging must not block and must prefer failures to routine lines."""

import io
import json
import logging
import threading
import unittest
from collections.abc import Iterator
from contextlib import contextmanager

from seampond.logs import LogWriter, set_up_logs

_MANY = 5000
_SERVED = 1500
_EACH = 10
_POLL_SECONDS = 0.01


class StalledStream(io.StringIO):
    """A stream whose reader stalls until it is resumed."""

    def __init__(self) -> None:
        """Initialize a stalled stream."""
        super().__init__()
        self.resumed = threading.Event()

    def write(self, text: str) -> int:
        """Block like a full pipe."""
        self.resumed.wait()
        return super().write(text)


@contextmanager
def _logger_to(
    stream: io.StringIO,
) -> Iterator[tuple[logging.Logger, LogWriter]]:
    writer = LogWriter(stream)
    logger = logging.Logger('test', logging.INFO)
    logger.addHandler(writer.handler)
    yield logger, writer
    writer.close()


def _read(stream: io.StringIO) -> list[dict[str, object]]:
    return [json.loads(line) for line in stream.getvalue().splitlines()]


class LogsTest(unittest.TestCase):
    """Written and dropped lines."""

    def test_line_is_json_with_its_fields(self) -> None:
        """Extra fields are written at the top level."""
        stream = io.StringIO()
        root = logging.getLogger()
        before = (root.level, root.handlers.copy())
        writer = set_up_logs('INFO', stream)
        root.info('request over', extra={'request': 'r1', 'ms': 3})
        writer.close()
        root.setLevel(before[0])
        root.handlers = before[1]
        line = _read(stream)[0]
        self.assertEqual(line['event'], 'request over')
        self.assertEqual((line['request'], line['ms']), ('r1', 3))
        self.assertEqual(line['level'], 'INFO')

    def test_stalled_reader_does_not_block(self) -> None:
        """Lines are dropped and their number is reported."""
        stream = StalledStream()
        with _logger_to(stream) as (logger, writer):
            for number in range(_MANY):
                logger.warning('failed', extra={'number': number})
            stream.resumed.set()
            while not writer.handler.is_drained:
                threading.Event().wait(_POLL_SECONDS)
            logger.warning('last')
        lines = _read(stream)
        self.assertLess(len(lines), _MANY)
        self.assertEqual(lines[-1]['event'], 'last')
        dropped = lines[-1]['dropped_lines']
        self.assertEqual(dropped, _MANY + 1 - len(lines))

    def test_only_routine_lines_are_rate_limited(self) -> None:
        """No warning is dropped under load."""
        stream = io.StringIO()
        with _logger_to(stream) as opened:
            logger, writer = opened
            for number in range(_SERVED):
                logger.info('served', extra={'number': number})
                if not number % _EACH:
                    logger.warning('failed', extra={'number': number})
        lines = _read(stream)
        failed = [line for line in lines if line['event'] == 'failed']
        served = [line for line in lines if line['event'] == 'served']
        self.assertEqual(len(failed), _SERVED // _EACH)
        self.assertLess(len(served), _SERVED)
        reported = sum(int(str(line.get('dropped_lines', 0))) for line in lines)
        self.assertLessEqual(reported, writer.handler.dropped)
        self.assertEqual(writer.handler.dropped, _SERVED - len(served))
