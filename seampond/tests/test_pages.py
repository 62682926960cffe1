"""The operators' page must document every setting, cause and metric."""

import unittest
from collections.abc import Iterator
from pathlib import Path

import msgspec
from pydantic import BaseModel

from seampond.forwarding.refusals import Cause
from seampond.metrics import AgentMetrics, EntryMetrics
from seampond.metrics.gateway import GatewayMetrics
from seampond.requests import Reason
from seampond.settings.gateway import GatewaySettings, Section
from seampond.settings.load import ROLES

PAGE = Path(__file__).resolve().parents[2] / 'docs' / 'OPERATORS.md'


def keys(model: type[BaseModel], start: str = '') -> Iterator[str]:
    for name, field in model.model_fields.items():
        inner = field.annotation
        if isinstance(inner, type) and issubclass(inner, BaseModel):
            yield from keys(inner, f'{start}{name}.')
        else:
            yield f'{start}{name}'


def gateway_keys(model: type[Section], start: str = '') -> Iterator[str]:
    for field in msgspec.structs.fields(model):
        if isinstance(field.type, type) and issubclass(field.type, Section):
            yield from gateway_keys(field.type, f'{start}{field.name}.')
        else:
            yield f'{start}{field.name}'


class OperatorsPageTest(unittest.TestCase):
    def setUp(self) -> None:
        self.page = PAGE.read_text(encoding='utf-8')

    def assert_named(self, name: str) -> None:
        self.assertIn(f'| `{name}` |', self.page)

    def test_every_setting_is_named(self) -> None:
        for model in ROLES.values():
            if issubclass(model, BaseModel):
                names = list(keys(model))
            else:
                names = list(gateway_keys(GatewaySettings))
            self.assertGreater(len(names), 1)
            for key in names:
                self.assert_named(key)

    def test_every_reason_is_named(self) -> None:
        for reason in Reason:
            self.assert_named(reason.value)

    def test_every_cause_is_named(self) -> None:
        for cause in Cause:
            self.assert_named(cause.value)

    def test_every_metric_is_named(self) -> None:
        for metrics in (EntryMetrics(), AgentMetrics(), GatewayMetrics()):
            for metric in metrics.registry.collect():
                if metric.name.startswith('seampond'):
                    self.assert_named(metric.name)
