"""Run all roles of an example deployment in one process."""

import random
import re
import socket
from collections.abc import AsyncIterator, Iterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

from seampond.clock import Clock
from seampond.daemons import run_agent, run_engine, run_entry, run_platform
from seampond.daemons.agent import RunningAgent
from seampond.daemons.entry import RunningEntry
from seampond.daemons.standins import RunningEngine, RunningPlatform
from seampond.settings.load import load_settings
from seampond.settings.models import (
    AgentSettings,
    EngineStandInSettings,
    EntrySettings,
    PlatformStandInSettings,
)
from seampond.templates.configuration import WORKSPACES
from seampond.templates.edit import Edit, commit_edit
from seampond.templates.keys import make_key

_ADDRESS = re.compile(r'127\.0\.0\.1:(\d+)')
_POLL_MS = 20
_FIRST_PORT = 20_000
_LAST_PORT = 32_000
# Ports are reserved by binding them on an address that no daemon listens on.
_RESERVATION_HOST = '127.0.0.2'
_reserved_ports: list[socket.socket] = []


@dataclass
class AgentSlot:
    """The settings and the running instance of one replaceable agent."""

    settings: AgentSettings
    clock: Clock
    stack: AsyncExitStack = field(default_factory=AsyncExitStack)

    async def start(self) -> RunningAgent:
        """Start a new agent with the settings of this slot."""
        return await self.stack.enter_async_context(
            run_agent(self.settings, self.clock)
        )

    async def stop(self) -> None:
        """Stop the agent without draining it."""
        await self.stack.aclose()


@dataclass(frozen=True)
class Fleet:
    """The running roles of a deployment."""

    platform: RunningPlatform
    engines: list[RunningEngine]
    agents: list[RunningAgent]
    entries: list[RunningEntry]
    keys: dict[str, str]
    agent_slots: list[AgentSlot]
    broken_by_stopped_agents: list[int] = field(default_factory=list)

    async def replace_agent(self, index: int, *, planned: bool) -> None:
        """Stop an agent and start a new one on its address."""
        if planned:
            await self.agents[index].drain()
        await self.agent_slots[index].stop()
        self.broken_by_stopped_agents.append(self.agents[index].promises.broken)
        self.agents[index] = await self.agent_slots[index].start()

    @property
    def promises_broken(self) -> int:
        """Number of violations recorded by all roles."""
        agents = sum(agent.promises.broken for agent in self.agents)
        entries = sum(
            entry.components.promises.broken for entry in self.entries
        )
        return agents + entries + sum(self.broken_by_stopped_agents)


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True


def _reserve_port(port: int) -> bool:
    """Reserve a port among all processes until this process ends."""
    reservation = socket.socket()
    try:
        reservation.bind((_RESERVATION_HOST, port))
    except OSError:
        reservation.close()
        return False
    _reserved_ports.append(reservation)
    return True


def free_ports() -> Iterator[int]:
    """Yield free ports, each at most once over all processes that use this.

    Explanation
    -----------
    The ports lie below the range of ephemeral ports, so that no outgoing
    connection takes one before it is used.
    """
    start = random.randrange(_FIRST_PORT, _LAST_PORT)
    for port in (*range(start, _LAST_PORT), *range(_FIRST_PORT, start)):
        if _is_free(port) and _reserve_port(port):
            yield port


def copy_with_free_ports(source: Path, target: Path) -> None:
    """Copy the settings of a deployment, replacing each port by a free one.

    Explanation
    -----------
    A port is replaced by the same free port in all files, so that the roles
    still reach each other.
    """
    free_port_by_port: dict[str, int] = {}
    free = free_ports()

    def replace_port(match: re.Match[str]) -> str:
        port = match.group(1)
        if port not in free_port_by_port:
            free_port_by_port[port] = next(free)
        return f'127.0.0.1:{free_port_by_port[port]}'

    for path in sorted(source.glob('*.toml')):
        text = path.read_text(encoding='utf-8')
        (target / path.name).write_text(
            _ADDRESS.sub(replace_port, text), encoding='utf-8'
        )


async def _create_keys(
    platform: RunningPlatform, clock: Clock
) -> dict[str, str]:
    tables = platform.platform.tables.as_tables()
    keys = {}
    for row in await tables.scan(WORKSPACES, '', '~', 1000):
        created = make_key(row.key)
        content = {**row.content, 'key_hashes': [created.key_hash]}
        edit = Edit(WORKSPACES, row.key, row.version, content, 'demo')
        await commit_edit(tables, clock, edit)
        keys[row.key] = created.key
    return keys


def _is_connected_to_all(entry: RunningEntry, agents: int) -> bool:
    peers = entry.components.dispatcher.peers.values()
    up = sum(peer.takes_work for peer in peers)
    return entry.components.is_ready and up == agents


@asynccontextmanager
async def run_fleet(folder: Path, clock: Clock) -> AsyncIterator[Fleet]:
    """Run all roles of the deployment in `folder` in this process."""

    def paths(role: str) -> list[Path]:
        return sorted(folder.glob(f'{role}-*.toml'))

    async with AsyncExitStack() as stack:
        platform = await stack.enter_async_context(
            run_platform(
                load_settings(
                    folder / 'platform.toml', PlatformStandInSettings
                ),
                clock,
            )
        )
        engines = [
            await stack.enter_async_context(
                run_engine(load_settings(path, EngineStandInSettings), clock)
            )
            for path in paths('engine')
        ]
        agent_slots = [
            AgentSlot(load_settings(path, AgentSettings), clock)
            for path in paths('agent')
        ]
        agents = []
        for slot in agent_slots:
            stack.push_async_callback(slot.stop)
            agents.append(await slot.start())
        entries = [
            await stack.enter_async_context(
                run_entry(load_settings(path, EntrySettings), clock)
            )
            for path in paths('entry')
        ]
        keys = await _create_keys(platform, clock)
        while not all(
            _is_connected_to_all(entry, len(agents)) for entry in entries
        ):
            await clock.sleep(_POLL_MS)
        yield Fleet(platform, engines, agents, entries, keys, agent_slots)
