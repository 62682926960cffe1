"""Interface to the VM list of the platform, which may be out of date."""

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
    """A VM as the platform last listed it."""

    name: str
    hall: str
    role: str
    address: str
    pool: str
    state: str = LIVE_STATE


ListVms = Callable[[], Awaitable[tuple[Vm, ...]]]


@dataclass(slots=True)
class _LastList:
    """The last list received and its entity tag."""

    etag: str = ''
    vms: tuple[Vm, ...] = ()


def _parse_vms(content: Any, service: ServiceClient) -> tuple[Vm, ...]:
    try:
        return tuple(Vm(**row) for row in content)
    except TypeError as error:
        raise PlatformError(
            f'invalid VM list: {error}', step=_PATH, peer=service.url
        ) from error


def make_vm_lister(service: ServiceClient) -> ListVms:
    """Return a function that lists the VMs or raises `PlatformError`.

    Explanation
    -----------
    Requests carry the entity tag of the last list, so an unchanged list is
    not sent again [1]_; a changed list is sent compressed.

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
            last.vms = _parse_vms(reply.content, service)
            last.etag = reply.etag
        return last.vms

    return list_vms
