"""The platform's services over HTTP, with faults on demand."""

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

_STUCK_MS = 3_600_000
_TAG_BYTES = 4
_MIN_COMPRESSED = 1024
_MISSING = JSONResponse(
    {'error': 'no such row or object'}, status_code=HTTPStatus.NOT_FOUND
)
_DOWN = JSONResponse(
    {'error': 'down'}, status_code=HTTPStatus.SERVICE_UNAVAILABLE
)

Endpoint = Callable[[Request], Awaitable[Response]]


@dataclass(frozen=True)
class VmListVersion:
    """The VM list as it was from `since_ms` on."""

    since_ms: int
    vms: dict[str, VmRow]


class Platform:
    """All that the stand-ins hold."""

    def __init__(self, settings: PlatformStandInSettings, clock: Clock) -> None:
        """Start with the VMs of the settings and no faults."""
        self._clock = clock
        vms = {
            vm.name: VmRow.model_validate(vm.model_dump())
            for vm in settings.vms
        }
        self._versions = deque([VmListVersion(0, vms)])
        self.start_id = secrets.token_hex(_TAG_BYTES)
        self.tables = MemoryTables()
        self.objects: dict[str, Any] = {}
        self.faults = Faults(
            list_lag_ms=settings.list_lag_ms, slow_ms=settings.answer_delay_ms
        )

    @property
    def listed_vms(self) -> VmListVersion:
        """The list as callers see it: late by the lag."""
        horizon = self._clock.now() - self.faults.list_lag_ms
        while len(self._versions) > 1 and self._versions[1].since_ms <= horizon:
            self._versions.popleft()
        return self._versions[0]

    def set_vm(self, name: str, row: VmRow | None) -> None:
        """Change the true list; None removes the VM."""
        vms = dict(self._versions[-1].vms)
        vms.pop(name, None)
        if row is not None:
            vms[name] = row
        self._versions.append(VmListVersion(self._clock.now(), vms))

    def inject_faults(self, endpoint: Endpoint) -> Endpoint:
        """Wrap an endpoint in the faults in force."""

        async def wrapped(request: Request) -> Response:
            if self.faults.down:
                return _DOWN
            await self._clock.sleep(self.faults.slow_ms)
            response = await endpoint(request)
            is_write = request.method != 'GET'
            if is_write and self.faults.lose_answers > 0:
                # The effect stands; the caller never hears of it.
                self.faults.lose_answers -= 1
                await self._clock.sleep(_STUCK_MS)
            return response

        return wrapped


def _row_json(row: Row) -> dict[str, Any]:
    return {'key': row.key, 'version': row.version, 'content': row.content}


def _table_routes(platform: Platform) -> list[Route]:
    async def read(request: Request) -> Response:
        row = platform.tables.read(
            request.path_params['table'], request.path_params['key']
        )
        return JSONResponse(_row_json(row)) if row else _MISSING

    async def scan(request: Request) -> Response:
        rows = platform.tables.scan(
            request.path_params['table'],
            request.query_params['start'],
            request.query_params['end'],
            int(request.query_params['limit']),
        )
        return JSONResponse([_row_json(row) for row in rows])

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
            return _MISSING
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


async def _refuse_invalid(_request: Request, error: Exception) -> Response:
    return JSONResponse(
        {'error': str(error)}, status_code=HTTPStatus.BAD_REQUEST
    )


def make_platform_app(platform: Platform) -> Starlette:
    """Give the web application of the stand-ins.

    Explanation
    -----------
    ``PUT /faults`` sets the faults: ``down``, ``slow_ms``,
    ``lose_answers`` (that many writes take effect unheard) and
    ``list_lag_ms``.  ``GET /counts`` tells reads and writes so far.
    """
    routes = [
        *_table_routes(platform),
        *_object_routes(platform),
        *_vm_routes(platform),
        *_control_routes(platform),
    ]
    return Starlette(
        routes=routes,
        middleware=[Middleware(GZipMiddleware, minimum_size=_MIN_COMPRESSED)],
        exception_handlers={
            ValidationError: _refuse_invalid,
            KeyError: _refuse_invalid,
            ValueError: _refuse_invalid,
        },
    )
