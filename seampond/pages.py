"""Health, status and metrics pages of the daemons."""

import json
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

from prometheus_client import (
    CONTENT_TYPE_LATEST,
    CollectorRegistry,
    generate_latest,
)

READY_PATH = '/readyz'
_TEXT = 'text/plain; charset=utf-8'


@dataclass(frozen=True)
class Pages:
    """Sources of the page contents.

    Parameters
    ----------
    ready_path : str
        Path of the readiness check of the balancer.

    """

    registry: CollectorRegistry
    is_ready: Callable[[], bool]
    show_status: Callable[[], dict[str, object]]
    ready_path: str = READY_PATH

    @property
    def paths(self) -> tuple[str, ...]:
        """The paths of the pages."""
        return ('/metrics', '/healthz', self.ready_path, '/status')


@dataclass(frozen=True, slots=True)
class RenderedPage:
    """A rendered page."""

    body: bytes
    media_type: str = _TEXT
    status: HTTPStatus = HTTPStatus.OK


def render_page(pages: Pages, path: str) -> RenderedPage:
    """Return the page at a path; unknown paths give 404."""
    if path == pages.ready_path:
        if pages.is_ready():
            return RenderedPage(b'ready\n')
        return RenderedPage(
            b'not ready\n', status=HTTPStatus.SERVICE_UNAVAILABLE
        )
    if path == '/metrics':
        return RenderedPage(
            generate_latest(pages.registry), CONTENT_TYPE_LATEST
        )
    if path == '/status':
        text = json.dumps(pages.show_status())
        return RenderedPage(text.encode(), 'application/json')
    if path == '/healthz':
        return RenderedPage(b'ok\n')
    return RenderedPage(b'not found\n', status=HTTPStatus.NOT_FOUND)
