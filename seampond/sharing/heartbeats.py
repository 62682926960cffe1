"""The message between gateways, to bytes and back by Cap'n Proto."""

import functools
import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import capnp

from seampond.errors import ForeignMessageError
from seampond.watches import Proof

_MAX_UNREAD = 4_294_967_295
_SCHEMA_FILE = 'heartbeat.capnp'
_FAILURES = (capnp.KjException, ValueError, KeyError, AttributeError)


@dataclass(frozen=True, slots=True)
class Load:
    """What one gateway has on one server.

    Parameters
    ----------
    running, unread : int
        Its requests there, and the prompt tokens to be read for those that
        wait for their first byte.

    """

    running: int
    unread: int


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
    is_gone : bool
        Whether this is the last word of this life, after a planned stop.
    loads : Mapping[int, Load]
        By key of the server, what it has where it has anything.
    spent : Mapping[int, float]
        By key of the tenant, what it has given in this life, in units.
    proofs : Mapping[int, Proof]
        By key of a table of the store, what it knows of its newest change.
    levels : Mapping[int, int]
        By key of the tenant, the level of its bucket in units, below zero
        for a debt; told while a gateway is there that has just started.

    """

    name: str
    incarnation: int
    sequence: int
    version: int = 0
    spent: Mapping[int, float] = field(default_factory=dict)
    is_stopping: bool = False
    uptime_ms: int = 0
    loads: Mapping[int, Load] = field(default_factory=dict)
    is_gone: bool = False
    proofs: Mapping[int, Proof] = field(default_factory=dict)
    levels: Mapping[int, int] = field(default_factory=dict)


@functools.cache
def _schema() -> Any:
    return capnp.load(str(Path(__file__).with_name(_SCHEMA_FILE)))


def _write_spent(message: Any, spent: Mapping[int, float]) -> None:
    rows = message.init('spent', len(spent))
    for row, (tenant, units) in zip(rows, spent.items(), strict=True):
        row.tenant = tenant
        # Told whole: a part of a unit more is on the safe side.
        row.units = math.ceil(max(0, units))


def _write_loads(message: Any, loads: Mapping[int, Load]) -> None:
    rows = message.init('loads', len(loads))
    for row, (server, load) in zip(rows, loads.items(), strict=True):
        row.server = server
        row.running = load.running
        row.unread = min(load.unread, _MAX_UNREAD)


def _write_proofs(message: Any, proofs: Mapping[int, Proof]) -> None:
    rows = message.init('proofs', len(proofs))
    for row, (table, proof) in zip(rows, proofs.items(), strict=True):
        row.table = table
        row.changed = proof.changed
        row.storeMs = proof.store_ms


def _write_levels(message: Any, levels: Mapping[int, int]) -> None:
    rows = message.init('levels', len(levels))
    for row, (tenant, units) in zip(rows, levels.items(), strict=True):
        row.tenant = tenant
        row.units = units


def encode(heartbeat: Heartbeat) -> bytes:
    """Encode a heartbeat into one datagram.

    Examples
    --------
    >>> decode(encode(Heartbeat('g1', 1, 2, 3, {7: 4.0}))).spent
    {7: 4}

    """
    message = _schema().Heartbeat.new_message(
        name=heartbeat.name,
        incarnation=heartbeat.incarnation,
        sequence=heartbeat.sequence,
        version=heartbeat.version,
        isStopping=heartbeat.is_stopping,
        uptimeMs=heartbeat.uptime_ms,
        isGone=heartbeat.is_gone,
    )
    _write_spent(message, heartbeat.spent)
    _write_loads(message, heartbeat.loads)
    _write_proofs(message, heartbeat.proofs)
    _write_levels(message, heartbeat.levels)
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
            {row.tenant: row.units for row in reader.spent},
            reader.isStopping,
            reader.uptimeMs,
            {row.server: Load(row.running, row.unread) for row in reader.loads},
            reader.isGone,
            {
                told.table: Proof(told.changed, told.storeMs)
                for told in reader.proofs
            },
            {row.tenant: row.units for row in reader.levels},
        )
    except _FAILURES as error:
        raise ForeignMessageError(
            f'no heartbeat: {type(error).__name__}', step='decode', peer=peer
        ) from error
