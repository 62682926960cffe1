"""Storage of quarantine trials in the platform's store."""

import logging
from collections.abc import Mapping

import msgspec

from seampond.errors import PlatformError
from seampond.platform import names
from seampond.platform.rows import NonNegativeInt, decode_row
from seampond.platform.store import RowTransaction, StoreTable
from seampond.quarantine.fingerprints import format_fingerprint
from seampond.quarantine.models import TrialRow
from seampond.watches import Row

_HEX_BASE = 16
_logger = logging.getLogger(__name__)


class _Trial(msgspec.Struct, frozen=True):
    """The content of a row."""

    trials: NonNegativeInt
    at_ms: NonNegativeInt
    until_ms: NonNegativeInt | None = None
    incarnation: str = ''


class QuarantineTable:
    """The table of trials."""

    def __init__(self, table: StoreTable) -> None:
        """Wrap a table of the store."""
        self._table = table

    @property
    def era(self) -> int:
        """The store's era, 0 if unknown."""
        return self._table.era

    async def read_trials(self) -> Mapping[int, TrialRow]:
        """Read all rows; rows that cannot be parsed are logged and skipped."""
        page = await self._table.read_all()
        rows: dict[int, TrialRow] = {}
        for row in page.rows:
            try:
                rows[int(row.key, _HEX_BASE)] = _parse(row)
            except (PlatformError, ValueError) as error:
                _logger.warning(
                    'invalid trial row ignored',
                    extra={'key': row.key, 'reason': str(error)},
                )
        return rows

    async def write_trial(self, fingerprint: int, row: TrialRow) -> None:
        """Write a row if the stored one still has its version."""
        name = (names.QUARANTINE_TABLE, format_fingerprint(fingerprint))
        content = msgspec.json.encode(
            _Trial(
                row.trials,
                row.at_ms,
                row.until_ms,
                format_fingerprint(row.incarnation),
            )
        )
        await self._table.commit(
            RowTransaction({name: row.version}, {name: content})
        )

    async def drop_trial(self, fingerprint: int, version: int) -> None:
        """Remove a row if it still has this version."""
        await self._table.remove(format_fingerprint(fingerprint), version)


def _parse(row: Row) -> TrialRow:
    trial = decode_row(row.content, _Trial, step='quarantine', peer=row.key)
    return TrialRow(
        trial.trials,
        trial.at_ms,
        row.version,
        trial.until_ms,
        int(trial.incarnation or '0', _HEX_BASE),
    )
