"""How current a belief of a table is, proved by our own answers or others'."""

import asyncio
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

from seampond.clock import MS_PER_SECOND, Clock
from seampond.watches.rows import Page, era_of
from seampond.watches.store_clock import StoreClock

# Four gateways follow the store and tell a proof with each heartbeat, 13 a
# second at their usual pace: these are of the last two seconds.
_MAX_PENDING_PROOFS = 32


@dataclass(frozen=True, slots=True)
class FreshnessProof:
    """What was known of a table at one moment of the store.

    Parameters
    ----------
    latest_change : int
        The version of the table's newest change at that moment.
    store_ms : int
        The moment, by the store's steady clock.

    """

    latest_change: int
    store_ms: int


class TableFreshness:
    """Since when nothing has proved that we hold all of a table's changes.

    Explanation
    -----------
    Whoever holds all changes up to the newest that somebody else saw at some
    moment was current at that moment too.  So one process that asks the store
    proves it for all, by passing on its proof; and who hears of a change that
    it does not hold knows that its own feed is late or dead.

    Parameters
    ----------
    on_proof : Callable[[int], None]
        Told the latest moment of our clock at which we were current.
    version : int
        All changes up to here are held.

    Examples
    --------
    >>> clock = Clock(lambda: 600)
    >>> freshness = TableFreshness(clock, StoreClock(), lambda proved_ms: None)
    >>> page = Page((), 7, 5000, 500, 500, False)
    >>> freshness.check(page)
    >>> freshness.apply_page(page)
    True
    >>> freshness.apply_proof(FreshnessProof(latest_change=6, store_ms=5040))
    >>> freshness.proved_ms
    540

    """

    def __init__(
        self,
        clock: Clock,
        store_clock: StoreClock,
        on_proof: Callable[[int], None],
    ) -> None:
        """Start with nothing held."""
        self.version = 0
        self.proof: FreshnessProof | None = None
        self.proved_ms = 0
        # When there was last something to tell others.
        self.proof_updated_ms = 0
        self._store_clock = store_clock
        self._clock = clock
        self._on_proof = on_proof
        self._latest_change = 0
        # The newest change that we have heard of and do not hold.
        self._missing_version = 0
        self._behind_since_ms = 0
        self._behind_event = asyncio.Event()
        # Proofs of changes that we did not hold yet, the latest last.
        self._pending_proofs: deque[FreshnessProof] = deque(
            maxlen=_MAX_PENDING_PROOFS
        )

    @property
    def is_behind(self) -> bool:
        """Whether we have heard of a change that we do not hold."""
        return bool(self._missing_version)

    @property
    def behind_ms(self) -> int:
        """For how long we have known of a change that we do not hold."""
        return (
            self._clock.now() - self._behind_since_ms
            if self._missing_version
            else 0
        )

    def check(self, page: Page) -> None:
        """Check that an answer belongs to its call; learn from its times.

        Raises
        ------
        PlatformError
            If it was meant for an earlier call.

        """
        self._store_clock.update(page)

    def transfer_ms(self, page: Page) -> int:
        """Give how long an answer was on its way, a little too much."""
        return page.received_ms - self._store_clock.to_local_ms(page.store_ms)

    def apply_page(self, page: Page) -> bool:
        """Note an answer of the store that we hold now.

        Returns
        -------
        bool
            Whether anything proves what we hold: the answer itself, or what
            another process told while it was on its way.

        """
        self.version = max(self.version, page.version)
        changes = (row.version for row in page.rows)
        self._latest_change = max(self._latest_change, max(changes, default=0))
        if self.version >= self._missing_version:
            self._missing_version = 0
            self._behind_event.clear()
        # A whole read may be some seconds behind; a change feed is not.
        if not page.is_snapshot:
            self._prove(FreshnessProof(self._latest_change, page.store_ms))
            return True
        self._update_proof()
        return self._apply_pending_proofs()

    def apply_proof(self, proof: FreshnessProof) -> None:
        """Take what another process knows."""
        if not self.version:
            return
        if era_of(proof.latest_change) < era_of(self.version):
            # What was newest before a restore of the store may be lost.
            return
        if proof.latest_change <= self.version:
            # A whole read does not show what was removed: others may know.
            self._latest_change = max(self._latest_change, proof.latest_change)
            self._prove(proof)
            return
        if not self._missing_version:
            self._behind_since_ms = self._clock.now()
        self._missing_version = max(self._missing_version, proof.latest_change)
        self._pending_proofs.append(proof)
        self._behind_event.set()

    def next_probe_ms(self, max_age_ms: int, max_behind_ms: int) -> int:
        """Give when to ask the store.

        Parameters
        ----------
        max_age_ms : int
            How old a proof may be.
        max_behind_ms : int
            How long a change may be missing that we have heard of.

        """
        if self._missing_version:
            return self._behind_since_ms + max_behind_ms
        return self.proved_ms + max_age_ms

    async def wait_until_behind(self, timeout_ms: int) -> None:
        """Wait until a change is missing, for `timeout_ms` at the most."""
        if self._missing_version:
            await self._clock.sleep(timeout_ms)
            return
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_ms / MS_PER_SECOND):
                await self._behind_event.wait()

    def _update_proof(self) -> None:
        """Let others know of a change that a whole read has shown.

        Explanation
        -----------
        It proves no later moment, but what was newest at an earlier one is
        not newer than this change, and who lacks it has to ask.
        """
        if (
            self.proof is not None
            and self.proof.latest_change < self._latest_change
        ):
            self.proof = FreshnessProof(
                self._latest_change, self.proof.store_ms
            )
            self.proof_updated_ms = self._clock.now()

    def _apply_pending_proofs(self) -> bool:
        """Take the proofs that came before what they prove.

        Explanation
        -----------
        Rows that are written again and again are never held in the version
        that was told last; without these nothing would be proved meanwhile.
        """
        confirmed = [
            proof
            for proof in self._pending_proofs
            if proof.latest_change <= self.version
        ]
        for proof in confirmed:
            self._pending_proofs.remove(proof)
            self.apply_proof(proof)
        return bool(confirmed)

    def _prove(self, proof: FreshnessProof) -> None:
        if self.proof is not None and proof.store_ms <= self.proof.store_ms:
            return
        self.proof = proof
        self.proof_updated_ms = self._clock.now()
        proved_ms = self._store_clock.to_local_ms(proof.store_ms)
        self.proved_ms = max(self.proved_ms, proved_ms)
        self._on_proof(proved_ms)
