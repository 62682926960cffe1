"""Following of the configuration by changes or snapshots."""

import logging
import random
from collections.abc import Callable

from seampond.backing.tables import Row, Tables
from seampond.clock import Clock
from seampond.errors import PlatformError
from seampond.promises import Promises, Rule
from seampond.templates.configuration import (
    CHANGES,
    COUNTER_KEY,
    COUNTER_TABLE,
    FIRST_KEY,
    LAST_KEY,
    TEMPLATES,
    WORKSPACES,
    Configuration,
    apply_changes,
    change_key,
    parse_change,
    parse_row,
)
from seampond.templates.models import Template, Workspace

PAGE_ROWS = 500
_JITTER = 0.2
_logger = logging.getLogger(__name__)


class ConfigurationHolder:
    """Holds the current configuration, whose generation never decreases."""

    def __init__(
        self, promises: Promises, on_change: Callable[[int], None]
    ) -> None:
        """Start with generation 0, the empty configuration."""
        self._promises = promises
        self._on_change = on_change
        self._current = Configuration()

    @property
    def current(self) -> Configuration:
        """The current configuration."""
        return self._current

    def take(self, newer: Configuration) -> None:
        """Make `newer` the current configuration if it is newer.

        Raises
        ------
        PromiseError
            If it is older than the current configuration.

        """
        if newer is self._current:
            return
        self._promises.check(
            Rule.generation_upwards,
            newer.generation >= self._current.generation,
            step='take configuration',
        )
        if newer.generation == self._current.generation:
            return
        self._current = newer
        self._on_change(newer.generation)
        _logger.info(
            'configuration in force', extra={'generation': newer.generation}
        )


async def _scan_all(tables: Tables, table: str) -> list[Row]:
    rows: list[Row] = []
    start = FIRST_KEY
    while True:
        page = await tables.scan(table, start, LAST_KEY, PAGE_ROWS)
        rows.extend(page)
        if len(page) < PAGE_ROWS:
            return rows
        last_key = page[-1].key
        start = f'{last_key}\0'


async def read_generation(tables: Tables) -> int:
    """Return the newest generation; 0 if there is none."""
    row = await tables.read(COUNTER_TABLE, COUNTER_KEY)
    return int(row.content['number']) if row else 0


async def read_snapshot(tables: Tables) -> Configuration:
    """Read the whole configuration, page by page.

    Explanation
    -----------
    The counter is read first, so rows may be newer than the generation.
    The next :func:`read_changes` applies the changes since that generation
    again, which makes all rows consistent.

    Raises
    ------
    PlatformError
        If the table service fails.

    """
    generation = await read_generation(tables)
    templates = await _scan_all(tables, TEMPLATES)
    workspaces = await _scan_all(tables, WORKSPACES)
    return Configuration(
        generation,
        {
            row.key: parse_row(Template, row.table, row.key, row.content)
            for row in templates
        },
        {
            row.key: parse_row(Workspace, row.table, row.key, row.content)
            for row in workspaces
        },
    )


async def read_changes(
    tables: Tables, configuration: Configuration
) -> Configuration:
    """Return the newest configuration, starting from `configuration`.

    Explanation
    -----------
    Reads the changes since that generation, as the name service in [1]_
    does, or a snapshot if the log no longer holds them.

    References
    ----------
    .. [1] "HA Databases & Internal DNS", section "The per-node resolver":
       a reader sends the generation it applied last and gets a difference.

    """
    if configuration.generation == 0:
        configuration = await read_snapshot(tables)
    while True:
        start = change_key(configuration.generation + 1)
        rows = await tables.scan(CHANGES, start, LAST_KEY, PAGE_ROWS)
        if not rows:
            return configuration
        if rows[0].key != start:
            configuration = await read_snapshot(tables)
            continue
        changes = [parse_change(row.content) for row in rows]
        configuration = apply_changes(configuration, changes)


async def follow_configuration(
    tables: Tables, holder: ConfigurationHolder, clock: Clock, poll_ms: int
) -> None:
    """Keep `holder` up to date until cancelled.

    Explanation
    -----------
    Polls with jitter, so that entries do not call the service at the same
    time.  The current configuration stays while the service is down.
    """
    was_down = False
    while True:
        try:
            holder.take(await read_changes(tables, holder.current))
        except PlatformError as error:
            if not was_down:
                _logger.warning(
                    'configuration cannot be read', extra={'error': str(error)}
                )
            was_down = True
        else:
            was_down = False
        factor = random.uniform(1 - _JITTER, 1 + _JITTER)
        await clock.sleep(poll_ms * factor)
