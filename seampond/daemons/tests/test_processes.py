"""All programs as separate processes on loopback, under failure."""

import asyncio
import signal
from collections import Counter
from http import HTTPStatus
from pathlib import Path

from seampond.backing.http import open_client
from seampond.testing.caller import Caller, ChatRequest, Reply, check_chat
from seampond.testing.processes import (
    Processes,
    ProcessTestCase,
    run_processes,
)

CALLS = 60
CHAT = ChatRequest('trainer-answer', max_tokens=40)
# Runs for longer than a lost entry's work is kept.
LONG = ChatRequest('trainer-answer', max_tokens=300)
SHORT_RESUME = '\n[entry.routing]\nresume_ms = 1500\n'
SHORT_ORPHAN = 'orphan_ms = 1000\n\n[agent.backend]'
POLL_SECONDS = 0.05
FREEZE_SECONDS = 4
# An agent with nothing to do ends sooner.
STOP_SECONDS = 1.5


def shorten_waits(folder: Path) -> None:
    for path in folder.glob('entry-*.toml'):
        path.write_text(path.read_text() + SHORT_RESUME)
    for path in folder.glob('agent-*.toml'):
        text = path.read_text()
        path.write_text(text.replace('\n[agent.backend]', SHORT_ORPHAN))


class ProcessesTest(ProcessTestCase):
    def setUp(self) -> None:
        self.processes: Processes = self.enterContext(
            run_processes(self.folder, 'fitlink-kochi', shorten_waits)
        )
        self.key = self.processes.run_command('workspace', 'key', 'trainers')[
            'key'
        ]

    async def asyncSetUp(self) -> None:
        self.client = await self.enterAsyncContext(open_client(200))
        # The key must be in force at both entries.
        for entry in ('entry-1', 'entry-2'):
            while (
                await self.caller(entry).chat(CHAT)
            ).status == HTTPStatus.UNAUTHORIZED:
                await asyncio.sleep(POLL_SECONDS)

    def caller(self, entry: str) -> Caller:
        return Caller(self.processes.url(entry), self.key, self.client)

    def start_calls(
        self, first: ChatRequest = CHAT
    ) -> 'list[asyncio.Task[Reply]]':
        """Send calls to both entries in turn; `first` to entry 1."""
        return [
            asyncio.create_task(
                self.caller(f'entry-{number % 2 + 1}').chat(
                    CHAT if number % 2 else first
                )
            )
            for number in range(CALLS)
        ]

    async def wait_until_full(self) -> None:
        """Wait until every slot runs and requests wait at both entries."""
        for entry in ('entry-1', 'entry-2'):
            while not self.processes.read_page(entry, '/status')['waiting']:
                await asyncio.sleep(POLL_SECONDS)

    def assert_ran_once(self) -> None:
        runs: Counter[str] = Counter()
        for number in range(1, 5):
            page = self.processes.read_page(f'engine-{number}', '/control/runs')
            runs.update(page['runs'])
        self.assertEqual([key for key, count in runs.items() if count > 1], [])

    async def test_a_streamed_answer_arrives_whole(self) -> None:
        reply = await self.caller('entry-1').chat(CHAT)
        usage = check_chat(CHAT, reply)
        self.assertEqual(usage['completion_tokens'], CHAT.max_tokens)

    async def test_kill_of_an_agent_loses_no_waiting_request(self) -> None:
        calls = self.start_calls()
        await self.wait_until_full()
        self.processes.signal('agent-3', signal.SIGKILL)
        outcomes = await asyncio.gather(*calls, return_exceptions=True)
        replies = [part for part in outcomes if isinstance(part, Reply)]
        whole = [reply for reply in replies if reply.is_ok]
        for reply in whole:
            check_chat(CHAT, reply)
        # Only what ran on the killed agent (6 slots) may be in doubt.
        self.assertGreaterEqual(len(whole), CALLS - 6)
        for reply in replies:
            self.assertTrue(reply.is_ok or reply.error['run'] == 'maybe')
        self.assert_ran_once()

    async def test_a_frozen_agent_doubles_and_cuts_nothing(self) -> None:
        calls = self.start_calls()
        await self.wait_until_full()
        self.processes.signal('agent-1', signal.SIGSTOP)
        await asyncio.sleep(FREEZE_SECONDS)
        self.processes.signal('agent-1', signal.SIGCONT)
        for reply in await asyncio.gather(*calls):
            check_chat(CHAT, reply)
        self.assert_ran_once()

    async def test_a_killed_entry_leaves_nothing_running(self) -> None:
        calls = self.start_calls(LONG)
        await self.wait_until_full()
        self.processes.signal('entry-1', signal.SIGKILL)
        outcomes = await asyncio.gather(*calls, return_exceptions=True)
        for number, outcome in enumerate(outcomes):
            if number % 2:
                assert isinstance(outcome, Reply)
                check_chat(CHAT, outcome)
        # Of the dead entry's work nothing runs on: the agents see the end
        # of its links and cancel what may be repeated.
        await self.wait_until_idle()
        totals = [self.totals(number) for number in (1, 2, 3)]
        self.assertGreater(sum(total['cancelled'] for total in totals), 0)
        self.assert_ran_once()

    async def wait_until_idle(self) -> None:
        for number in (1, 2, 3):
            address = self.processes.status_address(f'agent-{number}')
            while self.processes.read_page_at(address, '/status')['running']:
                await asyncio.sleep(POLL_SECONDS)

    def totals(self, number: int) -> dict[str, float]:
        page = self.processes.read_page(f'engine-{number}', '/control/runs')
        totals: dict[str, float] = page['totals']
        return totals

    async def test_planned_stop_of_an_entry_cuts_no_stream(self) -> None:
        calls = self.start_calls()
        await self.wait_until_full()
        self.processes.signal('entry-1', signal.SIGTERM)
        for reply in await asyncio.gather(*calls):
            check_chat(CHAT, reply)
        self.assertEqual(self.processes.wait('entry-1'), 0)
        self.assert_ran_once()

    async def test_planned_stop_of_an_agent_cuts_no_stream(self) -> None:
        calls = self.start_calls()
        await self.wait_until_full()
        self.processes.signal('agent-1', signal.SIGTERM)
        for reply in await asyncio.gather(*calls):
            check_chat(CHAT, reply)
        self.assertEqual(self.processes.wait('agent-1'), 0)
        self.assert_ran_once()

    async def test_planned_stop_of_an_agent_that_has_asked(self) -> None:
        """Guards against an end before the grants that are on their way."""
        self.processes.signal('agent-1', signal.SIGSTOP)
        calls = self.start_calls()
        await self.wait_until_full()
        for entry in ('entry-1', 'entry-2'):
            self.processes.signal(entry, signal.SIGSTOP)
        self.processes.signal('agent-1', signal.SIGCONT)
        await self.wait_until_asked()
        self.processes.signal('agent-1', signal.SIGTERM)
        await asyncio.sleep(STOP_SECONDS)
        for entry in ('entry-1', 'entry-2'):
            self.processes.signal(entry, signal.SIGCONT)
        for reply in await asyncio.gather(*calls):
            check_chat(CHAT, reply)
        self.assertEqual(self.processes.wait('agent-1'), 0)
        self.assert_ran_once()

    async def wait_until_asked(self) -> None:
        """Wait until the first agent waits for grants."""
        address = self.processes.status_address('agent-1')
        while not self.processes.read_page_at(address, '/status')['asked']:
            await asyncio.sleep(POLL_SECONDS)
