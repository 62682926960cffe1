"""The message between gateways, to bytes and back by Cap'n Proto."""

import functools
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TypeVar

import capnp

from seampond.errors import ForeignMessageError
from seampond.permits.messages import LimitReport, decode_rate, encode_rate
from seampond.quarantine.models import CrashReport
from seampond.rollouts.models import Report, Stage, Tally, TallyKey
from seampond.watches import FreshnessProof, Row

_MAX_UINT32 = 4_294_967_295
_SCHEMA_FILE = 'heartbeat.capnp'
_Key = TypeVar('_Key')
_Told = TypeVar('_Told')
_FAILURES = (capnp.KjException, ValueError, KeyError, AttributeError)


@dataclass(frozen=True, slots=True)
class Load:
    """What one gateway has on one server.

    Parameters
    ----------
    running, pending_tokens : int
        Its requests there, and the prompt tokens to be read for those that
        wait for their first byte.

    """

    running: int
    pending_tokens: int


@dataclass(frozen=True, slots=True)
class RelayedPage:
    """Changes of a table of the store, passed on as they were read.

    Parameters
    ----------
    table : int
        The key of the table.
    since : int
        The version after which these changes are all.
    version : int
        The version up to which they are all.
    store_ms : int
        The store's steady clock then.

    """

    table: int
    since: int
    version: int
    store_ms: int
    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """What one gateway tells the others, some times a second.

    Parameters
    ----------
    incarnation : int
        One life of the process, a random number.
    sequence : int
        Rises with each heartbeat of a life.
    version : int
        The configuration in force there.
    uptime_ms : int
        How long this life has lasted.
    has_stopped : bool
        Whether this is the last word of this life, after a planned stop.
    loads : Mapping[int, Load]
        By key of the server, what it has where it has anything.
    spent : Mapping[int, float]
        By key of the tenant, what it has given in this life, in units.
    proofs : Mapping[int, FreshnessProof]
        By key of a table of the store, what it knows of its newest change.
    levels : Mapping[int, int]
        By key of the tenant, the level of its bucket in units, below zero
        for a debt; told while a gateway is there that has just started.
    is_store_unreachable : bool
        Whether its calls to the store fail, so that it passes nothing on.
    pages : tuple[RelayedPage, ...]
        What it has read of the store since its last heartbeat.
    rollouts : tuple[Report, ...]
        How far it has come with the roll-outs that are carried out.
    crashes : tuple[CrashReport, ...]
        Under which requests servers have ended.
    successes : Mapping[int, int]
        By fingerprint, how long ago a request got a good answer that speaks
        against such ends.
    limit_reports : Mapping[int, LimitReport]
        By key of a server's life, what it has heard of its limit.
    issues_permits : bool
        Whether it may own limits.

    """

    name: str
    incarnation: int
    sequence: int
    version: int = 0
    spent: Mapping[int, float] = field(default_factory=dict)
    is_stopping: bool = False
    uptime_ms: int = 0
    loads: Mapping[int, Load] = field(default_factory=dict)
    has_stopped: bool = False
    proofs: Mapping[int, FreshnessProof] = field(default_factory=dict)
    levels: Mapping[int, int] = field(default_factory=dict)
    is_store_unreachable: bool = False
    pages: tuple[RelayedPage, ...] = ()
    rollouts: tuple[Report, ...] = ()
    crashes: tuple[CrashReport, ...] = ()
    successes: Mapping[int, int] = field(default_factory=dict)
    limit_reports: Mapping[int, LimitReport] = field(default_factory=dict)
    issues_permits: bool = False


@functools.cache
def _schema() -> Any:
    return capnp.load(str(Path(__file__).with_name(_SCHEMA_FILE)))


def _join(keys: Iterable[_Key], told: Iterable[_Told]) -> dict[_Key, _Told]:
    """Give the rows of a table that is told by its columns.

    Raises
    ------
    ValueError
        If one column is longer than the other.

    """
    return dict(zip(keys, told, strict=True))


def _describe(page: RelayedPage) -> dict[str, Any]:
    """Give the fields of a page as the schema names them."""
    return {
        'table': page.table,
        'since': page.since,
        'version': page.version,
        'storeMs': page.store_ms,
        'rowKeys': [row.key for row in page.rows],
        'rowContents': [row.content for row in page.rows],
        'rowVersions': [row.version for row in page.rows],
        'rowsGone': [row.is_deleted for row in page.rows],
    }


def _read_page(reader: Any) -> RelayedPage:
    columns = (
        reader.rowKeys,
        reader.rowContents,
        reader.rowVersions,
        reader.rowsGone,
    )
    rows = tuple(
        Row(key, bytes(content), version, is_deleted)
        for key, content, version, is_deleted in zip(*columns, strict=True)
    )
    return RelayedPage(
        reader.table, reader.since, reader.version, reader.storeMs, rows
    )


def _describe_report(report: Report) -> dict[str, Any]:
    """Give the fields of a report as the schema names them."""
    tallies = report.tallies
    return {
        'pool': report.pool,
        'order': report.order,
        'stage': report.stage.value,
        'openOld': report.open_old,
        'routes': [key.route for key in tallies],
        'areNew': [key.is_new for key in tallies],
        'answers': [tally.answers for tally in tallies.values()],
        'bad': [tally.bad for tally in tallies.values()],
    }


def _read_report(reader: Any) -> Report:
    keys = map(TallyKey, reader.routes, reader.areNew)
    return Report(
        reader.pool,
        reader.order,
        Stage(reader.stage),
        reader.openOld,
        _join(keys, map(Tally, reader.answers, reader.bad)),
    )


def _fit(number: int) -> int:
    return min(number, _MAX_UINT32)


def _read_ends(reader: Any) -> tuple[CrashReport, ...]:
    columns = (
        reader.endRequests,
        reader.endLives,
        reader.endStartedAgoMs,
        reader.endAgoMs,
        reader.endsProven,
    )
    return tuple(CrashReport(*told) for told in zip(*columns, strict=True))


def encode(heartbeat: Heartbeat) -> bytes:
    """Encode a heartbeat into one datagram.

    Examples
    --------
    >>> decode(encode(Heartbeat('g1', 1, 2, 3, {7: 4.0}))).spent
    {7: 4}

    """
    spent, loads = heartbeat.spent, heartbeat.loads
    proofs, levels = heartbeat.proofs, heartbeat.levels
    message = _schema().Heartbeat.new_message(
        name=heartbeat.name,
        incarnation=heartbeat.incarnation,
        sequence=heartbeat.sequence,
        version=heartbeat.version,
        isStopping=heartbeat.is_stopping,
        uptimeMs=heartbeat.uptime_ms,
        isGone=heartbeat.has_stopped,
        spentTenants=list(spent),
        # Told whole: a part of a unit more is on the safe side.
        spentUnits=[math.ceil(max(0, units)) for units in spent.values()],
        loadServers=list(loads),
        loadRunning=[load.running for load in loads.values()],
        loadUnread=[_fit(load.pending_tokens) for load in loads.values()],
        proofTables=list(proofs),
        proofChanged=[proof.latest_change for proof in proofs.values()],
        proofStoreMs=[proof.store_ms for proof in proofs.values()],
        levelTenants=list(levels),
        levelUnits=list(levels.values()),
        isCut=heartbeat.is_store_unreachable,
        pages=[_describe(page) for page in heartbeat.pages],
        rollouts=[_describe_report(report) for report in heartbeat.rollouts],
        endRequests=[end.request for end in heartbeat.crashes],
        endLives=[end.incarnation for end in heartbeat.crashes],
        endStartedAgoMs=[_fit(end.run_age_ms) for end in heartbeat.crashes],
        endAgoMs=[_fit(end.crash_age_ms) for end in heartbeat.crashes],
        endsProven=[end.had_success for end in heartbeat.crashes],
        goodRequests=list(heartbeat.successes),
        goodAgoMs=[_fit(ago_ms) for ago_ms in heartbeat.successes.values()],
        limitLives=list(heartbeat.limit_reports),
        limitRates=[
            encode_rate(word.rate) for word in heartbeat.limit_reports.values()
        ],
        limitSaidAgoMs=[
            _fit(word.age_ms) for word in heartbeat.limit_reports.values()
        ],
        givesPermits=heartbeat.issues_permits,
    )
    packed: bytes = message.to_bytes_packed()
    return packed


def decode(packet: bytes, *, peer: str = '') -> Heartbeat:
    """Decode one datagram.

    Raises
    ------
    ForeignMessageError
        If the bytes are no heartbeat.

    """
    try:
        reader = _schema().Heartbeat.from_bytes_packed(packet)
        return Heartbeat(
            reader.name,
            reader.incarnation,
            reader.sequence,
            reader.version,
            _join(reader.spentTenants, reader.spentUnits),
            reader.isStopping,
            reader.uptimeMs,
            _join(
                reader.loadServers,
                map(Load, reader.loadRunning, reader.loadUnread),
            ),
            reader.isGone,
            _join(
                reader.proofTables,
                map(FreshnessProof, reader.proofChanged, reader.proofStoreMs),
            ),
            _join(reader.levelTenants, reader.levelUnits),
            reader.isCut,
            tuple(_read_page(page) for page in reader.pages),
            tuple(_read_report(report) for report in reader.rollouts),
            _read_ends(reader),
            _join(reader.goodRequests, reader.goodAgoMs),
            _join(
                reader.limitLives,
                map(
                    LimitReport,
                    map(decode_rate, reader.limitRates),
                    reader.limitSaidAgoMs,
                ),
            ),
            reader.givesPermits,
        )
    except _FAILURES as error:
        raise ForeignMessageError(
            f'no heartbeat: {type(error).__name__}', step='decode', peer=peer
        ) from error
