"""What all entries say of themselves and their agents."""

import asyncio
from dataclasses import dataclass
from typing import Any

from seampond.backing.http import Caller, open_client
from seampond.backing.vms import ENTRY_ROLE, Vm, http_vms
from seampond.errors import PlatformError
from seampond.operators.edits import Editor
from seampond.settings.models import OperatorSettings
from seampond.templates.follow import read_generation


@dataclass(frozen=True)
class FleetStatus:
    """The newest accepted generation and each entry's word."""

    generation: int
    entries: list[dict[str, Any]]
    unreachable: list[str]

    def as_json(self) -> dict[str, Any]:
        """Give it as JSON."""
        return {
            'generation': self.generation,
            'entries': self.entries,
            'silent': self.unreachable,
        }


async def read_status(
    editor: Editor, settings: OperatorSettings
) -> FleetStatus:
    """Ask every entry on the VM list.

    Raises
    ------
    PlatformError
        If the table service or the VM list does not answer.

    """
    platform = settings.platform
    async with open_client() as client:

        async def ask(vm: Vm) -> dict[str, Any] | None:
            caller = Caller(f'http://{vm.address}', client, platform.timeout_ms)
            try:
                reply = await caller.ask('/status')
            except PlatformError:
                return None
            status: dict[str, Any] = reply.content
            return status

        list_vms = http_vms(Caller(platform.vms, client, platform.timeout_ms))
        entries = [vm for vm in await list_vms() if vm.role == ENTRY_ROLE]
        answers = await asyncio.gather(*map(ask, entries))
    generation = await read_generation(editor.tables)
    answered = [answer for answer in answers if answer]
    unreachable = [
        vm.name
        for vm, answer in zip(entries, answers, strict=True)
        if not answer
    ]
    return FleetStatus(generation, answered, unreachable)
