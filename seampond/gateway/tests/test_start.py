"""Tests of what a gateway loads at its start, and of its settings."""

import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from seampond.errors import SettingsError
from seampond.settings.gateway import load_gateway

# Each of these libraries would slow down the start.
_SLOW = ('pydantic', 'aiosonic', 'starlette.routing', 'cleo', 'transitions')
_GOOD = """
[gateway]
name = "g1"
zone = "a"
listen = "10.0.0.1:80"
ready_listen = "10.0.0.1:81"
metrics_listen = "10.0.0.1:82"
peer_listen = "10.0.0.1:83"
[gateway.store]
address = "10.0.0.9:80"
"""


class StartTest(unittest.TestCase):
    def test_slow_libraries_are_not_loaded(self) -> None:
        program = (
            'import sys, seampond.gateway.__main__;'
            f'print([name for name in {_SLOW!r} if name in sys.modules])'
        )
        completed = subprocess.run(
            [sys.executable, '-c', program],
            capture_output=True,
            text=True,
            check=True,
        )
        self.assertEqual(completed.stdout.strip(), '[]')


class GatewaySettingsTest(unittest.TestCase):
    def setUp(self) -> None:
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.path = Path(scratch.name) / 'gateway.toml'

    def problem(self, text: str) -> str:
        self.path.write_text(text)
        with self.assertRaises(SettingsError) as caught:
            load_gateway(self.path)
        self.assertIn(str(self.path), caught.exception.message)
        return caught.exception.message

    def test_valid_settings_load(self) -> None:
        self.path.write_text(f'{_GOOD}history_ms = 4000\n')
        settings = load_gateway(self.path)
        self.assertEqual(settings.store.call_ms, 3000)
        self.assertEqual(settings.bounds.revoke_ms, 5000)

    def test_errors_name_the_key_and_a_remedy(self) -> None:
        cases = (
            (f'{_GOOD}histery_ms = 1', 'store.histery_ms: unknown key; remove'),
            (_GOOD.replace('zone', '#'), 'zone: missing; add it'),
            (
                _GOOD.replace('10.0.0.1:80', 'here'),
                'listen: write it as IP:PORT',
            ),
            (_GOOD.replace('1:80"', '1:70000"'), 'a port of at most 65535'),
            (_GOOD.replace('"g1"', '"G 1"'), 'name: '),
            (f'{_GOOD}wait_ms = 0', 'store.wait_ms: '),
            (f'{_GOOD}wait_ms = "soon"', 'store.wait_ms: '),
            (
                f'{_GOOD}[gateway.bounds]\nquota_slack = -1',
                'bounds.quota_slack',
            ),
            (_GOOD.replace('[gateway', '[agent'), 'it must hold just one of'),
            ('[gateway', 'not TOML'),
        )
        for text, message in cases:
            with self.subTest(message):
                self.assertIn(message, self.problem(text))

    def test_missing_file_is_an_error(self) -> None:
        with self.assertRaises(SettingsError):
            load_gateway(self.path)
