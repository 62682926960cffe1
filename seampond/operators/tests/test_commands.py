"""Tests of the operators' commands against a stand-in platform."""

import json
import tempfile
import threading
import unittest
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from cleo.testers.application_tester import ApplicationTester

from seampond.demo.fleet import copy_with_free_ports
from seampond.operators.main import make_application
from seampond.testing.processes import EXAMPLES, Processes


@contextmanager
def run_platform() -> Iterator[Processes]:
    with tempfile.TemporaryDirectory() as scratch:
        folder = Path(scratch)
        copy_with_free_ports(EXAMPLES / 'blue-mahoe', folder)
        processes = Processes(folder)
        processes.start('platform')
        try:
            while processes.read_page('platform', '/counts') is None:
                threading.Event().wait(0.05)
            yield processes
        finally:
            processes.stop_all()


class CommandsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.processes = self.enterContext(run_platform())
        self.tester = ApplicationTester(make_application())

    def run_command(self, arguments: str) -> int:
        path = self.processes.folder / 'operator.toml'
        return self.tester.execute(f'{arguments} --settings {path}')

    def run_json(self, arguments: str) -> Any:
        self.assertEqual(self.run_command(f'{arguments} --json'), 0)
        return json.loads(self.tester.io.fetch_output())

    def test_templates_are_listed_shown_changed_and_deleted(self) -> None:
        templates = self.run_json('template list')
        self.assertIn('form-tag', [row['name'] for row in templates])
        self.run_json('template set form-tag deadline_ms=1234')
        row = self.run_json('template show form-tag')
        self.assertEqual(row['deadline_ms'], 1234)
        self.run_json('template delete form-tag')
        self.assertEqual(self.run_command('template show form-tag'), 2)

    def test_edit_based_on_stale_version_is_rejected(self) -> None:
        version = self.run_json('template show form-tag')['version']
        self.run_json('template set form-tag deadline_ms=1234')
        arguments = (
            f'template set form-tag deadline_ms=9 --from-version {version}'
        )
        self.assertEqual(self.run_command(arguments), 1)
        self.assertIn('you started from', self.tester.io.fetch_error())
        row = self.run_json('template show form-tag')
        self.assertEqual(row['deadline_ms'], 1234)

    def test_invalid_value_is_rejected_with_field_name(self) -> None:
        arguments = 'workspace set records form-tag tier=9'
        self.assertEqual(self.run_command(arguments), 2)
        self.assertIn('tier', self.tester.io.fetch_error())

    def test_key_is_stored_only_as_hash(self) -> None:
        key = self.run_json('workspace key records')['key']
        row = self.run_json('workspace show records')
        self.assertEqual(len(row['key_hashes']), 1)
        self.assertNotIn(key, json.dumps(row))
        self.run_json('workspace key records --revoke')
        updated = self.run_json('workspace show records')
        self.assertNotEqual(updated['key_hashes'], row['key_hashes'])

    def test_status_names_unreachable_entries(self) -> None:
        status = self.run_json('status')
        self.assertEqual(status['silent'], ['entry-1', 'entry-2'])

    def test_check_rejects_invalid_settings_with_status_two(self) -> None:
        invalid_path = self.processes.folder / 'bad.toml'
        invalid_path.write_text('[entry]\nzone = 1\n')
        self.assertEqual(self.tester.execute(f'check {invalid_path}'), 2)
        self.assertIn('zone', self.tester.io.fetch_error())
        valid_path = self.processes.folder / 'entry-1.toml'
        self.assertEqual(self.tester.execute(f'check {valid_path}'), 0)
