"""Follow one table for as long as the process lives."""

import asyncio
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass

from seampond.clock import Clock
from seampond.errors import PlatformError
from seampond.watches.currency import Currency
from seampond.watches.rows import HistoryGoneError, Page, TableSource

_FIRST_PAUSE_MS = 100
_logger = logging.getLogger(__name__)


@dataclass
class Watch:
    """Keeps what we believe of one table near to what it holds.

    Parameters
    ----------
    probe_source : TableSource
        The same table, on connections of its own.
    take : Callable[[Page], None]
        Takes each answer in order; versions never go back.
    wait_ms : int
        How long the store holds a call while nothing changes.
    count_failure : Callable[[str], None]
        Counts a failed call by its step.
    currency : Currency
        What is held, and since when that is proved.
    pause_ms : int
        The longest pause between two calls that fail.
    pace_ms : int
        How long to wait after a change before the next are asked for, so
        that many at once come in one answer.

    """

    source: TableSource
    probe_source: TableSource
    take: Callable[[Page], None]
    wait_ms: int
    clock: Clock
    count_failure: Callable[[str], None]
    currency: Currency
    pause_ms: int = 600
    pace_ms: int = 0
    is_current: bool = False
    is_new: bool = False
    _call: asyncio.Timeout | None = None
    _is_suspect: bool = False
    _is_failing: bool = False

    async def run(self) -> None:
        """Follow the table; never ends by itself."""
        pause_ms = _FIRST_PAUSE_MS
        while True:
            try:
                is_fresh = await self._step()
                self._is_failing = False
            except HistoryGoneError:
                self._tell('history gone', 'read-changes')
                self.is_current = False
                continue
            except PlatformError as error:
                self.count_failure(error.step)
                self._is_failing = True
                if pause_ms == _FIRST_PAUSE_MS:
                    self._tell('store call failed', error.message)
                is_fresh = False
            if is_fresh:
                pause_ms = _FIRST_PAUSE_MS
                continue
            await self.clock.sleep(pause_ms * random.uniform(0.5, 1))
            pause_ms = min(self.pause_ms, pause_ms * 2)

    async def probe(self) -> bool:
        """Make one call beside the feed; tell whether its answer was taken.

        Explanation
        -----------
        Not while the feed fails and asks again by itself: each call is priced.
        """
        if self._is_failing or not self.is_current:
            return False
        try:
            page = await self.probe_source.read_changes(
                self.currency.version, 0
            )
            is_fresh = self._accept(page)
        except PlatformError as error:
            self.count_failure(error.step)
            # The feed's own call may hang as well, and longer.
            self._is_suspect = True
            return False
        if self._is_suspect:
            self._is_suspect = False
            self._give_call_up()
        return is_fresh

    async def _step(self) -> bool:
        """Make one call; tell whether its answer was fresh."""
        self._call = asyncio.timeout(None)
        try:
            async with self._call:
                page = await self._read()
        except TimeoutError as error:
            raise PlatformError('given up', step='read-changes') from error
        finally:
            self._call = None
        is_fresh = self._accept(page)
        if is_fresh and page.rows and not page.is_whole:
            await self.clock.sleep(self.pace_ms)
        return is_fresh

    async def _read(self) -> Page:
        if not self.is_current:
            return await self.source.read_all()
        # A read may be behind, and after an outage nothing is proved: what
        # follows is asked for at once.
        is_hurried = self.is_new or self._is_failing
        wait_ms = 0 if is_hurried else self.wait_ms
        return await self.source.read_changes(self.currency.version, wait_ms)

    def _give_call_up(self) -> None:
        """End the call that is under way, if there is any."""
        if self._call is not None:
            self._call.reschedule(asyncio.get_running_loop().time())

    def _accept(self, page: Page) -> bool:
        """Take an answer unless it is old; tell whether it was fresh."""
        self.currency.check(page)
        if page.version < self.currency.version:
            self._tell('stale answer', str(page.version))
            return False
        self.is_new = page.is_whole
        self.is_current = self._is_taken(page)
        if self.is_current:
            self.currency.take(page)
        return self.is_current

    def _is_taken(self, page: Page) -> bool:
        """Hand an answer on; a fault there must not end the watch."""
        try:
            self.take(page)
        except Exception:
            _logger.exception(
                'answer not taken',
                extra={'table': self.source.name, 'version': page.version},
            )
            return False
        return True

    def _tell(self, event: str, detail: str) -> None:
        _logger.warning(
            event,
            extra={
                'table': self.source.name,
                'version': self.currency.version,
                'detail': detail,
            },
        )
