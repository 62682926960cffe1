"""The operators' commands, against the platform's stand-in."""

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
def platform_only() -> Iterator[Processes]:
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
        self.processes = self.enterContext(platform_only())
        self.tester = ApplicationTester(make_application())

    def run_command(self, words: str) -> int:
        path = self.processes.folder / 'operator.toml'
        return self.tester.execute(f'{words} --settings {path}')

    def json_of(self, words: str) -> Any:
        self.assertEqual(self.run_command(f'{words} --json'), 0)
        return json.loads(self.tester.io.fetch_output())

    def test_templates_are_listed_shown_set_and_deleted(self) -> None:
        listed = self.json_of('template list')
        self.assertIn('form-tag', [row['name'] for row in listed])
        self.json_of('template set form-tag deadline_ms=1234')
        shown = self.json_of('template show form-tag')
        self.assertEqual(shown['deadline_ms'], 1234)
        self.json_of('template delete form-tag')
        self.assertEqual(self.run_command('template show form-tag'), 2)

    def test_an_edit_from_an_old_version_loses(self) -> None:
        old = self.json_of('template show form-tag')['version']
        self.json_of('template set form-tag deadline_ms=1234')
        words = f'template set form-tag deadline_ms=9 --from-version {old}'
        self.assertEqual(self.run_command(words), 1)
        self.assertIn('you started from', self.tester.io.fetch_error())
        shown = self.json_of('template show form-tag')
        self.assertEqual(shown['deadline_ms'], 1234)

    def test_a_bad_value_is_refused_with_its_field(self) -> None:
        words = 'workspace set records form-tag tier=9'
        self.assertEqual(self.run_command(words), 2)
        self.assertIn('tier', self.tester.io.fetch_error())

    def test_a_key_is_kept_only_as_a_hash(self) -> None:
        key = self.json_of('workspace key records')['key']
        shown = self.json_of('workspace show records')
        self.assertEqual(len(shown['key_hashes']), 1)
        self.assertNotIn(key, json.dumps(shown))
        self.json_of('workspace key records --revoke')
        again = self.json_of('workspace show records')
        self.assertNotEqual(again['key_hashes'], shown['key_hashes'])

    def test_status_names_entries_that_do_not_answer(self) -> None:
        status = self.json_of('status')
        self.assertEqual(status['silent'], ['entry-1', 'entry-2'])

    def test_check_refuses_with_exit_status_two(self) -> None:
        bad = self.processes.folder / 'bad.toml'
        bad.write_text('[entry]\nzone = 1\n')
        self.assertEqual(self.tester.execute(f'check {bad}'), 2)
        self.assertIn('zone', self.tester.io.fetch_error())
        good = self.processes.folder / 'entry-1.toml'
        self.assertEqual(self.tester.execute(f'check {good}'), 0)
