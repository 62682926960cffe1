"""An agent process and connections that do not prove the shared secret."""

import asyncio

from seampond.daemons.tests.deployment_case import DeploymentCase
from seampond.links.codec import MAX_PACKET_BYTES
from seampond.testing.misbehaving import gather_crowd, read_memory

# What an agent may use at the target size.
_MEMORY_MAX = 128_000_000
_CROWD = 6


class ForeignLinksTest(DeploymentCase):
    """The example deployment."""

    async def test_long_packets_before_the_handshake(self) -> None:
        """Each lacks its last byte; agents serve the entries meanwhile."""
        length = MAX_PACKET_BYTES.to_bytes(4, 'big')
        payload = length + bytes(MAX_PACKET_BYTES - 1)
        async with gather_crowd(self.processes.address('agent-1')) as crowd:
            await asyncio.gather(*(crowd.hold(payload) for _ in range(_CROWD)))
            memory = read_memory(self.find_process_id('agent-1'))
        await self.check_chat()
        self.assertLess(memory, _MEMORY_MAX)
