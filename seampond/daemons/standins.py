"""Daemons that stand in for the platform and a backend server."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

from seampond.backing.standin.app import Platform, make_platform_app
from seampond.clock import Clock
from seampond.settings.models import (
    EngineStandInSettings,
    PlatformStandInSettings,
)
from seampond.templates.seed import apply_seed, read_seed
from seampond.testing.engine.app import Engine, engine_app, open_engine
from seampond.web import WebServer, serve_http


@dataclass(frozen=True)
class RunningPlatform:
    """A running platform stand-in."""

    platform: Platform
    web: WebServer


@dataclass(frozen=True)
class RunningEngine:
    """A running engine stand-in."""

    engine: Engine
    web: WebServer


@asynccontextmanager
async def run_platform(
    settings: PlatformStandInSettings, clock: Clock
) -> AsyncIterator[RunningPlatform]:
    """Run the platform stand-in until the end of the `with`."""
    platform = Platform(settings, clock)
    if settings.seed_file:
        seed = read_seed(Path(settings.seed_file))
        await apply_seed(platform.tables.as_tables(), clock, seed)
    async with serve_http(make_platform_app(platform), settings.listen) as web:
        yield RunningPlatform(platform, web)


@asynccontextmanager
async def run_engine(
    settings: EngineStandInSettings, clock: Clock
) -> AsyncIterator[RunningEngine]:
    """Run the engine stand-in until the end of the `with`."""
    async with open_engine(settings, clock) as engine:
        async with serve_http(engine_app(engine), settings.listen) as web:
            yield RunningEngine(engine, web)
