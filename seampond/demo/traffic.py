"""Traffic of the demo: calls to every template of a deployment."""

import random
from collections.abc import Iterator
from dataclasses import dataclass

from seampond.demo.fleet import Fleet
from seampond.templates.models import Template, Workspace
from seampond.testing.caller import ChatRequest

_HISTORY_LENGTH = 24_000
_MEDIUM_LENGTH = 2400
_SHORT_LENGTH = 160
_HISTORY_COUNT = 4
_STREAM_FRACTION = 0.6


@dataclass(frozen=True, slots=True)
class Call:
    """One request of the demo."""

    number: int
    entry: int
    workspace: str
    template: Template
    tier: int
    chat: ChatRequest | None = None

    @property
    def idempotency_key(self) -> str:
        """The idempotency key; empty for repeatable templates."""
        return '' if self.template.repeatable else f'demo-{self.number}'


def _make_prompt(
    workspace: Workspace, template: Template, rng: random.Random
) -> str:
    if template.repeatable:
        length = rng.choice((_SHORT_LENGTH, _MEDIUM_LENGTH))
        return f'{template.name} {rng.random()} '.ljust(length, 'x')
    # Prompts of one member share a long prefix, which a server can cache.
    member = rng.randrange(_HISTORY_COUNT)
    history = f'{workspace.name} {member} '.ljust(_HISTORY_LENGTH, 'h')
    return f'{history} question {rng.random()}'


def _workspace_templates(fleet: Fleet) -> list[tuple[Workspace, Template]]:
    configuration = fleet.entries[0].components.holder.current
    return [
        (workspace, configuration.templates[name])
        for workspace in configuration.workspaces.values()
        for name in workspace.parameters
    ]


def make_calls(fleet: Fleet, count: int, seed: int) -> Iterator[Call]:
    """Yield `count` calls, cycling through workspaces and templates."""
    rng = random.Random(seed)
    pairs = _workspace_templates(fleet)
    for number in range(count):
        workspace, template = pairs[number % len(pairs)]
        chat = None
        if template.kind == 'model':
            chat = ChatRequest(
                template.name,
                _make_prompt(workspace, template, rng),
                rng.randint(4, template.answer_tokens // 2),
                is_stream=rng.random() < _STREAM_FRACTION,
            )
        yield Call(
            number,
            entry=rng.randrange(len(fleet.entries)),
            workspace=workspace.name,
            template=template,
            tier=workspace.parameters[template.name].tier,
            chat=chat,
        )
