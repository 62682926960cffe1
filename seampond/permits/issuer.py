"""Grants of permits for the limits that this gateway owns."""

from dataclasses import replace

from seampond.clock import Clock
from seampond.forwarding.server_limit import ServerLimit
from seampond.permits.messages import PermitReply, PermitRequest
from seampond.permits.owners import LimitOwners
from seampond.permits.token_buckets import TokenBuckets

# How long replies are kept to answer resent requests.
_REPLY_CACHE_MS = 1000


class PermitIssuer:
    """Grants permits to this gateway and to those that request them.

    Explanation
    -----------
    A request is resent if its reply was lost.  It then gets the same reply,
    so that it does not consume a second permit or reservation.
    """

    def __init__(self, owners: LimitOwners, clock: Clock) -> None:
        """Start without buckets."""
        self._owners = owners
        self._clock = clock
        self._buckets = TokenBuckets(clock)
        # By sender and request number: when it was answered, and the reply.
        self._replies: dict[tuple[str, int], tuple[int, PermitReply]] = {}

    def open_bucket(self, key: int, limit: ServerLimit) -> None:
        """Start to collect tokens for a limit before the first request."""
        self._buckets.open_bucket(key, self._owners.owned_rate(limit.rate))

    def has_permit(
        self, key: int, limit: ServerLimit, *, for_retry: bool
    ) -> bool:
        """Return True if a permit can be granted without a wait."""
        rate = self._owners.owned_rate(limit.rate)
        return not self._buckets.wait_ms(key, rate, for_retry=for_retry)

    def available_ms(
        self, key: int, limit: ServerLimit, *, for_retry: bool
    ) -> int:
        """Return the earliest time at which a permit may be available."""
        rate = self._owners.owned_rate(limit.rate)
        now_ms = self._clock.now()
        return now_ms + self._buckets.available_ms(
            key, rate, for_retry=for_retry
        )

    def grant(
        self, key: int, limit: ServerLimit, max_wait_ms: int, *, for_retry: bool
    ) -> int | None:
        """Grant this gateway a permit; return the wait, None if too long."""
        rate = self._owners.owned_rate(limit.rate)
        return self._buckets.grant(key, rate, max_wait_ms, for_retry=for_retry)

    def reserve(self, key: int, limit: ServerLimit) -> int:
        """Reserve a permit; return the milliseconds until the retry."""
        return self._buckets.reserve(key, self._owners.owned_rate(limit.rate))

    def answer(
        self, request: PermitRequest, refusal: PermitReply, rate: float
    ) -> PermitReply:
        """Return the reply to a request.

        Parameters
        ----------
        refusal : PermitReply
            The reply of a gateway that does not own the limit.
        rate : float
            Requests per second that the server accepts.

        """
        now_ms = self._clock.now()
        cached = self._replies.get((request.name, request.number))
        if cached is not None:
            answered_ms, reply = cached
            wait_ms = max(0, reply.wait_ms - (now_ms - answered_ms))
            return replace(reply, wait_ms=wait_ms)
        reply = self._decide(request, refusal, self._owners.owned_rate(rate))
        self._replies[request.name, request.number] = (now_ms, reply)
        return reply

    def expire(self) -> None:
        """Drop buckets that other gateways own, and old replies."""
        self._buckets.retain(self._owners.is_local)
        oldest_ms = self._clock.now() - _REPLY_CACHE_MS
        self._replies = {
            request_id: (answered_ms, reply)
            for request_id, (answered_ms, reply) in self._replies.items()
            if answered_ms >= oldest_ms
        }

    def _decide(
        self, request: PermitRequest, refusal: PermitReply, rate: float
    ) -> PermitReply:
        buckets, key = self._buckets, request.incarnation
        if request.is_reservation:
            return replace(refusal, retry_after_ms=buckets.reserve(key, rate))
        wait_ms = buckets.grant(
            key, rate, request.max_wait_ms, for_retry=request.for_retry
        )
        if wait_ms is not None:
            return replace(refusal, is_granted=True, wait_ms=wait_ms)
        available_ms = buckets.available_ms(
            key, rate, for_retry=request.for_retry
        )
        return replace(refusal, wait_ms=available_ms)
