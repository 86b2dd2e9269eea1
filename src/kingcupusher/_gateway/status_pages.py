"""Pages of an entry: readiness for the balancer, and metrics and explanations for operators."""

from __future__ import annotations

from collections.abc import Callable

from kingcupusher._gateway.explanation import EXPLAIN_PATH, respond_to_question
from kingcupusher._gateway.state import GatewayState
from kingcupusher._http.simple_client import Response
from kingcupusher._http.simple_server import Request, serve

METRICS_PATH = "/metrics"


class StatusPages:
    """Serves the pages; ``is_ready`` tells whether the balancer should send new connections."""

    __slots__ = ("_gateway", "_is_ready")

    def __init__(self, gateway: GatewayState, *, is_ready: Callable[[], bool]) -> None:
        self._gateway = gateway
        self._is_ready = is_ready

    async def run_readiness_server(self) -> None:
        """Serve the readiness page until cancelled."""
        await serve(self._gateway.settings.readiness_address, self._handle_readiness)

    async def run_metrics_server(self) -> None:
        """Serve metrics and explanations until cancelled."""
        await serve(self._gateway.settings.metrics_address, self.handle_metrics)

    async def handle_metrics(self, request: Request) -> Response:
        """Respond to a request at the metrics address."""
        if request.path == EXPLAIN_PATH:
            return respond_to_question(request, self._gateway)
        if request.path != METRICS_PATH:
            return Response(404, [], b"")
        headers = [(b"content-type", b"text/plain; version=0.0.4; charset=utf-8")]
        return Response(200, headers, self._gateway.metrics.render())

    async def _handle_readiness(self, request: Request) -> Response:  # noqa: ARG002
        return Response(200 if self._is_ready() else 503, [], b"")
