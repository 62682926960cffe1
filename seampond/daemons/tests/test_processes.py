"""Guard against lost or repeated requests when processes fail or stop."""

import asyncio
import signal
from collections import Counter
from http import HTTPStatus
from pathlib import Path

from seampond.backing.http_client import open_client
from seampond.testing.caller import Caller, ChatRequest, Reply, check_chat
from seampond.testing.processes import (
    Processes,
    ProcessTestCase,
    run_processes,
)

CALLS = 60
CHAT = ChatRequest('trainer-answer', max_tokens=40)
# Runs longer than agents keep the work of a lost entry.
LONG_CHAT = ChatRequest('trainer-answer', max_tokens=300)
SHORT_RESUME = '\n[entry.routing]\nresume_ms = 1500\n'
SHORT_ORPHAN = 'orphan_ms = 1000\n\n[agent.backend]'
POLL_SECONDS = 0.05
SUSPENSION_SECONDS = 4
# Longer than an idle agent takes to stop.
STOP_SECONDS = 1.5


def shorten_timeouts(folder: Path) -> None:
    for path in folder.glob('entry-*.toml'):
        path.write_text(path.read_text() + SHORT_RESUME)
    for path in folder.glob('agent-*.toml'):
        text = path.read_text()
        path.write_text(text.replace('\n[agent.backend]', SHORT_ORPHAN))


class ProcessesTest(ProcessTestCase):
    def setUp(self) -> None:
        self.processes: Processes = self.enterContext(
            run_processes(self.folder, 'fitlink-kochi', shorten_timeouts)
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
        """Send calls to both entries in turn; entry 1 gets `first`."""
        return [
            asyncio.create_task(
                self.caller(f'entry-{number % 2 + 1}').chat(
                    CHAT if number % 2 else first
                )
            )
            for number in range(CALLS)
        ]

    async def wait_until_queued(self) -> None:
        """Wait until all slots are in use and both entries queue requests."""
        for entry in ('entry-1', 'entry-2'):
            while not self.processes.read_page(entry, '/status')['waiting']:
                await asyncio.sleep(POLL_SECONDS)

    def assert_no_repeated_run(self) -> None:
        runs: Counter[str] = Counter()
        for number in range(1, 5):
            page = self.processes.read_page(f'engine-{number}', '/control/runs')
            runs.update(page['runs'])
        self.assertEqual([key for key, count in runs.items() if count > 1], [])

    async def test_streamed_answer_is_complete(self) -> None:
        reply = await self.caller('entry-1').chat(CHAT)
        usage = check_chat(CHAT, reply)
        self.assertEqual(usage['completion_tokens'], CHAT.max_tokens)

    async def test_killed_agent_loses_no_queued_request(self) -> None:
        calls = self.start_calls()
        await self.wait_until_queued()
        self.processes.signal('agent-3', signal.SIGKILL)
        outcomes = await asyncio.gather(*calls, return_exceptions=True)
        replies = [
            outcome for outcome in outcomes if isinstance(outcome, Reply)
        ]
        complete = [reply for reply in replies if reply.is_ok]
        for reply in complete:
            check_chat(CHAT, reply)
        # Only the runs on the 6 slots of the killed agent may be lost.
        self.assertGreaterEqual(len(complete), CALLS - 6)
        for reply in replies:
            self.assertTrue(reply.is_ok or reply.error['run'] == 'maybe')
        self.assert_no_repeated_run()

    async def test_suspended_agent_repeats_and_loses_no_run(self) -> None:
        calls = self.start_calls()
        await self.wait_until_queued()
        self.processes.signal('agent-1', signal.SIGSTOP)
        await asyncio.sleep(SUSPENSION_SECONDS)
        self.processes.signal('agent-1', signal.SIGCONT)
        for reply in await asyncio.gather(*calls):
            check_chat(CHAT, reply)
        self.assert_no_repeated_run()

    async def test_killed_entry_leaves_no_run_behind(self) -> None:
        calls = self.start_calls(LONG_CHAT)
        await self.wait_until_queued()
        self.processes.signal('entry-1', signal.SIGKILL)
        outcomes = await asyncio.gather(*calls, return_exceptions=True)
        for number, outcome in enumerate(outcomes):
            if number % 2:
                assert isinstance(outcome, Reply)
                check_chat(CHAT, outcome)
        # Agents cancel the repeatable runs of an entry whose links close.
        await self.wait_until_idle()
        totals = [self.totals(number) for number in (1, 2, 3)]
        self.assertGreater(sum(total['cancelled'] for total in totals), 0)
        self.assert_no_repeated_run()

    async def wait_until_idle(self) -> None:
        for number in (1, 2, 3):
            address = self.processes.status_address(f'agent-{number}')
            while self.processes.read_page_at(address, '/status')['running']:
                await asyncio.sleep(POLL_SECONDS)

    def totals(self, number: int) -> dict[str, float]:
        page = self.processes.read_page(f'engine-{number}', '/control/runs')
        totals: dict[str, float] = page['totals']
        return totals

    async def test_planned_stop_of_entry_finishes_streams(self) -> None:
        calls = self.start_calls()
        await self.wait_until_queued()
        self.processes.signal('entry-1', signal.SIGTERM)
        for reply in await asyncio.gather(*calls):
            check_chat(CHAT, reply)
        self.assertEqual(self.processes.wait('entry-1'), 0)
        self.assert_no_repeated_run()

    async def test_planned_stop_of_agent_finishes_streams(self) -> None:
        calls = self.start_calls()
        await self.wait_until_queued()
        self.processes.signal('agent-1', signal.SIGTERM)
        for reply in await asyncio.gather(*calls):
            check_chat(CHAT, reply)
        self.assertEqual(self.processes.wait('agent-1'), 0)
        self.assert_no_repeated_run()

    async def test_planned_stop_of_agent_awaits_grants(self) -> None:
        """Guard against a stop before grants in transit have arrived."""
        self.processes.signal('agent-1', signal.SIGSTOP)
        calls = self.start_calls()
        await self.wait_until_queued()
        for entry in ('entry-1', 'entry-2'):
            self.processes.signal(entry, signal.SIGSTOP)
        self.processes.signal('agent-1', signal.SIGCONT)
        await self.wait_until_grants_pending()
        self.processes.signal('agent-1', signal.SIGTERM)
        await asyncio.sleep(STOP_SECONDS)
        for entry in ('entry-1', 'entry-2'):
            self.processes.signal(entry, signal.SIGCONT)
        for reply in await asyncio.gather(*calls):
            check_chat(CHAT, reply)
        self.assertEqual(self.processes.wait('agent-1'), 0)
        self.assert_no_repeated_run()

    async def wait_until_grants_pending(self) -> None:
        """Wait until agent 1 has asked for grants."""
        address = self.processes.status_address('agent-1')
        while not self.processes.read_page_at(address, '/status')['asked']:
            await asyncio.sleep(POLL_SECONDS)
