"""Quotas over all gateways: one bucket for all, kept by what each spends."""

import math
import random
from collections.abc import Callable, Mapping

from seampond.clock import MS_PER_SECOND, Clock
from seampond.forwarding.models import Tenant
from seampond.sharing.bucket import Bucket, QuotaMargin
from seampond.sharing.fairness import Fairness
from seampond.sharing.grant_window import GrantWindow
from seampond.sharing.hashing import hash_name
from seampond.sharing.heartbeats import Heartbeat
from seampond.sharing.peers import Peers

# How far below zero the level may be for a request to be let in, and after.
_MIN_LEVEL_FRACTION = 0.1
_DEBT_FRACTION = 0.55
_LOW_LEVEL_FRACTION = 0.25
# Where all start at once nobody knows the levels, and an earlier life may have
# left a whole debt.  What a start gives beyond the flow, from zero down to a
# smaller debt, is less than what is left of the margin then; the whole debt
# is allowed once a window has passed, or once the levels were told.
_STARTUP_DEBT_FRACTION = 0.3
_URGENT_FRACTION = 0.04
_INTERVAL_FRACTION = 0.25
_MAX_WAIT_MS = 10_000


class Quotas:
    """The buckets of one gateway.

    Explanation
    -----------
    Every gateway keeps the one bucket of a tenant: it flows in at the
    tenant's rate, and out by what this gateway gives and what the others
    say they have given.  What they have not said yet is the error; it is
    paid back as soon as it is told, so it does not add up, and it is told
    at once where it grows.  While somebody is silent, those that hear each
    other give their equal parts together at the most, since the silent one may
    still be giving its own.
    Of the margin, a part flows in with the rate and may be a debt for a
    while, and the rest is left for what is not told in time; what was given
    in the last window is counted too, and bounds both.

    A gateway that starts takes the levels of one that has run for a window;
    where there is none, its buckets start empty and with a smaller debt, so
    that little is given twice.

    Parameters
    ----------
    margin : QuotaMargin
        What all gateways together may give beyond a tenant's quota.
    request_heartbeat : Callable[[], None]
        Called where the others should hear of us at once.

    """

    def __init__(
        self,
        peers: Peers,
        margin: QuotaMargin,
        clock: Clock,
        request_heartbeat: Callable[[], None],
        rng: random.Random,
    ) -> None:
        """Start with no buckets."""
        self._peers = peers
        self.margin = margin
        self._clock = clock
        self._request_heartbeat = request_heartbeat
        self._rng = rng
        self._started_ms = clock.now()
        # By key of the tenant, as in the heartbeats.
        self._buckets: dict[int, Bucket] = {}
        # What others gave before we had a bucket for it.
        self._early_grants: dict[int, float] = {}
        # The levels that an older gateway told us, and when.
        self._received_levels: dict[int, int] = {}
        self._levels_received_ms: int | None = None
        # By gateway and tenant: its incarnation and what it has given.
        self._last_reports: dict[tuple[str, int], tuple[int, float]] = {}

    @property
    def uptime_ms(self) -> int:
        """How long these buckets have been kept."""
        return self._clock.now() - self._started_ms

    def charge(
        self,
        tenant: Tenant,
        units: float,
        rank: int = 0,
        *,
        has_idle_slots: bool = True,
    ) -> int:
        """Take units from a tenant's bucket.

        Explanation
        -----------
        Where a tenant asks for more than its quota, small requests would
        empty the bucket before it holds enough for a large one.  So a
        request is let in by the level before it, whatever its size, and may
        leave a debt; of less urgent work only a part is let in while the
        bucket is low, and it leaves what urgent work has just lacked.

        Parameters
        ----------
        rank : int
            The urgency of the kind of work, 0 the highest.
        has_idle_slots : bool
            Whether servers have places that nobody else waits for; what flows
            in beyond the rate is given only then, or one tenant's excess
            would take the places of others.

        Returns
        -------
        int
            0, or the milliseconds until there may be enough.

        """
        bucket = self._refilled_bucket(tenant)
        level = bucket.level
        if not has_idle_slots:
            level = min(level, bucket.base_level)
        wait_ms = self._wait_ms(bucket, level, units, rank)
        bucket.fairness.record(rank, units, is_granted=not wait_ms)
        if wait_ms:
            return wait_ms
        bucket.spend(self._clock.now(), units)
        if self._is_urgent(bucket):
            self._request_heartbeat()
        return 0

    def refund(self, tenant: Tenant, units: float) -> None:
        """Give units back for a request that was not run."""
        bucket = self._buckets.get(hash_name(tenant.name))
        if bucket is not None:
            bucket.spend(self._clock.now(), -units)

    def spent_by_tenant(self) -> Mapping[int, float]:
        """Give what we have spent, by key of the tenant."""
        return {key: known.spent for key, known in self._buckets.items()}

    def record_sent(self) -> None:
        """Note that all others were sent what we have spent."""
        for bucket in self._buckets.values():
            bucket.reported = bucket.spent

    def levels_for_newcomers(self) -> Mapping[int, int]:
        """Give the level of each bucket, where a new gateway needs them."""
        if not self._has_fleet_levels or not self._peers.has_newcomer:
            return {}
        for bucket in self._buckets.values():
            self._refill(bucket)
        return {
            key: math.floor(known.level) for key, known in self._buckets.items()
        }

    def apply_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Take what another gateway says it has given, and its levels."""
        if heartbeat.levels and self.uptime_ms < self.margin.window_ms:
            self._apply_levels(heartbeat.levels)
        for tenant, units in heartbeat.spent.items():
            granted = self._record_report(heartbeat, tenant, units)
            if not granted:
                continue
            bucket = self._buckets.get(tenant)
            if bucket is None:
                self._early_grants[tenant] = (
                    self._early_grants.get(tenant, 0) + granted
                )
            else:
                self._refill(bucket)
                bucket.deduct(self._clock.now(), granted)

    @property
    def _has_fleet_levels(self) -> bool:
        """Whether our levels are those of all gateways."""
        is_old = self.uptime_ms >= self.margin.window_ms
        return is_old or self._levels_received_ms is not None

    def _is_urgent(self, bucket: Bucket) -> bool:
        """Whether the others should hear at once of what we have given.

        Explanation
        -----------
        Only where the bucket runs low; a full one bears what is told with
        the next heartbeat.  Where the reserve does not bear what all gateways
        give between two heartbeats, the less each may leave untold the more
        there are, since all of them may do so at the same time.
        """
        if bucket.has_ample_level(self._clock.now(), self.margin):
            return False
        unreported = bucket.spent - bucket.reported
        max_units = self.margin.units * _URGENT_FRACTION
        rate = self.margin.max_rate(bucket.tenant)
        interval_units = (
            rate * self._peers.heartbeat_interval_ms / MS_PER_SECOND
        )
        reserve = self.margin.reserve(bucket.tenant)
        if interval_units > reserve * _INTERVAL_FRACTION:
            max_units *= self._peers.sample_probability
        return unreported > max_units

    def _apply_levels(self, levels: Mapping[int, int]) -> None:
        """Go on from the levels of a gateway that knows them.

        Explanation
        -----------
        One that was frozen for a while has not heard what was given
        meanwhile, so the lowest that is told of each bucket counts.
        """
        if self._levels_received_ms is not None:
            for key, level in levels.items():
                self._lower_level(key, level)
            return
        self._received_levels = dict(levels)
        self._levels_received_ms = self._clock.now()
        self._early_grants.clear()
        for key, bucket in self._buckets.items():
            self._refill(bucket)
            # What we have given may be unknown there.
            bucket.level = levels.get(key, bucket.level) - bucket.spent

    def _lower_level(self, key: int, level: int) -> None:
        """Take another word on one level, if it is a lower one."""
        bucket = self._buckets.get(key)
        if bucket is None:
            self._received_levels[key] = min(
                self._received_levels.get(key, level), level
            )
            return
        self._refill(bucket)
        bucket.level = min(bucket.level, level)

    def _record_report(
        self, heartbeat: Heartbeat, tenant: int, units: float
    ) -> float:
        """Give what the other has given since we heard it last."""
        key = (heartbeat.name, tenant)
        known = self._last_reports.get(key)
        self._last_reports[key] = (heartbeat.incarnation, units)
        if known is None:
            # What it gave before we began counts for no bucket of ours.
            return units if heartbeat.uptime_ms <= self.uptime_ms else 0
        incarnation, before = known
        return units - before if incarnation == heartbeat.incarnation else units

    def _wait_ms(
        self, bucket: Bucket, level: float, units: float, rank: int
    ) -> int:
        """Give how long until there may be enough, 0 if there is now."""
        shortfall = self._shortfall(level, units, 1)
        reserved = bucket.fairness.reserved_above(rank)
        max_units = (
            bucket.tenant.burst + self.margin.units * self._debt_fraction
        )
        if 0 < reserved <= max_units:
            shortfall = max(
                shortfall, self._shortfall(level - units, reserved, 1)
            )
        if rank and level < bucket.tenant.burst * _LOW_LEVEL_FRACTION:
            if self._rng.random() > 1 / (1 + rank):
                shortfall = max(
                    shortfall, bucket.tenant.burst * _LOW_LEVEL_FRACTION - level
                )
        rate = self.margin.max_rate(bucket.tenant)
        now_ms = self._clock.now()
        shortfall = max(
            shortfall, units - bucket.remaining(now_ms, self.margin)
        )
        if not self._peers.all_reachable:
            reachable_fraction = self._peers.reachable_fraction
            shortfall = max(
                shortfall,
                self._shortfall(
                    bucket.partial_level, units, reachable_fraction
                ),
            )
            rate *= reachable_fraction
        if shortfall <= 0:
            return 0
        wait_ms = round(shortfall / max(1.0, rate) * MS_PER_SECOND) + 1
        return min(_MAX_WAIT_MS, wait_ms)

    def _shortfall(
        self, level: float, units: float, reachable_fraction: float
    ) -> float:
        """Give what a level lacks for a request, 0 or less for nothing."""
        margin = self.margin.units * reachable_fraction
        below = -margin * _MIN_LEVEL_FRACTION - level
        # What the bucket never holds is let in by its debt alone.
        debt = units - level - margin * self._debt_fraction
        return max(below, debt)

    @property
    def _debt_fraction(self) -> float:
        """The part of the margin's units that may be a debt just now."""
        return (
            _DEBT_FRACTION if self._has_fleet_levels else _STARTUP_DEBT_FRACTION
        )

    def _refilled_bucket(self, tenant: Tenant) -> Bucket:
        key = hash_name(tenant.name)
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._make_bucket(tenant)
            self._buckets[key] = bucket
        bucket.update_limits(tenant)
        self._refill(bucket)
        return bucket

    def _make_bucket(self, tenant: Tenant) -> Bucket:
        key = hash_name(tenant.name)
        level: float = 0
        filled_ms = self._started_ms
        if self._levels_received_ms is not None:
            level = self._received_levels.get(key, level)
            filled_ms = self._levels_received_ms
        level -= self._early_grants.pop(key, 0)
        return Bucket(
            tenant,
            filled_ms,
            Fairness(self._clock),
            GrantWindow(self.margin.window_ms),
            level,
            level,
            min(0, level),
            self._peers.reachable_fraction,
        )

    def _refill(self, bucket: Bucket) -> None:
        bucket.refill(
            self._clock.now(), self.margin, self._peers.reachable_fraction
        )
        if self._peers.all_reachable:
            # Should somebody fall silent, we go on from our part of this.
            bucket.partial_level = bucket.level
