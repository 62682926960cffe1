"""Edits of the configuration by operators."""

import secrets
from dataclasses import asdict, dataclass
from typing import Any

from seampond.backing.tables import Check, Row, Tables, Write
from seampond.clock import Clock
from seampond.errors import (
    ConflictError,
    PlatformError,
    SeampondError,
    UnknownOutcomeError,
)
from seampond.templates.configuration import (
    CHANGES,
    COUNTER_KEY,
    COUNTER_TABLE,
    LAST_KEY,
    Change,
    change_key,
    parse_change,
)

_TOKEN_BYTES = 16
_READ_BACK_TRIES_MAX = 20
_READ_BACK_PAUSE_MS = 250
_COMMIT_TRIES_MAX = 50
_PAGE_ROWS = 500


class LostEditError(SeampondError):
    """The row was changed by another operator meanwhile."""


class EditUnknownError(SeampondError):
    """It is unknown whether the edit took effect."""


@dataclass(frozen=True, slots=True)
class Edit:
    """An edit of one row.

    Parameters
    ----------
    version : int
        Version of the row that the operator edited; 0 for a new row.
    content : dict | None
        New content of the row; None deletes it.

    """

    table: str
    key: str
    version: int
    content: dict[str, Any] | None
    author: str


async def _describe_conflict(tables: Tables, edit: Edit, since: int) -> str:
    rows = await tables.scan(
        CHANGES, change_key(since + 1), LAST_KEY, _PAGE_ROWS
    )
    changes = [parse_change(row.content) for row in rows]
    same_row = [
        change
        for change in changes
        if (change.table, change.key) == (edit.table, edit.key)
    ]
    if not same_row:
        return 'it was changed before you started; show it again'
    last = same_row[-1]
    author = last.author or 'somebody'
    outcome = 'deleted it' if last.content is None else f'set {last.content}'
    return f'{author} {outcome} in generation {last.generation}'


async def _read_back(
    tables: Tables, clock: Clock, change: Change
) -> int | None:
    """Return the generation with the change's token, None if there is none."""
    for _ in range(_READ_BACK_TRIES_MAX):
        try:
            rows = await tables.scan(
                CHANGES, change_key(change.generation), LAST_KEY, _PAGE_ROWS
            )
        except PlatformError:
            await clock.sleep(_READ_BACK_PAUSE_MS)
            continue
        for row in rows:
            found = parse_change(row.content)
            if found.token == change.token:
                return found.generation
        return None
    raise EditUnknownError(
        'the table service does not say whether the edit took effect; '
        f'look for token {change.token} in the history later',
        step='edit',
    )


def _build_transaction(
    edit: Edit, counter: Row | None, change: Change
) -> tuple[list[Check], list[Write]]:
    counter_version = counter.version if counter else 0
    checks = [
        Check(COUNTER_TABLE, COUNTER_KEY, counter_version),
        Check(edit.table, edit.key, edit.version),
    ]
    writes = [
        Write(COUNTER_TABLE, COUNTER_KEY, {'number': change.generation}),
        Write(edit.table, edit.key, edit.content),
        Write(CHANGES, change_key(change.generation), asdict(change)),
    ]
    return checks, writes


async def _require_version(tables: Tables, edit: Edit, since: int) -> None:
    row = await tables.read(edit.table, edit.key)
    version = row.version if row else 0
    if version != edit.version:
        conflict = await _describe_conflict(tables, edit, since)
        raise LostEditError(
            f'{edit.table} {edit.key} is at version {version}, you started '
            f'from {edit.version}: {conflict}',
            step='edit',
        )


async def commit_edit(tables: Tables, clock: Clock, edit: Edit) -> int:
    """Commit `edit` and return its generation.

    Explanation
    -----------
    One transaction increments the counter, writes the row and logs the
    change, provided that the row still has the version that was edited.
    If the outcome is unknown, the change is looked up by its token.  The
    retry expects the same counter, so that only one of them can succeed.

    Returns
    -------
    int
        The new generation.

    Raises
    ------
    LostEditError
        If another operator changed the row first; names author and change.
    EditUnknownError
        If the table service did not confirm or reject the edit.
    PlatformError
        If the edit did not take effect.

    """
    token = secrets.token_hex(_TOKEN_BYTES)
    start_number = None
    for _ in range(_COMMIT_TRIES_MAX):
        counter = await tables.read(COUNTER_TABLE, COUNTER_KEY)
        number = int(counter.content['number']) if counter else 0
        start_number = number if start_number is None else start_number
        change = Change(
            number + 1, edit.table, edit.key, edit.content, edit.author, token
        )
        checks, writes = _build_transaction(edit, counter, change)
        try:
            await tables.transact(checks, writes)
        except (ConflictError, UnknownOutcomeError):
            generation = await _read_back(tables, clock, change)
            if generation is not None:
                return generation
            await _require_version(tables, edit, start_number)
        else:
            return change.generation
    raise PlatformError(
        'too many edits at once; try again', step='edit configuration'
    )
