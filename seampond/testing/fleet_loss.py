"""Gateways as processes that are all killed while two versions serve."""

import asyncio
import signal
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from seampond.backing.http_client import make_client
from seampond.clock import MS_PER_SECOND
from seampond.platform.tests.rows import (
    STREAM,
    ConfigurationRow,
    put_configuration,
)
from seampond.testing.gateway_processes import (
    GATEWAY_COUNT,
    GatewayProcess,
    run_gateways,
    wait_ready,
)
from seampond.testing.store import StandInStore, run_store
from seampond.testing.streaming import (
    CallerPlan,
    StatedWait,
    StreamAttempt,
    StreamingFleet,
    StreamRecord,
    run_streaming,
)

OLD_VERSION = 'v1'
NEW_VERSION = 'v2'
_SERVERS_PER_VERSION = 4
_STREAM_INTERVAL_MS = 80
_EVENT_INTERVAL_MS = 250
_WAIT_MS = 12_000
_RETURN_MS = 300
_ATTEMPTS_MAX = 40
_DOWN_MS = 200
# Streams that began so long before the loss go on after it.
_RECORDED_MS = 1000


@dataclass(frozen=True)
class LossPlan:
    """When gateways are killed, and what callers do then.

    Parameters
    ----------
    kills_ms : Sequence[int]
        When all gateways are killed.
    run_ms : int
        For how long new streams are opened.
    leaves_ms : int
        How long before the first kill the servers of the old version end, 0
        if they serve on.

    """

    kills_ms: Sequence[int] = (4000,)
    run_ms: int = 7000
    leaves_ms: int = 0
    stated_wait: StatedWait = StatedWait.rest
    names_first: bool = True
    versions: Sequence[str] = (OLD_VERSION, NEW_VERSION)
    gateways: int = GATEWAY_COUNT

    @property
    def caller(self) -> CallerPlan:
        """What each caller does."""
        return CallerPlan(
            names_first=self.names_first,
            wait_ms=_WAIT_MS,
            stated_wait=self.stated_wait,
            attempts_max=_ATTEMPTS_MAX,
            retry_pause_ms=_RETURN_MS,
        )


@dataclass(frozen=True)
class LossReport:
    """What became of the streams.

    Parameters
    ----------
    cut : int
        Streams that were open when the gateways were killed.
    recorded, went_on : int
        Those of them that had begun a second before while their version
        serves on, and how many of these brought more events.
    joined, disordered : Sequence[StreamRecord]
        Streams of two versions, and those that lack an event.

    """

    streams: int
    cut: int
    recorded: int
    went_on: int
    joined: Sequence[StreamRecord]
    disordered: Sequence[StreamRecord]


def _find_cut_attempt(
    record: StreamRecord, kill_ms: int
) -> StreamAttempt | None:
    """Return the attempt that brought events and was open at a time."""
    for attempt in record.attempts:
        if attempt.at_ms < kill_ms <= attempt.ended_ms and attempt.event_count:
            is_last = attempt is record.attempts[-1]
            return None if is_last and record.is_complete else attempt
    return None


def _has_gone_on(record: StreamRecord, cut: StreamAttempt) -> bool:
    later = record.attempts[record.attempts.index(cut) + 1 :]
    return any(attempt.event_count for attempt in later)


def _build_report(
    fleet: StreamingFleet, kills_ms: Sequence[int], plan: LossPlan
) -> LossReport:
    cuts = [
        (record, attempt, kill_ms)
        for kill_ms in kills_ms
        for record in fleet.records
        if (attempt := _find_cut_attempt(record, kill_ms))
    ]
    recorded = [
        _has_gone_on(record, attempt)
        for record, attempt, kill_ms in cuts
        if record.begun_ms < kill_ms - _RECORDED_MS
        and not (plan.leaves_ms and OLD_VERSION in record.versions)
    ]
    return LossReport(
        len(fleet.records),
        len(cuts),
        len(recorded),
        sum(recorded),
        fleet.joined,
        fleet.disordered,
    )


async def _kill_all(gateways: Sequence[GatewayProcess]) -> None:
    for killed in gateways:
        killed.signal(signal.SIGKILL)
    await asyncio.gather(*(gateway.wait() for gateway in gateways))
    await asyncio.sleep(_DOWN_MS / MS_PER_SECOND)
    await asyncio.gather(*(gateway.start() for gateway in gateways))


async def _lose_gateways(
    gateways: Sequence[GatewayProcess], fleet: StreamingFleet, plan: LossPlan
) -> list[int]:
    """Kill all gateways as planned; return when."""
    began_ms = fleet.clock.now()
    killed_ms: list[int] = []
    for kill_ms in plan.kills_ms:
        left_ms = began_ms + kill_ms - fleet.clock.now()
        if plan.leaves_ms and not killed_ms:
            await fleet.clock.sleep(left_ms - plan.leaves_ms)
            await _end_old_servers(fleet)
            left_ms = plan.leaves_ms
        await fleet.clock.sleep(max(0, left_ms))
        killed_ms.append(fleet.clock.now())
        await _kill_all(gateways)
    return killed_ms


async def _end_old_servers(fleet: StreamingFleet) -> None:
    await asyncio.gather(
        *(
            server.leave(0)
            for server in fleet.servers
            if server.version == OLD_VERSION
        )
    )


async def _play(
    store: StandInStore,
    fleet: StreamingFleet,
    gateways: Sequence[GatewayProcess],
    plan: LossPlan,
) -> LossReport:
    put_configuration(store, ConfigurationRow(kind=STREAM, may_resume=True))
    for version in plan.versions:
        await fleet.add_servers(
            _SERVERS_PER_VERSION, version, event_interval_ms=_EVENT_INTERVAL_MS
        )
    await wait_ready(
        gateways, make_client(plan.gateways, reuse_connections=False)
    )
    addresses = [gateway.ports[0] for gateway in gateways]
    async with asyncio.TaskGroup() as group:
        loss = group.create_task(_lose_gateways(gateways, fleet, plan))
        group.create_task(
            fleet.send_streams(
                addresses, plan.caller, _STREAM_INTERVAL_MS, plan.run_ms
            )
        )
    return _build_report(fleet, loss.result(), plan)


async def run_fleet_loss(
    folder: Path, plan: LossPlan, build: Path | None = None
) -> LossReport:
    """Run gateways of a build, kill all of them and report the streams.

    Parameters
    ----------
    build : Path or None
        Folder of an earlier build, None for this one.

    """
    async with (
        run_store() as store,
        run_streaming(store) as fleet,
        run_gateways(folder, store, build, plan.gateways) as gateways,
    ):
        return await _play(store, fleet, gateways, plan)
