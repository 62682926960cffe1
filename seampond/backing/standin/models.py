"""Request bodies of the platform stand-ins."""

from typing import Any

from pydantic import BaseModel, ConfigDict


class StrictModel(BaseModel):
    """Base model that rejects unknown fields."""

    model_config = ConfigDict(extra='forbid')


class CheckBody(StrictModel):
    """A condition of a transaction."""

    table: str
    key: str
    version: int


class WriteBody(StrictModel):
    """A write of a transaction; content None deletes the row."""

    table: str
    key: str
    content: dict[str, Any] | None = None


class Transaction(StrictModel):
    """A transaction: all writes are applied if all checks hold."""

    checks: tuple[CheckBody, ...]
    writes: tuple[WriteBody, ...]


class VmRow(StrictModel):
    """A VM of the list."""

    name: str
    hall: str
    role: str
    address: str
    pool: str = ''
    state: str = 'live'


class Faults(StrictModel):
    """The faults to inject.

    Parameters
    ----------
    down : bool
        Whether every call fails at once.
    slow_ms : int
        Delay before each response.
    lose_answers : int
        How many writes take effect without a response.
    list_lag_ms : int
        How far the VM list is out of date.

    """

    down: bool = False
    slow_ms: int = 0
    lose_answers: int = 0
    list_lag_ms: int = 0
