"""Tests of reading settings files, and of the example files."""

import tempfile
import unittest
from pathlib import Path

from seampond.errors import SettingsError
from seampond.settings.load import load_any, load_settings
from seampond.settings.models import AgentSettings, EntrySettings
from seampond.testing.processes import EXAMPLES

GOOD = """
[entry]
name = "entry-1"
hall = "kakkanad"
listen = "127.0.0.1:7111"
[entry.links]
secret = "a-secret-that-is-long"
[entry.platform]
tables = "http://127.0.0.1:7101"
objects = "http://127.0.0.1:7101"
vms = "http://127.0.0.1:7101"
"""


class LoadTest(unittest.TestCase):
    def setUp(self) -> None:
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.path = Path(scratch.name) / 'entry.toml'

    def problem(self, text: str) -> str:
        self.path.write_text(text)
        with self.assertRaises(SettingsError) as caught:
            load_settings(self.path, EntrySettings)
        self.assertIn(str(self.path), caught.exception.message)
        return caught.exception.message

    def test_valid_settings_load(self) -> None:
        self.path.write_text(GOOD)
        settings = load_settings(self.path, EntrySettings)
        self.assertEqual(settings.links.heartbeat_ms, 1000)

    def test_error_names_an_unknown_key(self) -> None:
        message = self.problem(GOOD.replace('hall', 'zone'))
        self.assertIn('zone: unknown key', message)
        self.assertIn('hall: missing', message)

    def test_error_of_an_address_shows_the_format(self) -> None:
        message = self.problem(GOOD.replace('127.0.0.1:7111', 'localhost'))
        self.assertIn('listen', message)
        self.assertIn('IP:PORT', message)

    def test_short_secret_is_an_error(self) -> None:
        message = self.problem(GOOD.replace('-that-is-long', ''))
        self.assertIn('links.secret', message)

    def test_invalid_toml_is_an_error(self) -> None:
        self.assertIn('not TOML', self.problem('[entry'))

    def test_missing_file_is_an_error(self) -> None:
        with self.assertRaises(SettingsError):
            load_any(self.path)

    def test_file_of_another_role_is_an_error(self) -> None:
        self.path.write_text(GOOD)
        with self.assertRaises(SettingsError) as caught:
            load_settings(self.path, AgentSettings)
        self.assertIn('[agent]', caught.exception.message)

    def test_two_roles_in_a_file_are_an_error(self) -> None:
        self.assertIn('just one of', self.problem(f'{GOOD}\n[agent]\n'))

    def test_all_examples_are_valid(self) -> None:
        paths = [
            path for path in EXAMPLES.glob('*/*.toml') if path.stem != 'seed'
        ]
        self.assertGreater(len(paths), 20)
        for path in paths:
            load_any(path)
