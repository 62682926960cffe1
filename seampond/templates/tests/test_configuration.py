"""Tests of editing the configuration concurrently and of following it."""

import unittest
from collections.abc import Sequence
from dataclasses import replace
from typing import Any

from seampond.backing.standin import MemoryTables
from seampond.backing.tables import Check, Tables, Write
from seampond.clock import ManualClock
from seampond.errors import PlatformError, PromiseError, UnknownOutcomeError
from seampond.templates import Configuration
from seampond.templates.configuration import CHANGES, TEMPLATES, change_key
from seampond.templates.edit import Edit, LostEditError, commit_edit
from seampond.templates.follow import (
    ConfigurationHolder,
    read_changes,
    read_snapshot,
)
from seampond.templates.keys import KeyRing, make_key
from seampond.templates.models import Workspace
from seampond.testing.builders import build_promises


def template(name: str = 'draft', **fields: Any) -> dict[str, Any]:
    return {'name': name, 'pool': 'llm', **fields}


class EditTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.memory = MemoryTables()
        self.tables = self.memory.as_tables()
        self.clock = ManualClock()

    async def edit(
        self,
        version: int = 0,
        author: str = 'asha',
        tables: Tables | None = None,
        **fields: Any,
    ) -> int:
        content = template(**fields)
        edit = Edit(TEMPLATES, content['name'], version, content, author)
        return await commit_edit(tables or self.tables, self.clock, edit)

    async def version(self) -> int:
        row = await self.tables.read(TEMPLATES, 'draft')
        return row.version if row else 0

    async def test_each_edit_increments_the_generation(self) -> None:
        self.assertEqual(await self.edit(), 1)
        self.assertEqual(await self.edit(name='other'), 2)

    async def test_edit_of_an_outdated_row_is_rejected(self) -> None:
        await self.edit()
        seen = await self.version()
        await self.edit(seen, 'binu', deadline_ms=5)
        with self.assertRaises(LostEditError) as caught:
            await self.edit(seen, 'asha', deadline_ms=9)
        self.assertIn('version', str(caught.exception))

    async def test_concurrent_edit_names_the_other_author(self) -> None:
        await self.edit()
        seen = await self.version()
        port = self.tables
        first = [True]

        async def transact(
            checks: Sequence[Check], writes: Sequence[Write]
        ) -> None:
            if first.pop():
                first.append(False)
                await self.edit(seen, 'binu', deadline_ms=5)
                first.clear()
                first.append(False)
            else:
                first.append(False)
            await port.transact(checks, writes)

        racing_tables = replace(port, transact=transact)
        with self.assertRaises(LostEditError) as caught:
            await self.edit(seen, 'asha', racing_tables, deadline_ms=9)
        self.assertIn('binu', str(caught.exception))

    async def test_edits_of_other_rows_do_not_conflict(self) -> None:
        port = self.tables
        remaining = [3]

        async def transact(
            checks: Sequence[Check], writes: Sequence[Write]
        ) -> None:
            if remaining[0]:
                remaining[0] -= 1
                await self.edit(name=f'other-{remaining[0]}')
            await port.transact(checks, writes)

        busy_tables = replace(port, transact=transact)
        self.assertEqual(await self.edit(tables=busy_tables), 4)

    async def test_edit_with_a_lost_answer_is_not_repeated(self) -> None:
        port = self.tables

        async def transact(
            checks: Sequence[Check], writes: Sequence[Write]
        ) -> None:
            await port.transact(checks, writes)
            raise UnknownOutcomeError('lost', step='transact')

        lossy_tables = replace(port, transact=transact)
        self.assertEqual(await self.edit(tables=lossy_tables), 1)
        self.assertEqual(self.memory.writes, 1)

    async def test_lost_edit_is_retried(self) -> None:
        port = self.tables
        remaining = [1]

        async def transact(
            checks: Sequence[Check], writes: Sequence[Write]
        ) -> None:
            if remaining[0]:
                remaining[0] -= 1
                raise UnknownOutcomeError('lost', step='transact')
            await port.transact(checks, writes)

        lossy_tables = replace(port, transact=transact)
        self.assertEqual(await self.edit(tables=lossy_tables), 1)


class FollowTest(EditTest):
    async def test_changes_and_snapshot_agree(self) -> None:
        followed = Configuration()
        for number in range(6):
            await self.edit(name=f't-{number}')
            followed = await read_changes(self.tables, followed)
        self.assertEqual(followed, await read_snapshot(self.tables))

    async def test_trimmed_log_requires_a_snapshot(self) -> None:
        for number in range(4):
            await self.edit(name=f't-{number}')
        old = Configuration(1)
        await self.tables.transact([], [Write(CHANGES, change_key(2))])
        newest = await read_changes(self.tables, old)
        self.assertEqual(newest.generation, 4)
        self.assertEqual(len(newest.templates), 4)

    async def test_deleted_template_is_removed(self) -> None:
        await self.edit()
        edit = Edit(TEMPLATES, 'draft', await self.version(), None, 'asha')
        await commit_edit(self.tables, self.clock, edit)
        newest = await read_changes(self.tables, Configuration())
        self.assertEqual(newest, Configuration(2))

    async def test_older_generation_breaks_a_promise(self) -> None:
        holder = ConfigurationHolder(build_promises(), lambda number: None)
        holder.take(Configuration(5))
        with self.assertRaises(PromiseError):
            holder.take(Configuration(4))
        self.assertEqual(holder.current.generation, 5)

    async def test_invalid_row_is_an_error(self) -> None:
        await self.edit()
        current = await read_changes(self.tables, Configuration())
        await self.edit(name='bad', deadline_ms=-1)
        with self.assertRaises(PlatformError):
            await read_changes(self.tables, current)


class KeysTest(unittest.IsolatedAsyncioTestCase):
    async def test_key_is_valid_while_its_hash_is_listed(self) -> None:
        made = make_key('trainers')
        ring = KeyRing()
        workspace = Workspace(name='trainers', key_hashes=(made.key_hash,))
        known = Configuration(1, {}, {'trainers': workspace})
        self.assertIs(await ring.find_workspace(known, made.key), workspace)
        self.assertIs(await ring.find_workspace(known, made.key), workspace)
        revoked = Workspace(name='trainers')
        later = Configuration(2, {}, {'trainers': revoked})
        self.assertIsNone(await ring.find_workspace(later, made.key))

    async def test_key_itself_is_not_stored(self) -> None:
        made = make_key('trainers')
        self.assertNotIn(made.key.partition('.')[2], made.key_hash)
