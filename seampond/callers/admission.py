"""Let a caller's request in: body, key, template, parameters."""

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
    """Make the refusal of a request that was not let in."""
    return RefusedError(reason, RunStatus.never, step=_STEP, detail=detail)


@dataclass(frozen=True)
class AdmissionContext:
    """What admitting a request needs."""

    holder: ConfigurationHolder
    keys: KeyRing
    limiter: Limiter
    members: Members
    clock: Clock
    body_max_bytes: int


@dataclass(frozen=True, slots=True)
class Admission:
    """Who asks for which kind of work."""

    workspace: Workspace
    template: Template
    parameters: Parameters


async def read_body(request: Request, max_bytes: int) -> bytes:
    """Read the body, up to the limit."""
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
    """Read a chat completion request.

    Raises
    ------
    RefusedError
        If it is not one; names the first bad field.

    """
    try:
        return ChatRequest.model_validate_json(body)
    except ValidationError as error:
        problem = error.errors()[0]
        where = '.'.join(str(part) for part in problem['loc']) or 'body'
        raise make_refusal(
            Reason.bad_request, f'{where}: {problem["msg"]}'
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
    """Find the workspace, the template and the parameters.

    Raises
    ------
    RefusedError
        If the key is wrong or the workspace has no such template.

    """
    workspace = await _authenticate(context, request)
    template = context.holder.current.templates.get(template_name)
    parameters = workspace.parameters.get(template_name)
    if template is None or parameters is None or template.kind != kind:
        raise make_refusal(
            Reason.unknown_template, f'no template {template_name!r} for you'
        )
    return Admission(workspace, template, parameters)
