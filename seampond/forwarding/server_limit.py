"""Rate limits that servers report, and this gateway's permits under them."""

from dataclasses import dataclass, field

# How long a permit can be used after it becomes valid; the sum over all
# gateways tolerates requests that are late by so much.
_PERMIT_MS = 500
# Allowance after that for opening a connection.
_SEND_MS = 300
# After this a limit may have been lifted without a gateway having noticed.
_STALE_AFTER_MS = 1000


@dataclass(frozen=True, slots=True)
class Permit:
    """Permission to send one request to a server with a limit.

    Parameters
    ----------
    valid_from_ms, valid_until_ms : int
        When the permit can be acquired.

    """

    valid_from_ms: int
    valid_until_ms: int

    def is_valid(self, now_ms: int) -> bool:
        """Return True if the permit can be acquired now."""
        return self.valid_from_ms <= now_ms < self.valid_until_ms

    def may_send(self, now_ms: int) -> bool:
        """Return True if a request that holds the permit may still be sent."""
        return now_ms < self.valid_until_ms + _SEND_MS


@dataclass(slots=True)
class ServerLimit:
    """The rate limit of one server incarnation and the permits held for it.

    Parameters
    ----------
    rate : float or None
        Requests per second that the server accepts from all gateways
        together, None without a limit.
    reported_ms : int or None
        When the request was sent whose response carried the report, None if
        the server has never reported a limit.
    permits : list[Permit]
        Permits that no request has acquired yet.
    requested_ms : int or None
        When the pending permit request was sent, None if none is pending.
    resend_at_ms, reply_due_ms : int
        When the pending request is sent again, and when it times out.
    request_number : int
        Number of the latest permit request.
    is_for_retry : bool
        Whether that request was for a caller's retry.
    available_ms, retry_available_ms : int
        No further permit is expected before this time, for a first try and
        for a caller's retry.
    next_probe_ms : int
        No permit is requested before this time merely to learn whether the
        limit still applies.
    reservations_full_until_ms : int
        No permit can be reserved before this time.

    """

    rate: float | None = None
    reported_ms: int | None = None
    permits: list[Permit] = field(default_factory=list)
    requested_ms: int | None = None
    resend_at_ms: int = 0
    reply_due_ms: int = 0
    request_number: int = 0
    is_for_retry: bool = False
    available_ms: int = 0
    retry_available_ms: int = 0
    next_probe_ms: int = 0
    reservations_full_until_ms: int = 0

    @property
    def is_set(self) -> bool:
        """Whether the server has a limit."""
        return self.rate is not None

    def update(self, rate: float | None, reported_ms: int) -> bool:
        """Apply a report unless a newer one is known.

        Explanation
        -----------
        Reports are ordered by when their requests were sent, since responses
        may overtake each other.  Of two equally old reports the one with a
        limit wins.

        Returns
        -------
        bool
            True if the limit has changed.

        """
        if self.reported_ms is None:
            if rate is None:
                return False
        elif reported_ms < self.reported_ms:
            return False
        elif rate is None and reported_ms == self.reported_ms:
            return False
        has_changed = rate != self.rate
        self.rate = rate
        self.reported_ms = reported_ms
        if has_changed:
            self.available_ms = 0
            self.retry_available_ms = 0
            self.reservations_full_until_ms = 0
        if rate is None:
            self.permits.clear()
            self.requested_ms = None
        return has_changed

    def record_refusal(self, until_ms: int) -> None:
        """Record until when permits of the requested kind are unavailable."""
        if self.is_for_retry:
            self.retry_available_ms = until_ms
        else:
            self.available_ms = until_ms

    def is_stale(self, now_ms: int) -> bool:
        """Return True if the latest report may no longer apply."""
        reported_ms = self.reported_ms
        return (
            reported_ms is not None and now_ms - reported_ms >= _STALE_AFTER_MS
        )

    def has_permit(self, now_ms: int) -> bool:
        """Return True if a permit can be acquired now."""
        return any(permit.is_valid(now_ms) for permit in self.permits)

    def add_permit(self, now_ms: int, requested_ms: int, wait_ms: int) -> None:
        """Add a permit that becomes valid after a wait.

        Parameters
        ----------
        requested_ms : int
            When the permit was requested.  Its expiry counts from here,
            since the issuer granted it before the reply arrived.

        """
        until_ms = requested_ms + wait_ms + _PERMIT_MS
        self.permits.append(Permit(now_ms + wait_ms, until_ms))

    def acquire_permit(self, now_ms: int) -> Permit | None:
        """Remove and return the valid permit that expires first, if any."""
        self.discard_expired(now_ms)
        valid = [permit for permit in self.permits if permit.is_valid(now_ms)]
        if not valid:
            return None
        first = min(valid, key=lambda permit: permit.valid_until_ms)
        self.permits.remove(first)
        return first

    def discard_expired(self, now_ms: int) -> None:
        """Discard permits that have expired."""
        self.permits = [
            permit for permit in self.permits if now_ms < permit.valid_until_ms
        ]

    def next_event_ms(self, now_ms: int) -> int | None:
        """Return when a permit becomes valid or a reply falls due, if ever."""
        times = [permit.valid_from_ms for permit in self.permits]
        if self.requested_ms is not None:
            times.extend((self.resend_at_ms, self.reply_due_ms))
        return min(
            (time_ms for time_ms in times if time_ms > now_ms), default=None
        )

    def count_expected(self, now_ms: int) -> int:
        """Count unexpired permits, and the pending request as one more."""
        unexpired = sum(
            now_ms < permit.valid_until_ms for permit in self.permits
        )
        return unexpired + (self.requested_ms is not None)
