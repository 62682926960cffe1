"""Build the work of an admitted request and check its rate limit."""

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

IDEMPOTENCY_KEY_HEADER = 'idempotency-key'
DEADLINE_HEADER = 'x-deadline-ms'
REQUEST_ID_HEADER = 'x-request-id'
MAX_DEADLINE_MS = 3_600_000
_PREFIX_CHARACTERS = 2048
_MIN_PREFIX_CHARACTERS = 1024
_MAX_KEY_CHARACTERS = 255
_FORWARDED_HEADERS = ('content-type', 'accept', IDEMPOTENCY_KEY_HEADER)
_SAFE_PATH_CHARACTERS = "/:@!$&'()*+,;=~"
_DIGEST_BYTES = 16


@dataclass(frozen=True, slots=True)
class Payload:
    """What is sent to the backend server; `prompt` is empty for services."""

    path: str
    body: bytes
    prompt: str = ''


def _parse_deadline_ms(
    context: AdmissionContext, request: Request, template: Template
) -> int:
    text = request.headers.get(DEADLINE_HEADER)
    if text is None:
        return context.clock.now() + template.deadline_ms
    if not text.lstrip('-').isdecimal():
        raise make_refusal(
            Reason.bad_request, f'{DEADLINE_HEADER}: not a number'
        )
    remaining_ms = int(text)
    if remaining_ms <= 0:
        raise make_refusal(Reason.deadline_past)
    return context.clock.now() + min(remaining_ms, MAX_DEADLINE_MS)


def _make_claim_key(request: Request, admission: Admission) -> str:
    template = admission.template
    if template.repeatable:
        return ''
    key = request.headers.get(IDEMPOTENCY_KEY_HEADER, '')
    if not key or len(key) > _MAX_KEY_CHARACTERS:
        raise make_refusal(Reason.key_required)
    digest = hashlib.blake2b(
        key.encode(), digest_size=_DIGEST_BYTES
    ).hexdigest()
    return '/'.join((admission.workspace.name, template.name, digest))


def _check_rate_limit(
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


def _hash_prefix(workspace: str, text: str) -> str:
    if len(text) < _MIN_PREFIX_CHARACTERS:
        return ''
    start = text[:_PREFIX_CHARACTERS]
    head = f'{workspace}\0{start}'
    return hashlib.blake2b(head.encode(), digest_size=_DIGEST_BYTES).hexdigest()


def _select_headers(request: Request, request_id: str) -> tuple[Header, ...]:
    forwarded = {
        name: request.headers[name]
        for name in _FORWARDED_HEADERS
        if name in request.headers
    }
    forwarded[REQUEST_ID_HEADER] = request_id
    return tuple(Header(name, text) for name, text in forwarded.items())


def _build_work(
    context: AdmissionContext,
    request: Request,
    admission: Admission,
    payload: Payload,
) -> Work:
    """Build the work; check deadline, idempotency key, rate in this order."""
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
        deadline_ms=_parse_deadline_ms(context, request, template),
        method=request.method,
        path=payload.path,
        body=payload.body,
        headers=_select_headers(request, request_id),
        prompt_tokens=tokens,
        prefix=_hash_prefix(admission.workspace.name, payload.prompt),
        claim_key=_make_claim_key(request, admission),
        may_wait=admission.parameters.may_wait,
    )
    _check_rate_limit(context, admission, tokens)
    return work


def make_chat_work(
    context: AdmissionContext,
    request: Request,
    admission: Admission,
    chat: ChatRequest,
) -> Work:
    """Build the work of a chat completion and count it for the rate limit."""
    template = admission.template
    forwarded = chat.model_copy(
        update={
            'model': template.model or template.name,
            'priority': admission.parameters.tier,
        }
    )
    body = forwarded.model_dump_json(exclude_unset=True).encode()
    payload = Payload(CHAT_PATH, body, chat.prompt_text)
    return _build_work(context, request, admission, payload)


def make_service_work(
    context: AdmissionContext,
    request: Request,
    admission: Admission,
    body: bytes,
) -> Work:
    """Build the work of a service call and count it for the rate limit."""
    path = quote(request.path_params['path'], safe=_SAFE_PATH_CHARACTERS)
    query = request.url.query
    target = f'/{path}?{query}' if query else f'/{path}'
    return _build_work(context, request, admission, Payload(target, body))
