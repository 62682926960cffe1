"""Heartbeats between gateways and their Cap'n Proto encoding."""

import functools
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TypeVar

import capnp

from seampond.errors import ForeignMessageError, LinkError
from seampond.packed import read_packed
from seampond.permits.messages import LimitReport, decode_rate, encode_rate
from seampond.quarantine.models import CrashReport
from seampond.rollouts.models import Report, Stage, Tally, TallyKey
from seampond.watches import FreshnessProof, Row

_MAX_UINT32 = 4_294_967_295
_SCHEMA_FILE = 'heartbeat.capnp'
_Key = TypeVar('_Key')
_Value = TypeVar('_Value')
_ENCODE_ERRORS = (capnp.KjException, ValueError, OverflowError)
_DECODE_ERRORS = (capnp.KjException, ValueError, KeyError, AttributeError)


@dataclass(frozen=True, slots=True)
class Load:
    """Load of one gateway on one server.

    Parameters
    ----------
    running, pending_tokens : int
        Running requests, and the prompt tokens of those that still wait for
        their first byte.

    """

    running: int
    pending_tokens: int


@dataclass(frozen=True, slots=True)
class RelayedPage:
    """Changes of a store table, relayed by the gateway that read them.

    Parameters
    ----------
    table : int
        Hash of the table's name.
    since : int
        Version after which the changes are complete.
    version : int
        Version up to which the changes are complete.
    store_ms : int
        Store's monotonic clock at the read.

    """

    table: int
    since: int
    version: int
    store_ms: int
    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """State that a gateway sends to the others several times a second.

    Parameters
    ----------
    incarnation : int
        Random number that identifies one start of the process.
    sequence : int
        Increases with each heartbeat of an incarnation.
    version : int
        Version of the configuration in force at the sender.
    spent : Mapping[int, float]
        Units granted since the start, by hash of the tenant.
    uptime_ms : int
        Time since the start of the process.
    loads : Mapping[int, Load]
        Nonzero loads, by hash of the server.
    has_stopped : bool
        Whether this is the last heartbeat after a planned stop.
    proofs : Mapping[int, FreshnessProof]
        Newest known change, by hash of the table.
    levels : Mapping[int, int]
        Levels of the quota buckets in units, by hash of the tenant; sent only
        while some gateway has just started.
    is_store_unreachable : bool
        Whether the sender's calls to the store fail.
    pages : tuple[RelayedPage, ...]
        Changes read from the store since the last heartbeat.
    rollouts : tuple[Report, ...]
        Progress of the roll-outs that are carried out.
    crashes : tuple[CrashReport, ...]
        Requests under which servers crashed.
    successes : Mapping[int, int]
        By fingerprint, milliseconds since a successful answer to a request
        that is suspected of crashes.
    exits : Mapping[int, int]
        By hash of the server's incarnation, milliseconds since its end was
        announced.
    limit_reports : Mapping[int, LimitReport]
        Limits reported by servers, by hash of the server's incarnation.
    issues_permits : bool
        Whether the sender may own server limits.
    keeps_origins : bool
        Whether the sender keeps the origins of streams for others.
    lends_retries : bool
        Whether the sender lends retries.
    lends_connections : bool
        Whether the sender lends connections to servers.

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
    keeps_origins: bool = False
    lends_retries: bool = False
    lends_connections: bool = False
    exits: Mapping[int, int] = field(default_factory=dict)


@functools.cache
def _schema() -> Any:
    return capnp.load(str(Path(__file__).with_name(_SCHEMA_FILE)))


def _zip_columns(
    keys: Iterable[_Key], values: Iterable[_Value]
) -> dict[_Key, _Value]:
    """Return the mapping that is sent as one column of keys and one of values.

    Raises
    ------
    ValueError
        If one column is longer than the other.

    """
    return dict(zip(keys, values, strict=True))


def _page_fields(page: RelayedPage) -> dict[str, Any]:
    """Return the fields of a page by their schema names."""
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


def _report_fields(report: Report) -> dict[str, Any]:
    """Return the fields of a report by their schema names."""
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
        _zip_columns(keys, map(Tally, reader.answers, reader.bad)),
    )


def _clamp_uint32(number: int) -> int:
    return min(number, _MAX_UINT32)


def _read_crashes(reader: Any) -> tuple[CrashReport, ...]:
    columns = (
        reader.endRequests,
        reader.endLives,
        reader.endStartedAgoMs,
        reader.endAgoMs,
        reader.endsProven,
    )
    return tuple(CrashReport(*fields) for fields in zip(*columns, strict=True))


def encode(heartbeat: Heartbeat) -> bytes:
    """Encode a heartbeat into one datagram.

    Raises
    ------
    LinkError
        If a field cannot be encoded.

    Examples
    --------
    >>> decode(encode(Heartbeat('g1', 1, 2, 3, {7: 4.0}))).spent
    {7: 4}

    """
    try:
        return _pack(heartbeat)
    except _ENCODE_ERRORS as error:
        raise LinkError(
            f'heartbeat cannot be encoded: {error}', step='encode'
        ) from error


def _pack(heartbeat: Heartbeat) -> bytes:
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
        # Rounded up, since reporting too much keeps within the quota.
        spentUnits=[math.ceil(max(0, units)) for units in spent.values()],
        loadServers=list(loads),
        loadRunning=[load.running for load in loads.values()],
        loadUnread=[
            _clamp_uint32(load.pending_tokens) for load in loads.values()
        ],
        proofTables=list(proofs),
        proofChanged=[proof.latest_change for proof in proofs.values()],
        proofStoreMs=[proof.store_ms for proof in proofs.values()],
        levelTenants=list(levels),
        levelUnits=list(levels.values()),
        isCut=heartbeat.is_store_unreachable,
        pages=[_page_fields(page) for page in heartbeat.pages],
        rollouts=[_report_fields(report) for report in heartbeat.rollouts],
        endRequests=[crash.fingerprint for crash in heartbeat.crashes],
        endLives=[crash.incarnation for crash in heartbeat.crashes],
        endStartedAgoMs=[
            _clamp_uint32(crash.run_age_ms) for crash in heartbeat.crashes
        ],
        endAgoMs=[
            _clamp_uint32(crash.crash_age_ms) for crash in heartbeat.crashes
        ],
        endsProven=[crash.had_success for crash in heartbeat.crashes],
        goodRequests=list(heartbeat.successes),
        goodAgoMs=[
            _clamp_uint32(ago_ms) for ago_ms in heartbeat.successes.values()
        ],
        limitLives=list(heartbeat.limit_reports),
        limitRates=[
            encode_rate(report.rate)
            for report in heartbeat.limit_reports.values()
        ],
        limitSaidAgoMs=[
            _clamp_uint32(report.age_ms)
            for report in heartbeat.limit_reports.values()
        ],
        givesPermits=heartbeat.issues_permits,
        keepsOrigins=heartbeat.keeps_origins,
        lendsRetries=heartbeat.lends_retries,
        lendsConnections=heartbeat.lends_connections,
        exitLives=list(heartbeat.exits),
        exitAgoMs=[
            _clamp_uint32(ago_ms) for ago_ms in heartbeat.exits.values()
        ],
    )
    packed: bytes = message.to_bytes_packed()
    return packed


def decode(packet: bytes, *, peer: str = '') -> Heartbeat:
    """Decode one datagram.

    Raises
    ------
    ForeignMessageError
        If the bytes are not a heartbeat.

    """
    try:
        reader = read_packed(_schema().Heartbeat, packet)
        return Heartbeat(
            reader.name,
            reader.incarnation,
            reader.sequence,
            reader.version,
            _zip_columns(reader.spentTenants, reader.spentUnits),
            reader.isStopping,
            reader.uptimeMs,
            _zip_columns(
                reader.loadServers,
                map(Load, reader.loadRunning, reader.loadUnread),
            ),
            reader.isGone,
            _zip_columns(
                reader.proofTables,
                map(FreshnessProof, reader.proofChanged, reader.proofStoreMs),
            ),
            _zip_columns(reader.levelTenants, reader.levelUnits),
            reader.isCut,
            tuple(_read_page(page) for page in reader.pages),
            tuple(_read_report(report) for report in reader.rollouts),
            _read_crashes(reader),
            _zip_columns(reader.goodRequests, reader.goodAgoMs),
            _zip_columns(
                reader.limitLives,
                map(
                    LimitReport,
                    map(decode_rate, reader.limitRates),
                    reader.limitSaidAgoMs,
                ),
            ),
            reader.givesPermits,
            reader.keepsOrigins,
            reader.lendsRetries,
            reader.lendsConnections,
            _zip_columns(reader.exitLives, reader.exitAgoMs),
        )
    except _DECODE_ERRORS as error:
        raise ForeignMessageError(
            f'invalid heartbeat: {type(error).__name__}',
            step='decode',
            peer=peer,
        ) from error
