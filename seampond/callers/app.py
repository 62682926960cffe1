"""The web application of an entry."""

import uuid
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, PlainTextResponse, Response
from starlette.routing import Route

from seampond.callers.answers import AnswerResponse, Front, error_response
from seampond.callers.desk import (
    CHAT_PATH,
    admit,
    parse_chat,
    read_body,
)
from seampond.callers.works import make_chat_work, make_service_work
from seampond.requests import Reason, RefusedError, Run, Work

_METHODS = ('GET', 'POST', 'PUT', 'PATCH', 'DELETE')
_DRAIN_RETRY_MS = 1000

MakeWork = Callable[[Request], Awaitable[Work]]


@dataclass(frozen=True)
class EntryPages:
    """What the pages for operators and the balancer show."""

    is_ready: Callable[[], bool]
    is_draining: Callable[[], bool]
    show_status: Callable[[], dict[str, object]]


def _check_open(pages: EntryPages) -> None:
    if pages.is_draining():
        reason = Reason.draining
    elif pages.is_ready():
        return
    else:
        reason = Reason.not_ready
    raise RefusedError(
        reason, Run.never, step='admit', retry_after_ms=_DRAIN_RETRY_MS
    )


def _request_routes(front: Front, pages: EntryPages) -> list[Route]:
    desk = front.desk

    async def chat(request: Request) -> Work:
        body = await read_body(request, desk.body_max_bytes)
        parsed = parse_chat(body)
        admission = await admit(desk, request, parsed.model, 'model')
        return make_chat_work(desk, request, admission, parsed)

    async def service(request: Request) -> Work:
        name = request.path_params['name']
        body = await read_body(request, desk.body_max_bytes)
        admission = await admit(desk, request, name, 'service')
        return make_service_work(desk, request, admission, body)

    def serving(make_work: MakeWork) -> Callable[..., Awaitable[Response]]:
        async def endpoint(request: Request) -> Response:
            request.state.request_id = uuid.uuid4().hex
            try:
                _check_open(pages)
                return AnswerResponse(front, await make_work(request))
            except RefusedError as refusal:
                front.count_refusal(refusal)
                return error_response(refusal, request.state.request_id)

        return endpoint

    return [
        Route(CHAT_PATH, serving(chat), methods=['POST']),
        Route(
            '/services/{name}/{path:path}', serving(service), methods=_METHODS
        ),
    ]


def _page_routes(front: Front, pages: EntryPages) -> list[Route]:
    registry = front.placement.metrics.registry

    async def metrics(_request: Request) -> Response:
        return Response(
            generate_latest(registry), media_type=CONTENT_TYPE_LATEST
        )

    async def healthz(_request: Request) -> Response:
        return PlainTextResponse('ok\n')

    async def readyz(_request: Request) -> Response:
        if pages.is_ready() and not pages.is_draining():
            return PlainTextResponse('ready\n')
        return PlainTextResponse(
            'not ready\n', status_code=HTTPStatus.SERVICE_UNAVAILABLE
        )

    async def status(_request: Request) -> Response:
        return JSONResponse(pages.show_status())

    return [
        Route('/metrics', metrics),
        Route('/healthz', healthz),
        Route('/readyz', readyz),
        Route('/status', status),
    ]


def caller_app(front: Front, pages: EntryPages) -> Starlette:
    """Give the web application that callers and operators reach."""
    routes = [*_request_routes(front, pages), *_page_routes(front, pages)]
    return Starlette(routes=routes)
