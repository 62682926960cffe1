"""An agent process and connections that do not prove the shared secret."""

import asyncio
from http import HTTPStatus

from seampond.backing.http_client import open_client
from seampond.links.codec import MAX_PACKET_BYTES
from seampond.testing.caller import Caller, ChatRequest, check_chat
from seampond.testing.misbehaving import gather_crowd, read_memory
from seampond.testing.processes import (
    Processes,
    ProcessTestCase,
    run_processes,
)

# What an agent may use at the target size.
_MEMORY_MAX = 128_000_000
_CROWD = 6
_POLL_S = 0.05
_CHAT = ChatRequest('trainer-answer', max_tokens=4)


class ForeignLinksTest(ProcessTestCase):
    """The example deployment."""

    def setUp(self) -> None:
        """Start the processes."""
        self.processes: Processes = self.enterContext(
            run_processes(self.folder, 'fitlink-kochi', lambda folder: None)
        )
        self.key = self.processes.run_command('workspace', 'key', 'trainers')[
            'key'
        ]

    async def test_long_packets_before_the_handshake(self) -> None:
        """Each lacks its last byte; agents serve the entries meanwhile."""
        length = MAX_PACKET_BYTES.to_bytes(4, 'big')
        payload = length + bytes(MAX_PACKET_BYTES - 1)
        process_id = self.processes.running['agent-1'].pid
        async with gather_crowd(self.processes.address('agent-1')) as crowd:
            await asyncio.gather(*(crowd.hold(payload) for _ in range(_CROWD)))
            memory = read_memory(process_id)
        async with open_client(1) as client:
            caller = Caller(self.processes.url('entry-1'), self.key, client)
            reply = await caller.chat(_CHAT)
            while reply.status == HTTPStatus.UNAUTHORIZED:
                # The key is not in force at the entry yet.
                await asyncio.sleep(_POLL_S)
                reply = await caller.chat(_CHAT)
            check_chat(_CHAT, reply)
        self.assertLess(memory, _MEMORY_MAX)
