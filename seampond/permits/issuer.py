"""Giving permits of the limits that we own."""

from dataclasses import replace

from seampond.clock import Clock
from seampond.forwarding.server_limit import ServerLimit
from seampond.permits.messages import PermitReply, PermitRequest
from seampond.permits.owners import LimitOwners
from seampond.permits.token_buckets import TokenBuckets

# How long the answer to a question that comes twice is the same.
_ANSWER_MS = 1000


class PermitIssuer:
    """The buckets that we keep, for ourselves and for those that ask.

    Explanation
    -----------
    A question whose answer was lost is sent again; answered anew it would
    cost a second permit, and a caller that came back the one reserved for it.
    """

    def __init__(self, owners: LimitOwners, clock: Clock) -> None:
        """Start with empty buckets."""
        self._owners = owners
        self._clock = clock
        self._buckets = TokenBuckets(clock)
        self._answers: dict[tuple[str, int], tuple[int, PermitReply]] = {}

    def open_bucket(self, key: int, limit: ServerLimit) -> None:
        """Let permits of a limit gather before anybody asks."""
        self._buckets.open_bucket(key, self._owners.share(limit.rate))

    def has_permit(
        self, key: int, limit: ServerLimit, *, for_retry: bool
    ) -> bool:
        """Whether there is a permit now."""
        rate = self._owners.share(limit.rate)
        return not self._buckets.wait_ms(key, rate, for_retry=for_retry)

    def available_ms(
        self, key: int, limit: ServerLimit, *, for_retry: bool
    ) -> int:
        """Give the time at which there may be a permit at the soonest."""
        rate = self._owners.share(limit.rate)
        now_ms = self._clock.now()
        return now_ms + self._buckets.available_ms(
            key, rate, for_retry=for_retry
        )

    def grant(
        self, key: int, limit: ServerLimit, max_wait_ms: int, *, for_retry: bool
    ) -> int | None:
        """Give ourselves a permit; tell after how long it holds."""
        rate = self._owners.share(limit.rate)
        return self._buckets.grant(key, rate, max_wait_ms, for_retry=for_retry)

    def reserve(self, key: int, limit: ServerLimit) -> int:
        """Keep a permit for a caller; tell when it should come back."""
        return self._buckets.reserve(key, self._owners.share(limit.rate))

    def answer(
        self, ask: PermitRequest, refusal: PermitReply, rate: float
    ) -> PermitReply:
        """Give the answer to a question.

        Parameters
        ----------
        refusal : PermitReply
            The answer of one that owns nothing.
        rate : float
            What the server takes a second.

        """
        now_ms = self._clock.now()
        known = self._answers.get((ask.name, ask.number))
        if known is not None:
            answered_ms, reply = known
            wait_ms = max(0, reply.wait_ms - (now_ms - answered_ms))
            return replace(reply, wait_ms=wait_ms)
        reply = self._decide(ask, refusal, self._owners.share(rate))
        self._answers[ask.name, ask.number] = (now_ms, reply)
        return reply

    def expire(self) -> None:
        """Forget what others own now, and answers that nobody asks for."""
        self._buckets.retain(self._owners.is_local)
        oldest_ms = self._clock.now() - _ANSWER_MS
        self._answers = {
            question: (answered_ms, reply)
            for question, (answered_ms, reply) in self._answers.items()
            if answered_ms >= oldest_ms
        }

    def _decide(
        self, ask: PermitRequest, refusal: PermitReply, rate: float
    ) -> PermitReply:
        ledger, key = self._buckets, ask.incarnation
        if ask.is_reservation:
            return replace(refusal, retry_after_ms=ledger.reserve(key, rate))
        wait_ms = ledger.grant(
            key, rate, ask.max_wait_ms, for_retry=ask.for_retry
        )
        if wait_ms is not None:
            return replace(refusal, is_granted=True, wait_ms=wait_ms)
        available_ms = ledger.available_ms(key, rate, for_retry=ask.for_retry)
        return replace(refusal, wait_ms=available_ms)
