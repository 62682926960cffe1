"""Status of all entries and their agents."""

import asyncio
from dataclasses import dataclass
from typing import Any

from seampond.backing.http_client import ServiceClient, open_client
from seampond.backing.vms import ENTRY_ROLE, Vm, make_vm_lister
from seampond.errors import PlatformError
from seampond.operators.edits import Editor
from seampond.settings.models import OperatorSettings
from seampond.templates.follow import read_generation


@dataclass(frozen=True)
class FleetStatus:
    """The newest accepted generation and the status of each entry."""

    generation: int
    entries: list[dict[str, Any]]
    unreachable: list[str]

    def as_json(self) -> dict[str, Any]:
        """Return the status as a dict for JSON output."""
        return {
            'generation': self.generation,
            'entries': self.entries,
            'silent': self.unreachable,
        }


async def read_status(
    editor: Editor, settings: OperatorSettings
) -> FleetStatus:
    """Request the status of every entry on the VM list.

    Raises
    ------
    PlatformError
        If the table service or the VM list does not respond.

    """
    platform = settings.platform
    async with open_client() as client:

        async def fetch_status(vm: Vm) -> dict[str, Any] | None:
            caller = ServiceClient(
                f'http://{vm.address}', client, platform.timeout_ms
            )
            try:
                reply = await caller.read('/status')
            except PlatformError:
                return None
            status: dict[str, Any] = reply.content
            return status

        list_vms = make_vm_lister(
            ServiceClient(platform.vms, client, platform.timeout_ms)
        )
        entries = [vm for vm in await list_vms() if vm.role == ENTRY_ROLE]
        statuses = await asyncio.gather(*map(fetch_status, entries))
    generation = await read_generation(editor.tables)
    answered = [status for status in statuses if status]
    unreachable = [
        vm.name
        for vm, status in zip(entries, statuses, strict=True)
        if not status
    ]
    return FleetStatus(generation, answered, unreachable)
