"""Models of the settings of each role but the gateway."""

from typing import Annotated

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    StringConstraints,
)

_MAX_PORT = 65_535
_MIN_SECRET = 16
_HUNDRED_PERCENT = 1.0


def _check_address(text: str) -> str:
    host, colon, port = text.rpartition(':')
    if not host or not colon or not port.isdecimal():
        raise ValueError('write it as IP:PORT, for example 127.0.0.1:7001')
    if int(port) > _MAX_PORT:
        raise ValueError(f'a port is at most {_MAX_PORT}')
    return text


Address = Annotated[str, AfterValidator(_check_address)]
Name = Annotated[str, StringConstraints(pattern='^[a-z0-9][a-z0-9.-]{0,62}$')]
Url = Annotated[str, StringConstraints(pattern='^http://[^/]+$')]
PositiveMs = Annotated[int, Field(gt=0)]


class Section(BaseModel):
    """Base of all sections; unknown keys are errors."""

    model_config = ConfigDict(extra='forbid', frozen=True)


class LinkSettings(Section):
    """Links between entries and agents."""

    secret: str = Field(min_length=_MIN_SECRET)
    heartbeat_ms: PositiveMs = 1000
    silence_ms: PositiveMs = 4000


class PlatformSettings(Section):
    """Addresses of the platform's services."""

    tables: Url
    objects: Url
    vms: Url
    timeout_ms: PositiveMs = 2000


class LogSettings(Section):
    """Settings of the log."""

    level: str = Field(default='INFO', pattern='^(DEBUG|INFO|WARNING|ERROR)$')


class RoutingSettings(Section):
    """How an entry schedules and sheds requests."""

    waiting_max: int = Field(default=2000, gt=0)
    waiting_max_bytes: int = Field(default=24_000_000, gt=0)
    reservations: int = Field(default=3, gt=0)
    links_per_pool: int = Field(default=24, gt=0)
    spill_tokens_per_ms: float = Field(default=8.0, gt=0)
    spill_max_ms: PositiveMs = 400
    server_wait_ms: int = Field(default=2000, ge=0)
    attempts_max: int = Field(default=3, gt=0)
    retry_share: float = Field(default=0.1, ge=0, le=_HUNDRED_PERCENT)
    resume_ms: PositiveMs = 10_000
    body_max_bytes: int = Field(default=8_388_608, gt=0)
    connections_max: int = Field(default=3000, gt=0)
    arriving_max_bytes: int = Field(default=33_554_432, gt=0)


class EntrySettings(Section):
    """Settings of `seampond entry`."""

    name: Name
    hall: Name
    listen: Address
    drain_ms: PositiveMs = 120_000
    linger_ms: int = Field(default=1000, ge=0)
    config_poll_ms: PositiveMs = 1000
    vms_poll_ms: PositiveMs = 1000
    links: LinkSettings
    platform: PlatformSettings
    routing: RoutingSettings = RoutingSettings()
    logs: LogSettings = LogSettings()


class BackendSettings(Section):
    """The backend server beside an agent."""

    url: Url
    pool: Name
    kind: str = Field(pattern='^(model|service)$')
    slots: int = Field(default=8, gt=0)
    slots_max: int = Field(default=64, gt=0)
    queue_max: int = Field(default=512, gt=0)
    timeout_ms: PositiveMs = 120_000


class AgentSettings(Section):
    """Settings of `seampond agent`."""

    name: Name
    hall: Name
    listen: Address
    status_listen: Address
    drain_ms: PositiveMs = 120_000
    ask_ms: PositiveMs = 2000
    keep_ms: PositiveMs = 60_000
    hold_down_ms: PositiveMs = 1000
    orphan_ms: PositiveMs = 10_000
    backend: BackendSettings
    links: LinkSettings
    platform: PlatformSettings
    logs: LogSettings = LogSettings()


class VmSettings(Section):
    """One row of the stand-in's list of VMs."""

    name: Name
    hall: Name
    role: str = Field(pattern='^(entry|backend)$')
    address: Address
    pool: str = ''


class PlatformStandInSettings(Section):
    """Settings of `seampond platform`, the stand-in for the platform."""

    listen: Address
    list_lag_ms: int = Field(default=1000, ge=0)
    answer_delay_ms: int = Field(default=1, ge=0)
    vms: tuple[VmSettings, ...] = ()
    seed_file: str = ''
    logs: LogSettings = LogSettings()


class EngineStandInSettings(Section):
    """Settings of `seampond engine`, the stand-in for a backend server."""

    listen: Address
    kind: str = Field(default='model', pattern='^(model|service)$')
    prefill_tokens_per_s: float = Field(default=8000, gt=0)
    decode_tokens_per_s: float = Field(default=40, gt=0)
    batch_max: int = Field(default=16, gt=0)
    cache_tokens: int = Field(default=200_000, ge=0)
    service_ms: PositiveMs = 5
    report_lag_ms: int = Field(default=1000, ge=0)
    event_loss: float = Field(default=0.1, ge=0, le=_HUNDRED_PERCENT)
    seed: int = 1
    logs: LogSettings = LogSettings()


class OperatorSettings(Section):
    """Settings of the operators' commands."""

    author: str = Field(min_length=1)
    platform: PlatformSettings
