"""Guard against faults of the platform stand-in and its HTTP clients."""

import unittest

from seampond.backing import Check, Tables, Write
from seampond.backing.http_client import ServiceClient, open_client
from seampond.backing.http_tables import make_http_tables
from seampond.backing.objects import make_http_objects
from seampond.backing.standin.models import VmRow
from seampond.backing.vms import make_vm_lister
from seampond.clock import Clock
from seampond.daemons import run_platform
from seampond.errors import ConflictError, PlatformError, UnknownOutcomeError
from seampond.settings.models import PlatformStandInSettings


class StandInTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        settings = PlatformStandInSettings(listen='127.0.0.1:0', list_lag_ms=0)
        running = run_platform(settings, Clock())
        client = open_client()
        platform = await self.enterAsyncContext(running)
        self.platform = platform.platform
        self.service = ServiceClient(
            f'http://{platform.web.address}',
            await self.enterAsyncContext(client),
            timeout_ms=300,
        )
        self.tables: Tables = make_http_tables(self.service)

    async def test_key_with_slashes_is_found(self) -> None:
        await self.tables.transact([], [Write('claims', 'a/b/c', {'n': 1})])
        row = await self.tables.read('claims', 'a/b/c')
        assert row is not None
        self.assertEqual(row.content, {'n': 1})

    async def test_changed_row_fails_whole_transaction(self) -> None:
        await self.tables.transact([], [Write('t', 'a', {})])
        with self.assertRaises(ConflictError):
            await self.tables.transact(
                [Check('t', 'a', 0)], [Write('t', 'b', {})]
            )
        self.assertIsNone(await self.tables.read('t', 'b'))

    async def test_scan_is_ordered_and_limited(self) -> None:
        writes = [Write('t', key, {}) for key in 'cabd']
        await self.tables.transact([], writes)
        rows = await self.tables.scan('t', 'a', 'd', 2)
        self.assertEqual([row.key for row in rows], ['a', 'b'])

    async def test_write_while_down_has_known_outcome(self) -> None:
        self.platform.faults.down = True
        with self.assertRaises(PlatformError) as caught:
            await self.tables.transact([], [Write('t', 'a', {})])
        self.assertNotIsInstance(caught.exception, UnknownOutcomeError)

    async def test_lost_response_has_unknown_outcome(self) -> None:
        self.platform.faults.lose_answers = 1
        with self.assertRaises(UnknownOutcomeError):
            await self.tables.transact([], [Write('t', 'a', {})])
        self.assertIsNotNone(await self.tables.read('t', 'a'))

    async def test_vm_list_lags(self) -> None:
        self.platform.faults.list_lag_ms = 3_600_000
        row = VmRow(name='b', hall='h', role='backend', address='127.0.0.1:1')
        self.platform.set_vm('b', row)
        list_vms = make_vm_lister(self.service)
        self.assertEqual(await list_vms(), ())
        self.platform.faults.list_lag_ms = 0
        self.assertEqual([vm.name for vm in await list_vms()], ['b'])

    async def test_unchanged_vm_list_is_not_sent_again(self) -> None:
        for number in range(40):
            name = f'b{number}'
            row = VmRow(name=name, hall='h', role='backend', address='a:1')
            self.platform.set_vm(name, row)
        list_vms = make_vm_lister(self.service)
        first = await list_vms()
        self.assertEqual(len(first), 40)
        self.assertIs(await list_vms(), first)
        self.platform.set_vm('b7', None)
        self.assertEqual(len(await list_vms()), 39)

    async def test_stored_object_is_returned(self) -> None:
        objects = make_http_objects(self.service)
        await objects.put('a/b', [1])
        self.assertEqual(await objects.get('a/b'), [1])
        self.assertIsNone(await objects.get('c'))
