"""Reasons for refusing a request, and their HTTP answers."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus
from types import MappingProxyType

from seampond.errors import SeampondError


@enum.unique
class RunStatus(enum.Enum):
    """Whether a backend server ran the request."""

    never = 'no'
    maybe = 'maybe'
    done = 'yes'


@dataclass(frozen=True, slots=True)
class RefusalDetails:
    """The HTTP status of a reason and the advice to the caller."""

    status: HTTPStatus
    advice: str


@enum.unique
class Reason(enum.Enum):
    """Why a request is refused; the value is the metric label."""

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
_CHECK_FIRST = 'it may have run: check before you send it again'

_UNAVAILABLE = RefusalDetails(HTTPStatus.SERVICE_UNAVAILABLE, _RETRY_LATER)

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
        Reason.not_ready: _UNAVAILABLE,
        Reason.draining: _UNAVAILABLE,
        Reason.no_server: _UNAVAILABLE,
        Reason.no_room: _UNAVAILABLE,
        Reason.shed: _UNAVAILABLE,
        Reason.deadline: RefusalDetails(
            HTTPStatus.GATEWAY_TIMEOUT, _RETRY_LATER
        ),
        Reason.retry_budget: _UNAVAILABLE,
        Reason.leaving: _UNAVAILABLE,
        Reason.ask_expired: _UNAVAILABLE,
        Reason.cancelled: _UNAVAILABLE,
        Reason.engine_unreachable: _UNAVAILABLE,
        Reason.engine_failed: RefusalDetails(
            HTTPStatus.BAD_GATEWAY, _CHECK_FIRST
        ),
        Reason.engine_short: RefusalDetails(
            HTTPStatus.BAD_GATEWAY, _CHECK_FIRST
        ),
        Reason.wrong_answer: RefusalDetails(
            HTTPStatus.BAD_GATEWAY, _CHECK_FIRST
        ),
        Reason.agent_lost: RefusalDetails(HTTPStatus.BAD_GATEWAY, _CHECK_FIRST),
        Reason.caller_gone: RefusalDetails(
            HTTPStatus.REQUEST_TIMEOUT, 'the caller left'
        ),
        Reason.claim_taken: RefusalDetails(
            HTTPStatus.CONFLICT,
            'a request with this Idempotency-Key may have run already',
        ),
        Reason.claim_store_down: _UNAVAILABLE,
        Reason.internal: RefusalDetails(
            HTTPStatus.INTERNAL_SERVER_ERROR, _CHECK_FIRST
        ),
    }
)


# Reasons for which a retry with another agent may succeed.
RETRYABLE_REASONS = frozenset(
    (Reason.leaving, Reason.ask_expired, Reason.engine_unreachable)
)


def parse_reason(label: str) -> Reason:
    """Return the reason with this label, `internal` if it is unknown."""
    try:
        return Reason(label)
    except ValueError:
        return Reason.internal


class RefusedError(SeampondError):
    """Raised to end a request with an error answer to its caller.

    Parameters
    ----------
    reason : Reason
        Selects the HTTP status and the advice.
    run : RunStatus
        Whether the request may have run.
    step : str
        The processing step that failed.
    peer : str
        The agent or request concerned; may be empty.
    retry_after_ms : int
        When the caller may retry; 0 omits the Retry-After header.
    detail : str
        Precedes the advice in the message.

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
        """Build the message from the detail and the reason's advice."""
        advice = REFUSAL_DETAILS[reason].advice
        super().__init__(
            f'{detail}: {advice}' if detail else advice, step=step, peer=peer
        )
        self.reason = reason
        self.run = run
        self.retry_after_ms = retry_after_ms
