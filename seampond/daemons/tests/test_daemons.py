"""Guard against invalid bytes on a link port and drains that lose work."""

import asyncio
import unittest

from seampond.backing.http_client import open_client
from seampond.demo.fleet import Fleet
from seampond.errors import PromiseError
from seampond.metrics.common import counts_by_labels
from seampond.testing.builders import build_ticket
from seampond.testing.caller import Caller, ChatRequest, check_chat
from seampond.testing.fleets import open_fleet

CHAT = ChatRequest('trainer-answer', max_tokens=30)
SHORT_DRAIN = 'drain_ms = 100\n\n[agent.backend]'
FOREIGN_MESSAGES = (
    b'GET / HTTP/1.1\r\nHost: x\r\n\r\n',
    b'\0\0\0\x08garbage!',
    b'\0\0\0\0',
)


def shorten_drain(folder):  # type: ignore[no-untyped-def]
    for path in folder.glob('agent-*.toml'):
        text = path.read_text().replace('\n[agent.backend]', SHORT_DRAIN)
        path.write_text(text)


class DaemonsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet: Fleet = await self.enterAsyncContext(
            open_fleet(shorten_drain)
        )
        client = await self.enterAsyncContext(open_client())
        self.caller = Caller(
            self.fleet.entries[0].url, self.fleet.keys['trainers'], client
        )

    def busy_agents(self):  # type: ignore[no-untyped-def]
        return [
            running
            for running in self.fleet.agents
            if running.agent.pulse.running
        ]

    async def test_foreign_message_closes_only_its_own_link(self) -> None:
        call = asyncio.create_task(self.caller.chat(CHAT))
        for running in self.fleet.agents:
            host, _, port = running.settings.listen.rpartition(':')
            for message in FOREIGN_MESSAGES:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(message)
                # The agent may send its hello before it closes the link.
                async with asyncio.timeout(10):
                    await reader.read()
                writer.close()
            errors = counts_by_labels(running.metrics.link_errors)
            foreign_counts = [
                count
                for kind, count in errors.items()
                if kind.startswith('ForeignMessageError')
            ]
            self.assertEqual(sum(foreign_counts), len(FOREIGN_MESSAGES))
        check_chat(CHAT, await call)

    async def test_agent_drain_with_unfinished_run_breaks_promise(self) -> None:
        call = asyncio.create_task(self.caller.chat(CHAT))
        while not self.busy_agents():
            await asyncio.sleep(0.01)
        with self.assertRaises(PromiseError):
            await self.busy_agents()[0].drain()
        check_chat(CHAT, await call)

    async def test_entry_drain_with_open_request_breaks_promise(self) -> None:
        entry = self.fleet.entries[1]
        entry.components.dispatcher.open(build_ticket())
        with self.assertRaises(PromiseError):
            await entry.drain()
