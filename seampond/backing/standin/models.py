"""What the stand-ins accept over HTTP."""

from typing import Any

from pydantic import BaseModel, ConfigDict


class StrictModel(BaseModel):
    """Base: unknown fields are errors."""

    model_config = ConfigDict(extra='forbid')


class CheckBody(StrictModel):
    """A condition of a transaction."""

    table: str
    key: str
    version: int


class WriteBody(StrictModel):
    """A write of a transaction; no content deletes."""

    table: str
    key: str
    content: dict[str, Any] | None = None


class Transaction(StrictModel):
    """All writes if all checks hold."""

    checks: tuple[CheckBody, ...]
    writes: tuple[WriteBody, ...]


class VmRow(StrictModel):
    """One VM in the list."""

    name: str
    hall: str
    role: str
    address: str
    pool: str = ''
    state: str = 'live'


class Faults(StrictModel):
    """The faults in force."""

    down: bool = False
    slow_ms: int = 0
    lose_answers: int = 0
    list_lag_ms: int = 0
