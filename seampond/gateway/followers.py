"""Configuration and servers, kept up to date from watched tables."""

import logging
from collections.abc import Callable, Iterable

from seampond.clock import Clock
from seampond.errors import PlatformError
from seampond.forwarding.admission import ConfigurationState
from seampond.forwarding.backends import Backends
from seampond.forwarding.scheduler import Scheduler
from seampond.forwarding.server import Server
from seampond.metrics.gateway import GatewayMetrics
from seampond.platform import parse_configuration, parse_server
from seampond.platform.names import CONFIGURATION_KEY
from seampond.promises import Promises, Rule
from seampond.watches import Page, Row

# Bounds the memory of rows that were already logged as invalid.
_REFUSED_MAX = 256
_logger = logging.getLogger(__name__)


class ConfigurationFollower:
    """Applies each newer configuration, never an older one."""

    def __init__(
        self,
        state: ConfigurationState,
        promises: Promises,
        metrics: GatewayMetrics,
        clock: Clock,
    ) -> None:
        """Start without a configuration."""
        self._state = state
        self._promises = promises
        self._metrics = metrics
        self._clock = clock

    def handle_page(self, page: Page) -> None:
        """Apply an answer of the store."""
        for row in page.rows:
            if row.key == CONFIGURATION_KEY and not row.is_deleted:
                self._apply_row(row)

    def record_proof(self, proved_ms: int) -> None:
        """Record that the current configuration was the newest at a time."""
        if self._state.configuration is not None:
            before_ms = self._state.proved_ms or proved_ms
            self._state.proved_ms = max(before_ms, proved_ms)

    def _apply_row(self, row: Row) -> None:
        try:
            configuration = parse_configuration(row.content)
        except PlatformError:
            _logger.exception('invalid configuration ignored')
            return
        current = self._state.configuration
        version = current.version if current else 0
        if configuration.version <= version:
            return
        self._promises.check(
            Rule.generation_upwards,
            configuration.version > version,
            step='configuration',
        )
        self._state.configuration = configuration
        self._metrics.version.set(configuration.version)
        _logger.info(
            'configuration in force',
            extra={
                'version': configuration.version,
                'before': version,
                'routes': len(configuration.routes),
                'keys': len(configuration.keys),
                'proof_age_ms': self._state.proof_age_ms(self._clock.now()),
            },
        )


def _ignore_servers(servers: Iterable[Server]) -> None:
    """Ignore the servers."""


def _ignore_missed_changes() -> None:
    """Do nothing."""


class ServerFollower:
    """Keeps the backends in line with the list of servers.

    Attributes
    ----------
    on_change : Callable[[Iterable[Server]], None]
        Called with all servers after an answer of the store.
    on_missed_changes : Callable[[], None]
        Called when the list was read anew, without the changes before.

    """

    def __init__(self, backends: Backends, scheduler: Scheduler) -> None:
        """Start without a list."""
        self.is_loaded = False
        self.on_change: Callable[[Iterable[Server]], None] = _ignore_servers
        self.on_missed_changes: Callable[[], None] = _ignore_missed_changes
        self._backends = backends
        self._scheduler = scheduler
        self._refused: set[tuple[str, str]] = set()

    def handle_page(self, page: Page) -> None:
        """Apply an answer of the store."""
        servers: list[Server] = []
        removed: list[str] = []
        unreadable: list[str] = []
        # An answer may hold a row more than once; the last one counts.
        latest = {row.key: row for row in page.rows}
        for row in latest.values():
            if row.is_deleted:
                removed.append(row.key)
                continue
            try:
                servers.append(parse_server(row.key, row.content))
            except PlatformError as error:
                unreadable.append(row.key)
                self._log_refused(row.key, error)
        if page.is_snapshot:
            self._backends.replace_all(servers, unreadable)
        else:
            self._backends.update(servers, removed)
        self._backends.mark_unreadable(unreadable)
        if page.is_snapshot and self.is_loaded:
            self.on_missed_changes()
        self.is_loaded = True
        self.on_change(backend.server for backend in self._backends)
        self._scheduler.process_queues()

    def _log_refused(self, server_id: str, error: PlatformError) -> None:
        """Log an invalid row, once for each server and message."""
        refusal = (server_id, error.message)
        if refusal in self._refused:
            return
        if len(self._refused) >= _REFUSED_MAX:
            self._refused.clear()
        self._refused.add(refusal)
        _logger.error(
            'invalid server row ignored',
            extra={'server': server_id, 'reason': error.message},
        )
