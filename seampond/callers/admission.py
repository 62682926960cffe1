"""Admission of requests by body, API key, template and parameters."""

from dataclasses import dataclass

from pydantic import ValidationError
from starlette.requests import Request

from seampond.callers.models import ChatRequest
from seampond.clock import Clock
from seampond.limits import Limiter
from seampond.membership.follow import Members
from seampond.requests import Reason, RefusedError, RunStatus
from seampond.templates import Parameters, Template, Workspace
from seampond.templates.follow import ConfigurationHolder
from seampond.templates.keys import KeyRing

CHAT_PATH = '/v1/chat/completions'
_BEARER = 'bearer '
_STEP = 'admit'


def make_refusal(reason: Reason, detail: str = '') -> RefusedError:
    """Return the error for a request that is not admitted."""
    return RefusedError(reason, RunStatus.never, step=_STEP, detail=detail)


@dataclass(frozen=True)
class AdmissionContext:
    """The dependencies of the admission of requests."""

    holder: ConfigurationHolder
    keys: KeyRing
    limiter: Limiter
    members: Members
    clock: Clock
    body_max_bytes: int


@dataclass(frozen=True, slots=True)
class Admission:
    """The workspace, template and parameters of an admitted request."""

    workspace: Workspace
    template: Template
    parameters: Parameters


async def read_body(request: Request, max_bytes: int) -> bytes:
    """Read the body of a request.

    Raises
    ------
    RefusedError
        If the body is longer than `max_bytes`.

    """
    parts = []
    size = 0
    async for part in request.stream():
        size += len(part)
        if size > max_bytes:
            raise make_refusal(
                Reason.body_too_large, f'at most {max_bytes} bytes are taken'
            )
        parts.append(part)
    return b''.join(parts)


def parse_chat(body: bytes) -> ChatRequest:
    """Parse a chat completion request.

    Raises
    ------
    RefusedError
        If the body is invalid; the message names the first bad field.

    """
    try:
        return ChatRequest.model_validate_json(body)
    except ValidationError as error:
        problem = error.errors()[0]
        location = '.'.join(str(part) for part in problem['loc']) or 'body'
        raise make_refusal(
            Reason.bad_request, f'{location}: {problem["msg"]}'
        ) from error


async def _authenticate(
    context: AdmissionContext, request: Request
) -> Workspace:
    header = request.headers.get('authorization', '')
    workspace = None
    if header.lower().startswith(_BEARER):
        key = header[len(_BEARER) :].strip()
        workspace = await context.keys.find_workspace(
            context.holder.current, key
        )
    if workspace is None:
        raise make_refusal(Reason.wrong_key)
    return workspace


async def admit(
    context: AdmissionContext, request: Request, template_name: str, kind: str
) -> Admission:
    """Authenticate a request and find its template and parameters.

    Raises
    ------
    RefusedError
        If the key is wrong, or the workspace has no template of this name
        and kind.

    """
    workspace = await _authenticate(context, request)
    template = context.holder.current.templates.get(template_name)
    parameters = workspace.parameters.get(template_name)
    if template is None or parameters is None or template.kind != kind:
        raise make_refusal(
            Reason.unknown_template, f'no template {template_name!r} for you'
        )
    return Admission(workspace, template, parameters)
