"""Tests of answers of the store that are odd in any part."""

import asyncio
import json
import unittest
from collections.abc import Mapping, Sequence
from types import MappingProxyType
from typing import Any

from seampond.clock import Clock
from seampond.errors import PlatformError
from seampond.platform import names, open_table
from seampond.testing.scripted import (
    ReceivedRequest,
    format_response,
    run_scripted,
)

_NESTED = b'[' * 100_000
_INFINITE = b'1e999'
_SOUND: Mapping[str, Any] = MappingProxyType({'tls-key': 'a', 'value': 'eA=='})
_PAGE: Mapping[str, Any] = MappingProxyType(
    {'rows': [{**_SOUND}], 'ver': 7, 'now_ms': 5, 'more': False}
)


def _encode(**changes: Any) -> bytes:
    return json.dumps({**_PAGE, **changes}).encode()


_MALFORMED = (
    b'',
    b'null',
    b'\xff\x00',
    _NESTED,
    _encode().replace(b'false', _NESTED),
    _encode()[:-9],
)
_INVALID = (
    _encode().replace(b'7', _INFINITE),
    _encode().replace(b'5', _INFINITE),
    _encode(rows=None),
    _encode(rows={}),
    _encode(rows=[], more=True),
    _encode(more=True),
)
_LARGE = tuple(10**digits for digits in (15, 20, 400))
_ODD_NUMBERS: Sequence[Any] = (None, -1, 1.5, 'x', *_LARGE)
_ODD_VALUES: Sequence[Any] = (7, [], 'a', '\ud800', '\xe9')
_KEYLESS_ROWS: Sequence[Any] = (None, 7, [], {}, {'tls-key': 7})


def _list_odd_answers() -> list[bytes]:
    numbers = [
        _encode(**{name: odd})
        for name in ('ver', 'now_ms')
        for odd in _ODD_NUMBERS
    ]
    return [*_MALFORMED, *_INVALID, *numbers]


def _list_odd_rows() -> list[dict[str, Any]]:
    values = [{**_SOUND, 'value': odd} for odd in _ODD_VALUES]
    return [*values, *({**_SOUND, 'ver': odd} for odd in _ODD_NUMBERS)]


class OddAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Each is an error of its call, and the next answer is read."""

    async def asyncSetUp(self) -> None:
        """Open a store that gives scripted answers."""
        self.response = b''
        server = await self.enterAsyncContext(run_scripted(self._serve))
        self.table = await self.enterAsyncContext(
            open_table(server.address, 't', Clock())
        )

    async def test_odd_answer_ends_the_follower(self) -> None:
        """Only errors that followers expect, no pages without end."""
        for body in _list_odd_answers():
            with self.subTest(body=body[:80]):
                await self._check_refused(format_response(200, {}, body))

    async def test_odd_era_makes_sound_answers_old(self) -> None:
        """An era that no version can hold."""
        for digits in (10, 20, 4000, 6000):
            headers = {names.ERA_HEADER.decode(): '9' * digits}
            await self._check_refused(format_response(200, headers, _encode()))

    async def test_odd_row_hides_sound_ones(self) -> None:
        """It has no valid content, and its reason is logged once."""
        with self.assertLogs('seampond.platform', 'ERROR'):
            await self._read_odd_rows()
        with self.assertNoLogs('seampond.platform'):
            await self._read_odd_rows()

    async def test_key_that_cannot_be_encoded(self) -> None:
        """It has a lone surrogate, which a log may not hold."""
        self._answer([{**_SOUND, 'tls-key': '\ud800'}, {**_SOUND}])
        page = await self.table.read_all()
        self.assertEqual([row.key for row in page.rows], ['?', 'a'])

    async def test_row_without_a_key_hides_sound_changes(self) -> None:
        """It is left out of changes; a snapshot would lack a row."""
        for odd in _KEYLESS_ROWS:
            self._answer([odd, {**_SOUND}])
            page = await self.table.read_changes(1, 0)
            self.assertEqual([row.key for row in page.rows], ['a'])
            with self.assertRaises(PlatformError):
                await self.table.read_all()

    async def _read_odd_rows(self) -> None:
        for odd in _list_odd_rows():
            self._answer([odd, {**_SOUND, 'tls-key': 'b'}])
            page = await self.table.read_all()
            found = [row.content for row in page.rows]
            self.assertEqual(found, [b'', b'x'], msg=odd)

    async def _check_refused(self, response: bytes) -> None:
        """Check that an answer is an error and that the next one is read."""
        self.response = response
        async with asyncio.timeout(5):
            with self.assertRaises(PlatformError):
                await self.table.read_all()
        self._answer([{**_SOUND}])
        self.assertEqual(len((await self.table.read_all()).rows), 1)

    def _answer(self, rows: list[Any]) -> None:
        self.response = format_response(200, {}, _encode(rows=rows))

    async def _serve(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(self.response)
