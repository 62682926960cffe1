"""Validated models of templates and workspaces."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, StringConstraints

HIGHEST_TIER = 1
LOWEST_TIER = 5
_DEFAULT_DEADLINE_MS = 60_000
_DEFAULT_ANSWER_TOKENS = 256

Name = Annotated[str, StringConstraints(pattern='^[a-z0-9][a-z0-9-]{0,62}$')]


class RowModel(BaseModel):
    """Base of immutable models; unknown fields are errors."""

    model_config = ConfigDict(extra='forbid', frozen=True)


class Template(RowModel):
    """A kind of work.

    Explanation
    -----------
    `kind` is ``model`` for chat completions, ``service`` for calls to a
    service; `pool` names the backend servers that run it.  Work that is not
    `repeatable` runs at most once for each idempotency key.
    """

    name: Name
    kind: str = Field(default='model', pattern='^(model|service)$')
    pool: Name
    model: str = ''
    repeatable: bool = True
    deadline_ms: int = Field(default=_DEFAULT_DEADLINE_MS, gt=0)
    answer_tokens: int = Field(default=_DEFAULT_ANSWER_TOKENS, gt=0)


class Parameters(RowModel):
    """Parameters of a workspace for one template.

    Explanation
    -----------
    `tier` 1 is the highest; `requests_per_s` and `tokens_per_s` (of prompts)
    are the rates that the workspace pays for; work that `may_wait` is queued
    during a burst instead of being refused.
    """

    tier: int = Field(ge=HIGHEST_TIER, le=LOWEST_TIER)
    requests_per_s: float = Field(default=100, gt=0)
    tokens_per_s: float = Field(default=100_000, gt=0)
    may_wait: bool = False


class Workspace(RowModel):
    """A workspace with its key hashes and parameters."""

    name: Name
    key_hashes: tuple[str, ...] = ()
    parameters: dict[Name, Parameters] = Field(default_factory=dict)
