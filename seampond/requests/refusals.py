"""Why a request is refused, and whether it may have run."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus
from types import MappingProxyType

from seampond.errors import SeampondError


@enum.unique
class RunStatus(enum.Enum):
    """Whether a refused request was run."""

    never = 'no'
    maybe = 'maybe'
    done = 'yes'


@dataclass(frozen=True, slots=True)
class RefusalDetails:
    """The HTTP status of a reason and what the caller can do."""

    status: HTTPStatus
    advice: str


@enum.unique
class Reason(enum.Enum):
    """Each reason; the value is the label of the counter."""

    bad_request = 'bad-request'
    wrong_key = 'wrong-key'
    unknown_template = 'unknown-template'
    body_too_large = 'body-too-large'
    key_required = 'key-required'
    deadline_past = 'deadline-past'
    over_rate = 'over-rate'
    not_ready = 'not-ready'
    draining = 'draining'
    no_server = 'no-server'
    no_room = 'no-room'
    shed = 'shed'
    deadline = 'deadline'
    retry_budget = 'retry-budget'
    leaving = 'leaving'
    ask_expired = 'ask-expired'
    cancelled = 'cancelled'
    engine_unreachable = 'engine-unreachable'
    engine_failed = 'engine-failed'
    engine_short = 'engine-short'
    wrong_answer = 'wrong-answer'
    agent_lost = 'agent-lost'
    caller_gone = 'caller-gone'
    claim_taken = 'claim-taken'
    claim_store_down = 'claim-store-down'
    internal = 'internal'


_RETRY_LATER = 'try again after the time in Retry-After'
_ASK_FIRST = 'it may have run: check before you send it again'

_LATER = RefusalDetails(HTTPStatus.SERVICE_UNAVAILABLE, _RETRY_LATER)

REFUSAL_DETAILS: Mapping[Reason, RefusalDetails] = MappingProxyType(
    {
        Reason.bad_request: RefusalDetails(
            HTTPStatus.BAD_REQUEST,
            'send valid JSON with "model" and "messages"',
        ),
        Reason.wrong_key: RefusalDetails(
            HTTPStatus.UNAUTHORIZED,
            'send "Authorization: Bearer KEY" with a key of your workspace',
        ),
        Reason.unknown_template: RefusalDetails(
            HTTPStatus.NOT_FOUND,
            'name a template that your workspace has parameters for',
        ),
        Reason.body_too_large: RefusalDetails(
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE, 'send a shorter body'
        ),
        Reason.key_required: RefusalDetails(
            HTTPStatus.BAD_REQUEST,
            'this work is not repeatable: add an Idempotency-Key header',
        ),
        Reason.deadline_past: RefusalDetails(
            HTTPStatus.BAD_REQUEST,
            'X-Deadline-Ms is the time left in milliseconds, 1 or more',
        ),
        Reason.over_rate: RefusalDetails(
            HTTPStatus.TOO_MANY_REQUESTS, _RETRY_LATER
        ),
        Reason.not_ready: _LATER,
        Reason.draining: _LATER,
        Reason.no_server: _LATER,
        Reason.no_room: _LATER,
        Reason.shed: _LATER,
        Reason.deadline: RefusalDetails(
            HTTPStatus.GATEWAY_TIMEOUT, _RETRY_LATER
        ),
        Reason.retry_budget: _LATER,
        Reason.leaving: _LATER,
        Reason.ask_expired: _LATER,
        Reason.cancelled: _LATER,
        Reason.engine_unreachable: _LATER,
        Reason.engine_failed: RefusalDetails(
            HTTPStatus.BAD_GATEWAY, _ASK_FIRST
        ),
        Reason.engine_short: RefusalDetails(HTTPStatus.BAD_GATEWAY, _ASK_FIRST),
        Reason.wrong_answer: RefusalDetails(HTTPStatus.BAD_GATEWAY, _ASK_FIRST),
        Reason.agent_lost: RefusalDetails(HTTPStatus.BAD_GATEWAY, _ASK_FIRST),
        Reason.caller_gone: RefusalDetails(
            HTTPStatus.REQUEST_TIMEOUT, 'the caller left'
        ),
        Reason.claim_taken: RefusalDetails(
            HTTPStatus.CONFLICT,
            'a request with this Idempotency-Key may have run already',
        ),
        Reason.claim_store_down: _LATER,
        Reason.internal: RefusalDetails(
            HTTPStatus.INTERNAL_SERVER_ERROR, _ASK_FIRST
        ),
    }
)


# Another agent may do better; for any other reason it would not.
RETRYABLE_REASONS = frozenset(
    (Reason.leaving, Reason.ask_expired, Reason.engine_unreachable)
)


def parse_reason(label: str) -> Reason:
    """Give the reason with this label; an unknown one is `internal`."""
    try:
        return Reason(label)
    except ValueError:
        return Reason.internal


class RefusedError(SeampondError):
    """A request is given up; the caller hears it at once.

    Parameters
    ----------
    reason : Reason
        Why.
    run : RunStatus
        Whether it may have run.
    retry_after_ms : int
        When to come back; 0 for no advice.

    """

    def __init__(
        self,
        reason: Reason,
        run: RunStatus,
        *,
        step: str,
        peer: str = '',
        retry_after_ms: int = 0,
        detail: str = '',
    ) -> None:
        """Make the message from the reason's cure."""
        advice = REFUSAL_DETAILS[reason].advice
        super().__init__(
            f'{detail}: {advice}' if detail else advice, step=step, peer=peer
        )
        self.reason = reason
        self.run = run
        self.retry_after_ms = retry_after_ms
