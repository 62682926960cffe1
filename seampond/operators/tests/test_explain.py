"""Tests of `seampond explain` on the logs of several processes."""

import json
import tempfile
import unittest
from pathlib import Path
from types import MappingProxyType
from typing import Any

from cleo.testers.command_tester import CommandTester

from seampond.operators.main import make_application

_REQUEST_OVER = MappingProxyType(
    {
        'event': 'request over',
        'request': 'r1',
        'outcome': 'in-doubt',
        'status': 502,
        'version': 7,
        'proof_age_ms': 420,
        'tried': [
            {
                'server': 'i-9',
                'load': 3,
                'pace': 1.5,
                'expected_ms': 80,
                'first_ms': -1,
                'outcome': 'in-doubt',
            }
        ],
    }
)


def _log_line(second: int, **fields: Any) -> str:
    written_at = f'2026-01-02 03:04:{second:02d},500'
    return json.dumps({'time': written_at, 'level': 'INFO'} | fields)


class ExplainTest(unittest.TestCase):
    """The command reads log files and prints the course of a request."""

    def test_lines_are_ordered_with_preceding_state_events(self) -> None:
        """Lines of both processes and earlier state events come in order."""
        status, output, _ = self._run(
            'r1',
            g1=[
                'no line of ours',
                _log_line(
                    3, event='store call failed', process='g1', table='op'
                ),
                f'12.3 host {_log_line(5, process="g1", **_REQUEST_OVER)}',
                _log_line(5, event='request over', request='r2', tried=[]),
            ],
            g2=[
                _log_line(4, event='attempt failed', request='r1', process='g2')
            ],
        )
        self.assertEqual(status, 0)
        printed_lines = output.splitlines()
        self.assertIn('g1: store call failed', printed_lines[0])
        self.assertIn('g2: attempt failed', printed_lines[1])
        self.assertIn('proof_age_ms 420', printed_lines[2])
        self.assertIn('sent to i-9: thought to hold 3', printed_lines[3])
        self.assertIn('never came', printed_lines[3])
        self.assertIn('decided at g1: in-doubt', printed_lines[4])
        self.assertNotIn('r2', output)

    def test_unknown_request_and_missing_file_are_reported(self) -> None:
        """Both failures exit with status 1 and one line on stderr."""
        status, _, error = self._run('r9', g1=[_log_line(5, **_REQUEST_OVER)])
        self.assertEqual(status, 1)
        self.assertIn("no line of request 'r9'", error)
        status, _, error = self._run('r1 /nowhere/at-all.log')
        self.assertEqual(status, 1)
        self.assertIn('cannot be read', error)

    def _run(self, arguments: str, **files: list[str]) -> tuple[int, str, str]:
        with tempfile.TemporaryDirectory() as folder:
            paths = []
            for name, lines in files.items():
                path = Path(folder) / f'{name}.log'
                path.write_text('\n'.join(lines), encoding='utf-8')
                paths.append(str(path))
            command = make_application().find('explain')
            tester = CommandTester(command)
            names = ' '.join(paths)
            status = tester.execute(f'{arguments} {names}')
        return status, tester.io.fetch_output(), tester.io.fetch_error()
