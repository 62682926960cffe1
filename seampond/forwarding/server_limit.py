"""The limit that a server names, and our permits to send to it."""

from dataclasses import dataclass, field

# How long after it holds a permit may be taken up; the sum over gateways bears
# what is late by so much.
_PERMIT_MS = 500
# How much later the request may go out: a connection may have to be made.
_SEND_MS = 300
# A word so old may have been taken back, and nobody has heard it yet.
_WORD_AGE_MS = 1000


@dataclass(frozen=True, slots=True)
class Permit:
    """Leave to send one request.

    Parameters
    ----------
    from_ms, until_ms : int
        When it may be taken up.

    """

    from_ms: int
    until_ms: int

    def holds(self, now_ms: int) -> bool:
        """Whether it may be taken up now."""
        return self.from_ms <= now_ms < self.until_ms

    def may_send(self, now_ms: int) -> bool:
        """Whether a request that has taken it up may still go out."""
        return now_ms < self.until_ms + _SEND_MS


@dataclass(slots=True)
class ServerLimit:
    """What one life of a server takes, and what we may send of it.

    Parameters
    ----------
    rate : float or None
        The requests a second that it takes from all gateways together.
    reported_ms : int or None
        When the request was sent whose answer said so, None if it has never
        named a limit.
    permits : list[Permit]
        Those that nobody has taken up yet.
    requested_ms : int or None
        Since when we wait for an answer to our asking for one.
    resend_at_ms, reply_due_ms : int
        When we ask once more, and when we wait for the answer no longer.
    request_number : int
        Of the latest time that we asked.
    is_for_retry : bool
        Whether we asked for a caller that was told to come back.
    available_ms, retry_available_ms : int
        Before this there is no other permit for us, as far as we know; for a
        caller that was told to come back.
    next_probe_ms : int
        Before this we do not ask only to hear whether the limit holds on.
    reservations_full_until_ms : int
        Before this no time to come back can be reserved.

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
        """Whether there is a limit."""
        return self.rate is not None

    def update(self, rate: float | None, reported_ms: int) -> bool:
        """Take what an answer says; tell whether it is another limit.

        Explanation
        -----------
        An answer to an older request is no newer word.  Of two as old as
        each other the one with a limit counts.
        """
        if self.reported_ms is None:
            if rate is None:
                return False
        elif reported_ms < self.reported_ms:
            return False
        elif rate is None and reported_ms == self.reported_ms:
            return False
        is_other = rate != self.rate
        self.rate = rate
        self.reported_ms = reported_ms
        if is_other:
            self.available_ms = 0
            self.retry_available_ms = 0
            self.reservations_full_until_ms = 0
        if rate is None:
            self.permits.clear()
            self.requested_ms = None
        return is_other

    def record_refusal(self, until_ms: int) -> None:
        """Note until when we get no permit like the one that we asked for."""
        if self.is_for_retry:
            self.retry_available_ms = until_ms
        else:
            self.available_ms = until_ms

    def is_stale(self, now_ms: int) -> bool:
        """Whether the last word is so old that it may not hold any more."""
        reported_ms = self.reported_ms
        return reported_ms is not None and now_ms - reported_ms >= _WORD_AGE_MS

    def has_permit(self, now_ms: int) -> bool:
        """Whether a request may be sent now."""
        return any(permit.holds(now_ms) for permit in self.permits)

    def add_permit(self, now_ms: int, requested_ms: int, wait_ms: int) -> None:
        """Keep a permit that holds after a wait.

        Parameters
        ----------
        requested_ms : int
            When we asked, which was before it was given.

        """
        until_ms = requested_ms + wait_ms + _PERMIT_MS
        self.permits.append(Permit(now_ms + wait_ms, until_ms))

    def acquire_permit(self, now_ms: int) -> Permit | None:
        """Take up the permit that ends first, if there is one."""
        self.discard_expired(now_ms)
        held = [permit for permit in self.permits if permit.holds(now_ms)]
        if not held:
            return None
        first = min(held, key=lambda permit: permit.until_ms)
        self.permits.remove(first)
        return first

    def discard_expired(self, now_ms: int) -> None:
        """Forget permits that have ended."""
        self.permits = [
            permit for permit in self.permits if now_ms < permit.until_ms
        ]

    def next_event_ms(self, now_ms: int) -> int | None:
        """Give when a permit holds next, or an answer is overdue."""
        times = [permit.from_ms for permit in self.permits]
        if self.requested_ms is not None:
            times.extend((self.resend_at_ms, self.reply_due_ms))
        return min((one for one in times if one > now_ms), default=None)

    def count_expected(self, now_ms: int) -> int:
        """Count the permits that hold now or later, and that are asked for."""
        held = sum(now_ms < permit.until_ms for permit in self.permits)
        return held + (self.requested_ms is not None)
