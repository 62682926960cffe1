"""Make the work of an admitted request: deadline, claim key, rate."""

import hashlib
from dataclasses import dataclass
from urllib.parse import quote

from starlette.requests import Request

from seampond.callers.admission import (
    CHAT_PATH,
    Admission,
    AdmissionContext,
    make_refusal,
)
from seampond.callers.models import ESTIMATED_CHARACTERS_PER_TOKEN, ChatRequest
from seampond.links.messages import Header
from seampond.requests import Reason, RefusedError, RunStatus, Work
from seampond.templates import Template

KEY_HEADER = 'idempotency-key'
DEADLINE_HEADER = 'x-deadline-ms'
REQUEST_ID_HEADER = 'x-request-id'
MAX_DEADLINE_MS = 3_600_000
_PREFIX_CHARACTERS = 2048
_MIN_PREFIX_CHARACTERS = 1024
_MAX_KEY_CHARACTERS = 255
_PASSED_HEADERS = ('content-type', 'accept', KEY_HEADER)
_PATH_SAFE = "/:@!$&'()*+,;=~"
_DIGEST_BYTES = 16


@dataclass(frozen=True, slots=True)
class Payload:
    """What goes to the backend server; `prompt` only for a model."""

    path: str
    body: bytes
    prompt: str = ''


def _deadline(
    context: AdmissionContext, request: Request, template: Template
) -> int:
    text = request.headers.get(DEADLINE_HEADER)
    if text is None:
        return context.clock.now() + template.deadline_ms
    if not text.lstrip('-').isdecimal():
        raise make_refusal(
            Reason.bad_request, f'{DEADLINE_HEADER}: not a number'
        )
    left_ms = int(text)
    if left_ms <= 0:
        raise make_refusal(Reason.deadline_past)
    return context.clock.now() + min(left_ms, MAX_DEADLINE_MS)


def _claim_key(request: Request, admission: Admission) -> str:
    template = admission.template
    if template.repeatable:
        return ''
    key = request.headers.get(KEY_HEADER, '')
    if not key or len(key) > _MAX_KEY_CHARACTERS:
        raise make_refusal(Reason.key_required)
    digest = hashlib.blake2b(
        key.encode(), digest_size=_DIGEST_BYTES
    ).hexdigest()
    return '/'.join((admission.workspace.name, template.name, digest))


def _check_rate(
    context: AdmissionContext, admission: Admission, tokens: int
) -> None:
    wait_ms = context.limiter.admit(
        admission.workspace.name,
        admission.template.name,
        admission.parameters,
        tokens=tokens,
        entries=context.members.live_entries,
    )
    if wait_ms:
        raise RefusedError(
            Reason.over_rate,
            RunStatus.never,
            step='admit',
            retry_after_ms=wait_ms,
        )


def _prefix(workspace: str, text: str) -> str:
    if len(text) < _MIN_PREFIX_CHARACTERS:
        return ''
    start = text[:_PREFIX_CHARACTERS]
    head = f'{workspace}\0{start}'
    return hashlib.blake2b(head.encode(), digest_size=_DIGEST_BYTES).hexdigest()


def _headers(request: Request, request_id: str) -> tuple[Header, ...]:
    kept = {
        name: request.headers[name]
        for name in _PASSED_HEADERS
        if name in request.headers
    }
    kept[REQUEST_ID_HEADER] = request_id
    return tuple(Header(name, text) for name, text in kept.items())


def _make_work(
    context: AdmissionContext,
    request: Request,
    admission: Admission,
    payload: Payload,
) -> Work:
    """Check deadline, idempotency key and rate, in this order."""
    template = admission.template
    request_id: str = request.state.request_id
    tokens = -(-len(payload.prompt) // ESTIMATED_CHARACTERS_PER_TOKEN)
    work = Work(
        id=request_id,
        workspace=admission.workspace.name,
        template=template.name,
        pool=template.pool,
        tier=admission.parameters.tier,
        arrived_ms=context.clock.now(),
        deadline_ms=_deadline(context, request, template),
        method=request.method,
        path=payload.path,
        body=payload.body,
        headers=_headers(request, request_id),
        prompt_tokens=tokens,
        prefix=_prefix(admission.workspace.name, payload.prompt),
        claim_key=_claim_key(request, admission),
        may_wait=admission.parameters.may_wait,
    )
    _check_rate(context, admission, tokens)
    return work


def make_chat_work(
    context: AdmissionContext,
    request: Request,
    admission: Admission,
    chat: ChatRequest,
) -> Work:
    """Make the work of a chat completion; counts against the rate."""
    template = admission.template
    forwarded = chat.model_copy(
        update={
            'model': template.model or template.name,
            'priority': admission.parameters.tier,
        }
    )
    body = forwarded.model_dump_json(exclude_unset=True).encode()
    payload = Payload(CHAT_PATH, body, chat.prompt_text)
    return _make_work(context, request, admission, payload)


def make_service_work(
    context: AdmissionContext,
    request: Request,
    admission: Admission,
    body: bytes,
) -> Work:
    """Make the work of a call to a plain service."""
    path = quote(request.path_params['path'], safe=_PATH_SAFE)
    query = request.url.query
    target = f'/{path}?{query}' if query else f'/{path}'
    return _make_work(context, request, admission, Payload(target, body))
