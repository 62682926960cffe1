"""Starlette routes of the operators' pages."""

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from seampond.pages import Pages, render_page


def make_page_routes(pages: Pages) -> list[Route]:
    """Return a route for each page."""

    async def show(request: Request) -> Response:
        page = render_page(pages, request.url.path)
        return Response(page.body, page.status, media_type=page.media_type)

    return [Route(path, show) for path in pages.paths]
