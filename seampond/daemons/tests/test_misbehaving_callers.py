"""An entry process and callers that send slowly or stay idle."""

import asyncio
from pathlib import Path

from seampond.daemons.tests.deployment_case import DeploymentCase
from seampond.settings.models import RoutingSettings
from seampond.testing.misbehaving import (
    count_descriptors,
    gather_crowd,
    read_memory,
)

# What an entry may use at the target size.
_MEMORY_MAX = 128_000_000
_DESCRIPTORS_MAX = 512
_UPLOADS = 40
_IDLE_CONNECTIONS = 600
_FEW_CONNECTIONS = '\n[entry.routing]\nconnections_max = 256\n'
_HEAD = b'POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\n'


class MisbehavingCallersTest(DeploymentCase):
    """The example deployment."""

    def prepare(self, folder: Path) -> None:
        """Lower the limits of the entries."""
        for path in folder.glob('entry-*.toml'):
            path.write_text(path.read_text() + _FEW_CONNECTIONS)

    async def test_bodies_of_many_connections_at_an_entry(self) -> None:
        """Each body is within the limit and lacks its last byte."""
        size = RoutingSettings().body_max_bytes
        length = b'content-length: %d\r\n\r\n' % size
        payload = b''.join((_HEAD, length, bytes(size - 1)))
        async with gather_crowd(self.processes.address('entry-1')) as crowd:
            await asyncio.gather(
                *(crowd.hold(payload) for _ in range(_UPLOADS))
            )
            await self.check_chat()
        memory = read_memory(self.find_process_id('entry-1'))
        self.assertLess(memory, _MEMORY_MAX)

    async def test_idle_connections_at_an_entry(self) -> None:
        """More than the descriptors that an entry may use."""
        async with gather_crowd(self.processes.address('entry-1')) as crowd:
            await asyncio.gather(
                *(crowd.connect() for _ in range(_IDLE_CONNECTIONS))
            )
            # Connections are accepted in the order in which they were made.
            await self.check_chat()
            descriptors = count_descriptors(self.find_process_id('entry-1'))
        self.assertLess(descriptors, _DESCRIPTORS_MAX)
