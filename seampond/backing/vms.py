"""The port to the platform's list of VMs, which lags."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

from seampond.backing.http_client import ServiceClient
from seampond.errors import PlatformError

ENTRY_ROLE = 'entry'
BACKEND_ROLE = 'backend'
LIVE_STATE = 'live'
LEAVING_STATE = 'leaving'
_PATH = '/vms'


@dataclass(frozen=True, slots=True)
class Vm:
    """One VM as the platform last saw it."""

    name: str
    hall: str
    role: str
    address: str
    pool: str
    state: str = LIVE_STATE


ListVms = Callable[[], Awaitable[tuple[Vm, ...]]]


@dataclass(slots=True)
class _LastList:
    """The last list read and the tag that the service gave it."""

    etag: str = ''
    vms: tuple[Vm, ...] = ()


def _parse(content: Any, service: ServiceClient) -> tuple[Vm, ...]:
    try:
        return tuple(Vm(**row) for row in content)
    except TypeError as error:
        raise PlatformError(
            f'is not a VM list: {error}', step=_PATH, peer=service.url
        ) from error


def make_vm_lister(service: ServiceClient) -> ListVms:
    """Give the VM list behind `service`; it raises `PlatformError`.

    Explanation
    -----------
    A list that has not changed is not sent again: the request carries the
    tag of the last one [1]_.  One that has comes compressed.

    References
    ----------
    .. [1] RFC 9110, HTTP Semantics, section 13.1.2 (If-None-Match), 2022.

    """
    last = _LastList()

    async def list_vms() -> tuple[Vm, ...]:
        headers = {'accept-encoding': 'gzip'}
        if last.etag:
            headers['if-none-match'] = last.etag
        reply = await service.read(_PATH, headers=headers)
        if reply.status != HTTPStatus.NOT_MODIFIED:
            last.vms = _parse(reply.content, service)
            last.etag = reply.etag
        return last.vms

    return list_vms
