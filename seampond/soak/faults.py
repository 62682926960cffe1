"""The faults that a soak injects, each undone after a while."""

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
_SOME_ANSWERS = 3
_SLOW_MS = 400


@dataclass(frozen=True)
class FaultContext:
    """What faults act upon."""

    fleet: Fleet
    rng: random.Random
    clock: Clock
    faults: 'tuple[Fault, ...]'

    @property
    def model_engine(self) -> Engine:
        """One of the model engines."""
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
    """An engine runs at a tenth of its speed."""
    return _engine_fault(context.model_engine, EngineFaults(slowdown=_SLOWDOWN))


def short_answers(context: FaultContext) -> AbstractAsyncContextManager[None]:
    """Some answers of an engine end short."""
    return _engine_fault(
        context.model_engine, EngineFaults(short=_SOME_ANSWERS)
    )


def crossed_answers(context: FaultContext) -> AbstractAsyncContextManager[None]:
    """Some answers of an engine are for another request."""
    faults = EngineFaults(crossed=_SOME_ANSWERS)
    return _engine_fault(context.model_engine, faults)


def failing_engine(context: FaultContext) -> AbstractAsyncContextManager[None]:
    """Some requests to an engine fail."""
    faults = EngineFaults(failing=_SOME_ANSWERS)
    return _engine_fault(context.model_engine, faults)


def platform_down(context: FaultContext) -> AbstractAsyncContextManager[None]:
    """The platform's services do not answer."""
    return _platform_fault(context, Faults(down=True))


def platform_slow(context: FaultContext) -> AbstractAsyncContextManager[None]:
    """The platform's services are slow."""
    return _platform_fault(context, Faults(slow_ms=_SLOW_MS))


def lost_answers(context: FaultContext) -> AbstractAsyncContextManager[None]:
    """Some writes take effect and nobody hears."""
    return _platform_fault(context, Faults(lose_answers=_SOME_ANSWERS))


@asynccontextmanager
async def cut_links(context: FaultContext) -> AsyncIterator[None]:
    """All links of one agent are cut at this moment."""
    running = context.rng.choice(context.fleet.agents)
    for entry in list(running.agent.entries):
        entry.link.abort()
    yield


@asynccontextmanager
async def replaced_agent(context: FaultContext) -> AsyncIterator[None]:
    """An agent ends without a planned stop; a new one takes its address."""
    index = context.rng.randrange(len(context.fleet.agents))
    await context.fleet.replace_agent(index, planned=False)
    yield


@asynccontextmanager
async def rolled_agent(context: FaultContext) -> AsyncIterator[None]:
    """An agent makes a planned stop; a new one takes its address."""
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
    """Inject faults, one or two at a time, until `until_ms`."""
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
