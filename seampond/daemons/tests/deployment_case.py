"""The example deployment as processes, and one ordinary request."""

import asyncio
from http import HTTPStatus
from pathlib import Path

from seampond.backing.http_client import open_client
from seampond.testing.caller import Caller, ChatRequest, check_chat
from seampond.testing.processes import (
    Processes,
    ProcessTestCase,
    run_processes,
)

_POLL_S = 0.05
_CHAT = ChatRequest('trainer-answer', max_tokens=4)


class DeploymentCase(ProcessTestCase):
    """Starts the processes."""

    def setUp(self) -> None:
        """Start the processes and make a key."""
        self.processes: Processes = self.enterContext(
            run_processes(self.folder, 'fitlink-kochi', self.prepare)
        )
        self.key = self.processes.run_command('workspace', 'key', 'trainers')[
            'key'
        ]

    def prepare(self, folder: Path) -> None:
        """Change the settings in a folder."""

    def find_process_id(self, role: str) -> int:
        """Return the id of the process of a role."""
        return self.processes.running[role].pid

    async def check_chat(self) -> None:
        """Check that a chat request is answered."""
        async with open_client(1) as client:
            caller = Caller(self.processes.url('entry-1'), self.key, client)
            reply = await caller.chat(_CHAT)
            while reply.status == HTTPStatus.UNAUTHORIZED:
                # The key is not in force at the entry yet.
                await asyncio.sleep(_POLL_S)
                reply = await caller.chat(_CHAT)
        check_chat(_CHAT, reply)
