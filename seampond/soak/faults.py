"""Faults that a soak test injects for a limited time."""

import random
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from dataclasses import dataclass
from types import MappingProxyType

from seampond.backing.standin.models import Faults
from seampond.clock import Clock
from seampond.demo.fleet import Fleet
from seampond.testing.engine.app import Engine, EngineFaults

_SLOWDOWN = 10
_AFFECTED_RESPONSES = 3
_DELAY_MS = 400


@dataclass(frozen=True)
class FaultContext:
    """The fleet under test and the faults to choose from."""

    fleet: Fleet
    rng: random.Random
    clock: Clock
    faults: 'tuple[Fault, ...]'

    @property
    def model_engine(self) -> Engine:
        """A random model engine of the fleet."""
        models = [
            running.engine
            for running in self.fleet.engines
            if running.engine.settings.kind == 'model'
        ]
        return self.rng.choice(models)


Fault = Callable[[FaultContext], AbstractAsyncContextManager[None]]


@asynccontextmanager
async def _engine_fault(
    engine: Engine, faults: EngineFaults
) -> AsyncIterator[None]:
    engine.faults = faults
    engine.batch.slowdown = faults.slowdown
    try:
        yield
    finally:
        engine.faults = EngineFaults()
        engine.batch.slowdown = 1


@asynccontextmanager
async def _platform_fault(
    context: FaultContext, faults: Faults
) -> AsyncIterator[None]:
    platform = context.fleet.platform.platform
    before = platform.faults
    platform.faults = faults
    try:
        yield
    finally:
        platform.faults = before


def slow_engine(context: FaultContext) -> AbstractAsyncContextManager[None]:
    """Slow an engine down to a tenth of its speed."""
    return _engine_fault(context.model_engine, EngineFaults(slowdown=_SLOWDOWN))


def short_answers(context: FaultContext) -> AbstractAsyncContextManager[None]:
    """Truncate some responses of an engine."""
    return _engine_fault(
        context.model_engine, EngineFaults(short=_AFFECTED_RESPONSES)
    )


def crossed_answers(context: FaultContext) -> AbstractAsyncContextManager[None]:
    """Answer some requests to an engine with the response of another."""
    faults = EngineFaults(crossed=_AFFECTED_RESPONSES)
    return _engine_fault(context.model_engine, faults)


def failing_engine(context: FaultContext) -> AbstractAsyncContextManager[None]:
    """Fail some requests to an engine."""
    faults = EngineFaults(failing=_AFFECTED_RESPONSES)
    return _engine_fault(context.model_engine, faults)


def platform_down(context: FaultContext) -> AbstractAsyncContextManager[None]:
    """Make the platform's services unreachable."""
    return _platform_fault(context, Faults(down=True))


def platform_slow(context: FaultContext) -> AbstractAsyncContextManager[None]:
    """Delay the responses of the platform's services."""
    return _platform_fault(context, Faults(slow_ms=_DELAY_MS))


def lost_answers(context: FaultContext) -> AbstractAsyncContextManager[None]:
    """Apply some writes to the platform but lose the responses."""
    return _platform_fault(context, Faults(lose_answers=_AFFECTED_RESPONSES))


@asynccontextmanager
async def cut_links(context: FaultContext) -> AsyncIterator[None]:
    """Abort all links of one agent."""
    running = context.rng.choice(context.fleet.agents)
    for entry in list(running.agent.entries):
        entry.link.abort()
    yield


@asynccontextmanager
async def replaced_agent(context: FaultContext) -> AsyncIterator[None]:
    """Stop an agent without draining; start a new one on its address."""
    index = context.rng.randrange(len(context.fleet.agents))
    await context.fleet.replace_agent(index, planned=False)
    yield


@asynccontextmanager
async def rolled_agent(context: FaultContext) -> AsyncIterator[None]:
    """Drain and stop an agent; start a new one on its address."""
    index = context.rng.randrange(len(context.fleet.agents))
    await context.fleet.replace_agent(index, planned=True)
    yield


ALL_FAULTS: tuple[Fault, ...] = (
    slow_engine,
    short_answers,
    crossed_answers,
    failing_engine,
    platform_down,
    platform_slow,
    lost_answers,
    cut_links,
    replaced_agent,
    rolled_agent,
)


FAULTS = MappingProxyType({fault.__name__: fault for fault in ALL_FAULTS})


async def inject_faults(
    context: FaultContext, until_ms: int, counts: dict[str, int]
) -> None:
    """Inject one or two faults at a time until `until_ms`."""
    while context.clock.now() < until_ms:
        most = min(2, len(context.faults))
        chosen = context.rng.sample(
            context.faults, context.rng.randint(1, most)
        )
        await _apply_nested(context, chosen, counts)
        await context.clock.sleep(context.rng.uniform(100, 600))


async def _apply_nested(
    context: FaultContext, chosen: list[Fault], counts: dict[str, int]
) -> None:
    fault, *others = chosen
    name = fault.__name__
    counts[name] = counts.get(name, 0) + 1
    async with fault(context):
        if others:
            await _apply_nested(context, others, counts)
        else:
            await context.clock.sleep(context.rng.uniform(200, 1500))
