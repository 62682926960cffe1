"""Reading a table over a second connection if the first does not answer."""

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, Protocol

from seampond.clock import MS_PER_SECOND
from seampond.errors import PlatformError
from seampond.tasks import cancel_all
from seampond.watches.rows import (
    HistoryGoneError,
    LongChangesError,
    Page,
    TableSource,
)

# Leaves the rest of the deadline to the age of a proof and to the answer.
_DELAY_PART = 0.125
# Errors that are answers of the store, unlike lost or refused calls.
_ANSWERS = (HistoryGoneError, LongChangesError)


class AnsweringSource(TableSource, Protocol):
    """Table that tells whether the answer to its latest call has begun."""

    @property
    def is_answering(self) -> bool:
        """Whether the answer to the latest call has begun."""


_Read = Callable[[AnsweringSource], Coroutine[Any, Any, Page]]


class HedgedSource:
    """Table that is read again, over a spare connection, if a call is lost.

    Explanation
    -----------
    A connection that died without a reset looks like a slow store until its
    call times out, which takes a large part of a short deadline.  A call that
    does not wait and has no answer within a part of the deadline is therefore
    made again while the first goes on.

    A store that is slow for all processes must not get twice the calls: after
    a second call that is not answered in time either, there is none until a
    call is answered in time.

    Parameters
    ----------
    source, spare : AnsweringSource
        The same table on two connections.
    deadline_ms : Callable[[], int]
        Time within which a change must be held.
    count_hedge : Callable[[], None]
        Counts a call that is made again.

    """

    def __init__(
        self,
        source: AnsweringSource,
        spare: AnsweringSource,
        deadline_ms: Callable[[], int],
        count_hedge: Callable[[], None],
    ) -> None:
        """Start with a store that is not known to be slow."""
        self.name = source.name
        self.max_changes_bytes: int | None = None
        self._source = source
        self._spare = spare
        self._deadline_ms = deadline_ms
        self._count_hedge = count_hedge
        self._is_slow = False

    async def read_all(self) -> Page:
        """Read all rows."""
        return await self._read(lambda source: source.read_all())

    async def read_changes(self, since: int, wait_ms: int) -> Page:
        """Wait up to `wait_ms` for changes; hedged if it is 0."""

        def read(source: AnsweringSource) -> Coroutine[Any, Any, Page]:
            source.max_changes_bytes = self.max_changes_bytes
            return source.read_changes(since, wait_ms)

        if wait_ms:
            return await read(self._source)
        return await self._read(read)

    async def _read(self, read: _Read) -> Page:
        """Make a call, and again on the spare connection if it is late."""
        calls: list[asyncio.Task[Page]] = []
        try:
            return await self._race(read, calls)
        finally:
            await cancel_all(calls)

    async def _race(
        self, read: _Read, calls: list['asyncio.Task[Page]']
    ) -> Page:
        """Return the first answer to the calls that are made and listed."""
        calls.append(asyncio.create_task(read(self._source)))
        is_in_time = await self._wait_for_answer(self._source, calls)
        if not is_in_time and not self._is_slow:
            self._count_hedge()
            calls.append(asyncio.create_task(read(self._spare)))
            is_in_time = await self._wait_for_answer(self._spare, calls)
        self._is_slow = not is_in_time
        return await _take_first_answer(calls)

    async def _wait_for_answer(
        self, source: AnsweringSource, calls: Sequence['asyncio.Task[Page]']
    ) -> bool:
        """Wait for the delay; return whether the last call is answered.

        Parameters
        ----------
        source : AnsweringSource
            The connection of the last call.

        """
        delay_ms = self._deadline_ms() * _DELAY_PART
        await asyncio.wait(
            calls,
            timeout=delay_ms / MS_PER_SECOND,
            return_when=asyncio.FIRST_COMPLETED,
        )
        return calls[-1].done() or source.is_answering


async def _take_first_answer(calls: Sequence['asyncio.Task[Page]']) -> Page:
    """Return the first answer of the store.

    Raises
    ------
    PlatformError
        If no call was answered, or the answer is an error.

    """
    pending = set(calls)
    while True:
        done, pending = await asyncio.wait(
            pending, return_when=asyncio.FIRST_COMPLETED
        )
        answered = [call for call in done if _is_answered(call)]
        if answered or not pending:
            return (answered or list(done))[0].result()


def _is_answered(call: 'asyncio.Task[Page]') -> bool:
    error = call.exception()
    return not isinstance(error, PlatformError) or isinstance(error, _ANSWERS)
