"""Entry process on a platform whose targets register themselves: tasks, drain and shutdown."""

from __future__ import annotations

import signal
import socket
import traceback
from collections.abc import Awaitable, Callable
from random import Random

import curio

from kingcupusher._core import now_ms
from kingcupusher._core.signal_event import SignalEvent
from kingcupusher._discovery import Catalog, StoreFollower
from kingcupusher._gateway.customer_quotas import CustomerQuotas
from kingcupusher._gateway.exchange import Exchange
from kingcupusher._gateway.header_codec import HeaderCodec
from kingcupusher._gateway.platform_store import PlatformStore
from kingcupusher._gateway.rollouts import RolloutControl
from kingcupusher._gateway.settings import GatewaySettings
from kingcupusher._gateway.state import GatewayState
from kingcupusher._gateway.status_pages import StatusPages
from kingcupusher._http.caller_request import CallerRequest
from kingcupusher._http.close_reason import CloseReason
from kingcupusher._http.pipeline import PipelinedConnection
from kingcupusher._http.pipeline_limits import PipelineLimits
from kingcupusher._http.pipeline_listener import PipelineListener
from kingcupusher._observe.events import EventLog
from kingcupusher._observe.metrics_registry import Labels, labels
from kingcupusher._observe.runtime_log import log_runtime_messages
from kingcupusher._relay import LeadLink, LeadServer, ReaderSlot, RelayServer, Subscriptions

MAINTENANCE_INTERVAL_S = 0.5
DRAIN_POLL_INTERVAL_S = 0.02
TASK_RESTART_DELAY_S = 0.5
MAX_TRACEBACK_CHARS = 2_000

SettingsLoader = Callable[[], GatewaySettings]


def run_gateway(
    settings: GatewaySettings,
    *,
    store: PlatformStore,
    header_codec: HeaderCodec,
    reload_settings: SettingsLoader,
    log: EventLog,
    listen_socket: socket.socket,
) -> None:
    """Run one entry until SIGTERM; callers connect to ``listen_socket``."""
    log_runtime_messages(log)
    process = GatewayProcess(
        settings,
        store=store,
        header_codec=header_codec,
        log=log,
        reload_settings=reload_settings,
        listen_socket=listen_socket,
    )
    curio.run(process.run)


class GatewayProcess:
    """Runs the tasks of one entry."""

    __slots__ = (
        "_customer_quotas",
        "_listen_socket",
        "_follower",
        "_gateway",
        "_lead_link",
        "_lead_server",
        "_limits",
        "_listener",
        "_log",
        "_reader_slot",
        "_relay",
        "_reload_settings",
        "_rollout_control",
        "_status_pages",
        "_store",
        "_subscriptions",
    )

    def __init__(
        self,
        settings: GatewaySettings,
        *,
        store: PlatformStore,
        header_codec: HeaderCodec,
        log: EventLog,
        reload_settings: SettingsLoader,
        listen_socket: socket.socket,
    ) -> None:
        catalog = Catalog()
        self._listen_socket = listen_socket
        self._log = log
        self._store = store
        self._reload_settings = reload_settings
        self._gateway = GatewayState(settings, catalog, header_codec, log, store=store)
        self._limits = PipelineLimits()
        self._reader_slot = ReaderSlot(
            store,
            catalog,
            entry=settings.entry,
            zone=settings.zone,
            address=settings.relay_address,
            link_mbps=settings.link_mbps,
            rng=Random(),
            on_event=self._gateway.on_event,
        )
        self._follower = StoreFollower(
            store,
            catalog,
            is_reader=lambda: self._reader_slot.is_held,
            on_event=self._gateway.on_event,
            heartbeat_ms=settings.heartbeat_ms,
        )
        self._lead_server = LeadServer()
        self._lead_link = LeadLink(
            catalog,
            self._lead_server,
            entry=settings.entry,
            is_needed=self._is_lead_needed,
            on_event=self._gateway.on_event,
        )
        self._rollout_control = RolloutControl(
            catalog,
            self._gateway.rollout_traffic,
            self._lead_link,
            self._lead_server,
            store,
            on_event=self._gateway.on_event,
            rng=Random(),
        )
        self._customer_quotas = CustomerQuotas(
            catalog,
            self._lead_link,
            self._lead_server,
            metrics=self._gateway.metrics,
            log=log,
            rng=Random(),
        )
        self._gateway.customer_quotas = self._customer_quotas
        self._relay = RelayServer(
            settings.relay_address,
            self._follower,
            catalog,
            entry=settings.entry,
            lead_server=self._lead_server,
        )
        self._subscriptions = Subscriptions(
            self._follower,
            catalog,
            entry=settings.entry,
            zone=settings.zone,
            seeds=settings.seeds,
            on_event=self._gateway.on_event,
        )
        self._status_pages = StatusPages(self._gateway, is_ready=lambda: self.is_ready)
        self._gateway.metrics.add_gauges(self._gauges)
        self._listener: PipelineListener | None = None
        catalog.listeners.append(self._on_catalog_event)

    @property
    def catalog(self) -> Catalog:
        """Routes, targets, zones and entries that this entry knows."""
        return self._gateway.catalog

    @property
    def is_ready(self) -> bool:
        """Whether the balancer should send new connections here."""
        return self._gateway.catalog.has_routes and not self._gateway.drain.is_started

    async def run(self) -> None:
        """Serve until SIGTERM, then finish the requests in flight."""
        settings = self._gateway.settings
        stop = SignalEvent()
        stop.set_on_signals((signal.SIGTERM, signal.SIGINT))
        self._listener = PipelineListener(
            self._listen_socket,
            self._handle,
            limits=self._limits,
            on_closed=self._record_close,
            resources=self._gateway.caller_resources,
        )
        accepting = await curio.spawn(self._listener.run, daemon=True)
        for task in (
            self._follower.run,
            self._reader_slot.run,
            self._relay.run,
            self._subscriptions.run,
            self._lead_link.run,
            self._customer_quotas.run,
            self._status_pages.run_readiness_server,
            self._status_pages.run_metrics_server,
            self._run_maintenance,
            self._gateway.crash_reports.run,
            self._rollout_control.run_reports,
            self._rollout_control.run_lead,
            self._reload_on_sighup,
        ):
            await curio.spawn(self._run_supervised, task, daemon=True)
        self._log.event("start", callers=str(settings.caller_address))
        await stop.wait()
        await self._drain(accepting)
        self._log.event("stop")

    async def _run_supervised(self, run: Callable[[], Awaitable[None]]) -> None:
        """Run a task of the entry until cancelled; start it again after an unexpected error.

        An entry without one of its tasks would go on serving with a state that grows old.
        """
        while True:
            try:
                await run()
            except Exception as error:
                reason = "".join(traceback.format_exception(error))[-MAX_TRACEBACK_CHARS:]
                self._gateway.on_event("task failed", task=run.__qualname__, reason=reason)
            await curio.sleep(TASK_RESTART_DELAY_S)

    async def _drain(self, accepting: curio.Task) -> None:
        """Report not ready until the balancer stops sending, then finish the accepted requests."""
        assert self._listener is not None
        drain = self._gateway.drain
        grace_period_ms = self._gateway.settings.fleet_limits.grace_period_ms
        drain.start(grace_period_ms=grace_period_ms, now_ms=now_ms())
        await curio.spawn(drain.interrupt_at_deadline, daemon=True)
        self._log.event("draining", connections=self._listener.connection_count)
        self._listener.start_drain()
        await curio.sleep((drain.last_send_ms - now_ms()) / 1000.0)
        await accepting.cancel()
        await self._listener.close()
        while self._listener.connection_count and now_ms() < drain.end_ms:
            await self._listener.close_idle()
            await curio.sleep(DRAIN_POLL_INTERVAL_S)

    async def _handle(self, caller: CallerRequest) -> None:
        await Exchange(caller, self._gateway).run()

    def _record_close(self, connection: PipelinedConnection) -> None:
        """Count the end of a caller connection; log it if the entry left requests unanswered."""
        reason = connection.close_reason or CloseReason.CALLER
        unanswered = connection.unanswered_count
        key = labels(reason=reason.value, unanswered="yes" if unanswered else "no")
        self._gateway.metrics.count("connections_closed_total", key)
        if unanswered and reason is not CloseReason.CALLER:
            self._log.event("requests cut", reason=reason.value, unanswered=unanswered)

    def _is_lead_needed(self) -> bool:
        """Return whether a quota or a rollout is decided for the whole fleet now."""
        return self._customer_quotas.is_needed or self._gateway.catalog.rollout_states.needs_lead

    def _gauges(self) -> dict[tuple[str, Labels], float]:
        current_ms = now_ms()
        return (
            self._gateway.gauges(now_ms=current_ms)
            | self._rollout_control.gauges()
            | self._customer_quotas.gauges(now_ms=current_ms)
            | {(name, ()): value for name, value in self._follower.gauges().items()}
            | {
                ("is_reader", ()): float(self._reader_slot.is_held),
                ("caller_connections", ()): self._connection_count,
                ("is_ready", ()): float(self.is_ready),
                ("store_calls_total", ()): self._store.call_count,
            }
        )

    @property
    def _connection_count(self) -> int:
        return self._listener.connection_count if self._listener else 0

    async def _run_maintenance(self) -> None:
        while True:
            await curio.sleep(MAINTENANCE_INTERVAL_S)
            self._gateway.catalog.remove_lapsed_targets(now_ms=now_ms())
            await self._gateway.target_clients.close_unused()
            self._log.flush()

    async def _reload_on_sighup(self) -> None:
        hangup = SignalEvent()
        hangup.set_on_signals((signal.SIGHUP,))
        while True:
            await hangup.wait_and_clear()
            self._log.event("settings changed", entry_name=self._reload_settings().entry)

    def _on_catalog_event(self, event: str, fields: dict[str, object]) -> None:
        table = self._gateway.catalog.route_table
        if event == "routes in force" and table is not None:
            limits = table.limits
            self._limits.max_head_bytes = limits.max_head_bytes
            self._limits.max_body_bytes = limits.max_body_bytes
            self._limits.head_timeout_ms = limits.head_timeout_ms
            self._limits.idle_timeout_ms = limits.idle_timeout_ms
            self._customer_quotas.on_routes(table)
        self._gateway.on_event(event, **fields)
