"""Platform services over HTTP with fault injection."""

import secrets
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

from pydantic import ValidationError
from starlette.applications import Starlette
from starlette.middleware import Middleware
from starlette.middleware.gzip import GZipMiddleware
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from seampond.backing.standin.memory import MemoryTables
from seampond.backing.standin.models import Faults, Transaction, VmRow
from seampond.backing.tables import Check, Row, Write
from seampond.clock import Clock
from seampond.errors import ConflictError
from seampond.settings.models import PlatformStandInSettings

_LOST_ANSWER_DELAY_MS = 3_600_000
_START_ID_BYTES = 4
_MIN_COMPRESSED_BYTES = 1024
_NOT_FOUND_RESPONSE = JSONResponse(
    {'error': 'no such row or object'}, status_code=HTTPStatus.NOT_FOUND
)
_DOWN_RESPONSE = JSONResponse(
    {'error': 'down'}, status_code=HTTPStatus.SERVICE_UNAVAILABLE
)

Endpoint = Callable[[Request], Awaitable[Response]]


@dataclass(frozen=True)
class VmListVersion:
    """A version of the VM list, valid from `since_ms` on."""

    since_ms: int
    vms: dict[str, VmRow]


class Platform:
    """State of the platform stand-ins."""

    def __init__(self, settings: PlatformStandInSettings, clock: Clock) -> None:
        """Start with the VMs and delays of the settings."""
        self._clock = clock
        vms = {
            vm.name: VmRow.model_validate(vm.model_dump())
            for vm in settings.vms
        }
        self._versions = deque([VmListVersion(0, vms)])
        self.start_id = secrets.token_hex(_START_ID_BYTES)
        self.tables = MemoryTables()
        self.objects: dict[str, Any] = {}
        self.faults = Faults(
            list_lag_ms=settings.list_lag_ms, slow_ms=settings.answer_delay_ms
        )

    @property
    def listed_vms(self) -> VmListVersion:
        """The version of the VM list that callers see, which may lag."""
        visible_until_ms = self._clock.now() - self.faults.list_lag_ms
        while (
            len(self._versions) > 1
            and self._versions[1].since_ms <= visible_until_ms
        ):
            self._versions.popleft()
        return self._versions[0]

    def set_vm(self, name: str, row: VmRow | None) -> None:
        """Add or replace a VM in the newest list; None removes it."""
        vms = dict(self._versions[-1].vms)
        vms.pop(name, None)
        if row is not None:
            vms[name] = row
        self._versions.append(VmListVersion(self._clock.now(), vms))

    def inject_faults(self, endpoint: Endpoint) -> Endpoint:
        """Return the endpoint with the configured faults."""

        async def faulty_endpoint(request: Request) -> Response:
            if self.faults.down:
                return _DOWN_RESPONSE
            await self._clock.sleep(self.faults.slow_ms)
            response = await endpoint(request)
            is_write = request.method != 'GET'
            if is_write and self.faults.lose_answers > 0:
                # The write took effect, but the caller gets no response.
                self.faults.lose_answers -= 1
                await self._clock.sleep(_LOST_ANSWER_DELAY_MS)
            return response

        return faulty_endpoint


def _format_row(row: Row) -> dict[str, Any]:
    return {'key': row.key, 'version': row.version, 'content': row.content}


def _table_routes(platform: Platform) -> list[Route]:
    async def read(request: Request) -> Response:
        row = platform.tables.read(
            request.path_params['table'], request.path_params['key']
        )
        return JSONResponse(_format_row(row)) if row else _NOT_FOUND_RESPONSE

    async def scan(request: Request) -> Response:
        rows = platform.tables.scan(
            request.path_params['table'],
            request.query_params['start'],
            request.query_params['end'],
            int(request.query_params['limit']),
        )
        return JSONResponse([_format_row(row) for row in rows])

    async def transact(request: Request) -> Response:
        body = Transaction.model_validate_json(await request.body())
        checks = [Check(**check.model_dump()) for check in body.checks]
        writes = [Write(**write.model_dump()) for write in body.writes]
        try:
            platform.tables.transact(checks, writes)
        except ConflictError as conflict:
            return JSONResponse(
                {'key': conflict.message}, status_code=HTTPStatus.CONFLICT
            )
        return JSONResponse({})

    return [
        Route('/tables/{table}/rows/{key:path}', platform.inject_faults(read)),
        Route('/tables/{table}/rows', platform.inject_faults(scan)),
        Route(
            '/transactions', platform.inject_faults(transact), methods=['POST']
        ),
    ]


def _object_routes(platform: Platform) -> list[Route]:
    async def get_object(request: Request) -> Response:
        key = request.path_params['key']
        if key not in platform.objects:
            return _NOT_FOUND_RESPONSE
        return JSONResponse(platform.objects[key])

    async def put_object(request: Request) -> Response:
        platform.objects[request.path_params['key']] = await request.json()
        return JSONResponse({})

    return [
        Route('/objects/{key:path}', platform.inject_faults(get_object)),
        Route(
            '/objects/{key:path}',
            platform.inject_faults(put_object),
            methods=['PUT'],
        ),
    ]


def _vm_routes(platform: Platform) -> list[Route]:
    async def list_vms(request: Request) -> Response:
        listed = platform.listed_vms
        etag = f'"{platform.start_id}-{listed.since_ms}"'
        if request.headers.get('if-none-match') == etag:
            return Response(status_code=HTTPStatus.NOT_MODIFIED)
        rows = [row.model_dump() for row in listed.vms.values()]
        return JSONResponse(rows, headers={'etag': etag})

    async def put_vm(request: Request) -> Response:
        row = VmRow.model_validate_json(await request.body())
        platform.set_vm(request.path_params['name'], row)
        return JSONResponse({})

    async def delete_vm(request: Request) -> Response:
        platform.set_vm(request.path_params['name'], None)
        return JSONResponse({})

    return [
        Route('/vms', platform.inject_faults(list_vms)),
        Route('/vms/{name}', put_vm, methods=['PUT']),
        Route('/vms/{name}', delete_vm, methods=['DELETE']),
    ]


def _control_routes(platform: Platform) -> list[Route]:
    async def set_faults(request: Request) -> Response:
        platform.faults = Faults.model_validate_json(await request.body())
        return JSONResponse(platform.faults.model_dump())

    async def show_counts(_request: Request) -> Response:
        return JSONResponse(
            {'reads': platform.tables.reads, 'writes': platform.tables.writes}
        )

    return [
        Route('/faults', set_faults, methods=['PUT']),
        Route('/counts', show_counts),
    ]


async def _reject_invalid(_request: Request, error: Exception) -> Response:
    return JSONResponse(
        {'error': str(error)}, status_code=HTTPStatus.BAD_REQUEST
    )


def make_platform_app(platform: Platform) -> Starlette:
    """Return the web application of the platform stand-ins.

    Explanation
    -----------
    ``PUT /faults`` replaces the `Faults`; ``GET /counts`` returns the
    number of reads and writes so far.
    """
    routes = [
        *_table_routes(platform),
        *_object_routes(platform),
        *_vm_routes(platform),
        *_control_routes(platform),
    ]
    return Starlette(
        routes=routes,
        middleware=[
            Middleware(GZipMiddleware, minimum_size=_MIN_COMPRESSED_BYTES)
        ],
        exception_handlers={
            ValidationError: _reject_invalid,
            KeyError: _reject_invalid,
            ValueError: _reject_invalid,
        },
    )
