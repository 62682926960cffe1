"""An entry process and callers that send slowly or stay idle."""

import asyncio

from seampond.settings.models import RoutingSettings
from seampond.testing.misbehaving import (
    count_descriptors,
    gather_crowd,
    read_memory,
)
from seampond.testing.processes import (
    Processes,
    ProcessTestCase,
    run_processes,
)

# What an entry may use at the target size.
_MEMORY_MAX = 128_000_000
_DESCRIPTORS_MAX = 512
_UPLOADS = 40
_IDLE_CONNECTIONS = 600
_HEAD = b'POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\n'


class MisbehavingCallersTest(ProcessTestCase):
    """The example deployment."""

    def setUp(self) -> None:
        """Start the processes."""
        self.processes: Processes = self.enterContext(
            run_processes(self.folder, 'fitlink-kochi', lambda folder: None)
        )
        self.address = self.processes.address('entry-1')
        self.process_id = self.processes.running['entry-1'].pid

    async def test_bodies_of_many_connections_at_an_entry(self) -> None:
        """Each body is within the limit and lacks its last byte."""
        size = RoutingSettings().body_max_bytes
        length = b'content-length: %d\r\n\r\n' % size
        payload = b''.join((_HEAD, length, bytes(size - 1)))
        async with gather_crowd(self.address) as crowd:
            await asyncio.gather(
                *(crowd.hold(payload) for _ in range(_UPLOADS))
            )
            memory = read_memory(self.process_id)
        self.assertLess(memory, _MEMORY_MAX)

    async def test_idle_connections_at_an_entry(self) -> None:
        """More than the descriptors that an entry may use."""
        async with gather_crowd(self.address) as crowd:
            await asyncio.gather(
                *(crowd.connect() for _ in range(_IDLE_CONNECTIONS))
            )
            # Connections are accepted in the order in which they were made.
            await crowd.hold(_HEAD)
            self.processes.read_page('entry-1', '/ready')
            descriptors = count_descriptors(self.process_id)
        self.assertLess(descriptors, _DESCRIPTORS_MAX)
