"""How fresh the local copy of a table is, as proved by answers of the store."""

import asyncio
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

from seampond.clock import MS_PER_SECOND, Clock
from seampond.watches.rows import Page, era_of, make_version
from seampond.watches.store_clock import StoreClock

# Covers the proofs received in about two seconds: four followers send 13 a
# second at the regular interval.
_MAX_PENDING_PROOFS = 32


@dataclass(frozen=True, slots=True)
class FreshnessProof:
    """Newest change of a table at one moment of the store.

    Parameters
    ----------
    latest_change : int
        Version of the table's newest change at that moment.
    store_ms : int
        The moment by the store's monotonic clock.

    """

    latest_change: int
    store_ms: int


class TableFreshness:
    """Tracks when the local copy of a table was last proved to be complete.

    Explanation
    -----------
    A copy that has all changes up to the newest one that another process saw
    at some moment was complete at that moment.  So the answer to one process
    serves as a proof for all.  A proof of a change that is missing locally
    shows that the local feed is late or dead.

    Parameters
    ----------
    on_proof : Callable[[int], None]
        Called with the latest local time at which the copy was complete.

    Attributes
    ----------
    version : int
        Version up to which all changes are held.
    proof : FreshnessProof or None
        Newest proof, as sent to other processes.
    proved_ms : int
        Latest local time at which the copy was complete.
    proof_updated_ms : int
        Local time of the last change of `proof`.
    failed_ms : int
        Local time at which a call for the table last failed, 0 for never.

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
    538

    """

    def __init__(
        self,
        clock: Clock,
        store_clock: StoreClock,
        on_proof: Callable[[int], None],
    ) -> None:
        """Start with an empty copy."""
        self.version = 0
        self.proof: FreshnessProof | None = None
        self.proved_ms = 0
        self.proof_updated_ms = 0
        self.failed_ms = 0
        self._store_clock = store_clock
        self._clock = clock
        self._on_proof = on_proof
        self._latest_change = 0
        # Newest change that is reported by others but not held, 0 for none.
        self._missing_version = 0
        self._behind_since_ms = 0
        self._behind_event = asyncio.Event()
        # Earliest local time of a requested proof, 0 for none.
        self._requested_ms = 0
        self._request_event = asyncio.Event()
        # Proofs of changes that are not held yet, the latest last.
        self._pending_proofs: deque[FreshnessProof] = deque(
            maxlen=_MAX_PENDING_PROOFS
        )

    @property
    def is_behind(self) -> bool:
        """Whether a change is known to be missing."""
        return bool(self._missing_version)

    @property
    def known_version(self) -> int:
        """Newest version that is held or known to be missing."""
        return max(self.version, self._missing_version)

    @property
    def behind_ms(self) -> int:
        """How long a change has been known to be missing, 0 for none."""
        return (
            self._clock.now() - self._behind_since_ms
            if self._missing_version
            else 0
        )

    def check(self, page: Page) -> None:
        """Check that an answer belongs to its call and update the store clock.

        Raises
        ------
        PlatformError
            If the answer belongs to an earlier call.

        """
        self._store_clock.update(page)

    def transfer_ms(self, page: Page) -> int:
        """Return an upper estimate of the transfer time of an answer."""
        return page.received_ms - self._store_clock.to_local_ms(page.store_ms)

    def apply_page(self, page: Page) -> bool:
        """Record that the rows of an answer are held.

        Returns
        -------
        bool
            Whether this proves the copy complete, by the answer itself or by
            proofs received in the meantime.

        """
        self.version = max(self.version, page.version)
        changes = (row.version for row in page.rows)
        # The era tells which clock of the store a proof refers to.
        era_start = make_version(era_of(page.version), 0)
        self._latest_change = max(self._latest_change, era_start, *changes)
        if self.version >= self._missing_version:
            self._missing_version = 0
            self._behind_event.clear()
        # A snapshot may be some seconds old; the answer of a feed is not.
        if not page.is_snapshot:
            proof = FreshnessProof(self._latest_change, page.store_ms)
            self._prove(proof, page.sent_ms)
            return True
        self._update_proof()
        return self._apply_pending_proofs()

    def apply_proof(self, proof: FreshnessProof) -> None:
        """Apply the proof of another process."""
        if not self.version:
            return
        if self._is_of_earlier_era(proof):
            return
        if proof.latest_change <= self.version:
            # Deletions do not show in snapshots but do in proofs of others.
            self._latest_change = max(self._latest_change, proof.latest_change)
            self._prove(proof)
            return
        if not self._missing_version:
            self._behind_since_ms = self._clock.now()
        self._missing_version = max(self._missing_version, proof.latest_change)
        self._pending_proofs.append(proof)
        self._behind_event.set()

    def next_probe_ms(self, max_age_ms: int, max_behind_ms: int) -> int:
        """Return the local time at which to probe the store.

        Parameters
        ----------
        max_age_ms : int
            Maximum age of a proof.
        max_behind_ms : int
            Maximum time for which a known change may be missing.

        """
        if self._missing_version:
            return self._behind_since_ms + max_behind_ms
        return self.proved_ms + max_age_ms

    def request_proof(self, at_ms: int) -> None:
        """Request a proof that the copy was complete at a local time."""
        if self.proved_ms >= at_ms:
            return
        self._requested_ms = min(self._requested_ms or at_ms, at_ms)
        self._request_event.set()

    async def wait_for_request(self) -> int:
        """Wait until a proof is requested; return for which time."""
        await self._request_event.wait()
        self._request_event.clear()
        requested_ms = self._requested_ms
        self._requested_ms = 0
        return requested_ms

    async def wait_until_behind(self, timeout_ms: int) -> None:
        """Wait up to `timeout_ms` until a change is known to be missing."""
        if self._missing_version:
            await self._clock.sleep(timeout_ms)
            return
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_ms / MS_PER_SECOND):
                await self._behind_event.wait()

    def _update_proof(self) -> None:
        """Raise the latest change of the proof to the one of a snapshot.

        Explanation
        -----------
        The proof keeps its time, but processes that lack the change learn of
        it and probe the store.
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
        """Apply the pending proofs whose changes are held by now.

        Explanation
        -----------
        While rows change often, the copy always lags behind the latest proof,
        but still confirms earlier ones.
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

    def _is_of_earlier_era(self, proof: FreshnessProof) -> bool:
        """Return True if a proof is from before a restore of the store.

        Explanation
        -----------
        Its changes may be lost, and its time is by another clock.
        """
        era = max(era_of(self.version), self._store_clock.era)
        return era_of(proof.latest_change) < era

    def _prove(self, proof: FreshnessProof, sent_ms: int = 0) -> None:
        """Record a proof.

        Parameters
        ----------
        sent_ms : int
            Local time after which the proof was given, as far as known.

        """
        if self._is_of_earlier_era(proof):
            return
        if self.proof is not None and _order(proof) <= _order(self.proof):
            return
        self.proof = proof
        self.proof_updated_ms = self._clock.now()
        proved_ms = self._store_clock.to_local_ms(proof.store_ms)
        proved_ms = max(proved_ms, sent_ms)
        self.proved_ms = max(self.proved_ms, proved_ms)
        self._on_proof(proved_ms)


def _order(proof: FreshnessProof) -> tuple[int, int]:
    """Return the key by which proofs are ordered in time."""
    return era_of(proof.latest_change), proof.store_ms
