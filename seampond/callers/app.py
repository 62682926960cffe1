"""The web application that an entry serves to callers."""

import uuid
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from seampond.callers.admission import (
    CHAT_PATH,
    admit,
    parse_chat,
    read_body,
)
from seampond.callers.responses import (
    AnswerResponse,
    ResponseContext,
    make_error_response,
)
from seampond.callers.work_builders import make_chat_work, make_service_work
from seampond.page_routes import make_page_routes
from seampond.pages import Pages
from seampond.requests import Reason, RefusedError, RunStatus, Work

_METHODS = ('GET', 'POST', 'PUT', 'PATCH', 'DELETE')
_UNREADY_RETRY_MS = 1000

WorkBuilder = Callable[[Request], Awaitable[Work]]


@dataclass(frozen=True)
class ReadinessChecks:
    """Functions that tell whether new requests are accepted."""

    is_ready: Callable[[], bool]
    is_draining: Callable[[], bool]


def _check_accepting(readiness: ReadinessChecks) -> None:
    if readiness.is_draining():
        reason = Reason.draining
    elif readiness.is_ready():
        return
    else:
        reason = Reason.not_ready
    raise RefusedError(
        reason, RunStatus.never, step='admit', retry_after_ms=_UNREADY_RETRY_MS
    )


def _request_routes(
    context: ResponseContext, readiness: ReadinessChecks
) -> list[Route]:
    admission_context = context.admission_context

    async def chat(request: Request) -> Work:
        body = await read_body(request, admission_context.body_max_bytes)
        parsed = parse_chat(body)
        admission = await admit(
            admission_context, request, parsed.model, 'model'
        )
        return make_chat_work(admission_context, request, admission, parsed)

    async def service(request: Request) -> Work:
        name = request.path_params['name']
        body = await read_body(request, admission_context.body_max_bytes)
        admission = await admit(admission_context, request, name, 'service')
        return make_service_work(admission_context, request, admission, body)

    def make_endpoint(
        build_work: WorkBuilder,
    ) -> Callable[..., Awaitable[Response]]:
        async def endpoint(request: Request) -> Response:
            request.state.request_id = uuid.uuid4().hex
            try:
                _check_accepting(readiness)
                return AnswerResponse(context, await build_work(request))
            except RefusedError as refusal:
                context.record_refusal(refusal)
                return make_error_response(refusal, request.state.request_id)

        return endpoint

    return [
        Route(CHAT_PATH, make_endpoint(chat), methods=['POST']),
        Route(
            '/services/{name}/{path:path}',
            make_endpoint(service),
            methods=_METHODS,
        ),
    ]


def make_caller_app(
    context: ResponseContext, readiness: ReadinessChecks, pages: Pages
) -> Starlette:
    """Return the web application for callers and operators."""
    routes = [*_request_routes(context, readiness), *make_page_routes(pages)]
    return Starlette(routes=routes)
