"""The entry process: start, tasks and graceful shutdown."""

from __future__ import annotations

import signal
from functools import partial

import curio
import logbook

from kingcupusher._admin import AdminApi
from kingcupusher._core import KingcupusherError, now_ms
from kingcupusher._core.signal_event import SignalEvent
from kingcupusher._entry.admin_control import AdminControl
from kingcupusher._entry.assembly import apply_vm_list, assemble
from kingcupusher._entry.components import EntryComponents
from kingcupusher._entry.registration import run_registration
from kingcupusher._entry.tasks import Task, run_until_first_ends
from kingcupusher._entry.tracing import create_tracer
from kingcupusher._entry.vm_list_poller import poll_vm_list
from kingcupusher._http.simple_server import serve
from kingcupusher._observe.logs import JsonHandler
from kingcupusher._platform import VmListClient
from kingcupusher._proxy import Proxy
from kingcupusher._settings import EntrySettings

# The balancer must see that the entry is not ready before the entry stops accepting.
UNREADY_DELAY_S = 1.0
DRAIN_CHECK_INTERVAL_S = 0.05
MAINTENANCE_INTERVAL_S = 1.0
# A closed target must be known to all entries within 1 s, including the notice to them.
IDLE_CHECK_INTERVAL_S = 0.25
EXIT_FAILURE = 1

log = logbook.Logger("entry")


def run_entry(settings: EntrySettings) -> int:
    """Run one entry until it is drained; return the exit status."""
    handler = JsonHandler(settings.log_level, vm=settings.vm_id, zone=settings.zone)
    with handler.applicationbound():
        try:
            curio.run(_run, settings)
        except (KingcupusherError, OSError) as error:
            log.error("entry failed", error=str(error))
            return EXIT_FAILURE
        except Exception:
            log.exception("entry failed unexpectedly")
            return EXIT_FAILURE
        log.info("entry ended")
        return 0


async def _run(settings: EntrySettings) -> None:
    stop = SignalEvent()
    stop.set_on_signals((signal.SIGTERM, signal.SIGINT))
    tracer = create_tracer(settings)
    components = await _assemble_unless_stopped(settings, stop)
    if components is None:
        return
    control = AdminControl(components, stop)
    proxy = Proxy(components.load_balancer, tracer=tracer)
    serving_ended = curio.Event()
    serving = partial(_serve_callers, proxy, settings, serving_ended)
    drain = partial(_drain_on_stop, components, control, proxy, stop, serving_ended)
    await run_until_first_ends(*_background_tasks(components, control, stop), serving, drain)


async def _assemble_unless_stopped(
    settings: EntrySettings, stop: SignalEvent
) -> EntryComponents | None:
    async with curio.TaskGroup(wait=any) as group:
        assembling = await group.spawn(assemble, settings)
        await group.spawn(stop.wait)
    if assembling.exception is None:
        components: EntryComponents = assembling.result
        return components
    if isinstance(assembling.exception, curio.TaskCancelled):
        return None
    raise assembling.exception


def _background_tasks(
    components: EntryComponents, control: AdminControl, stop: SignalEvent
) -> list[Task]:
    settings = components.settings
    api = AdminApi(control, token=settings.admin_token)
    vm_list = VmListClient(settings.platform)
    return [
        components.driver.run,
        components.watcher.run,
        partial(run_registration, components.registration, stop),
        components.prober.run,
        partial(poll_vm_list, vm_list, partial(apply_vm_list, components)),
        partial(serve, settings.admin_address, api.handle),
        partial(_run_maintenance, components),
        partial(_check_idle_connections, components),
    ]


async def _serve_callers(proxy: Proxy, settings: EntrySettings, serving_ended: curio.Event) -> None:
    await proxy.serve(settings.caller_address)
    await serving_ended.set()
    # The drain task ends the process; the other tasks must run until it has released the seat.
    await curio.Event().wait()


async def _run_maintenance(components: EntryComponents) -> None:
    """Update the peer addresses and close unused connections periodically."""
    current: dict[int, object] = {}
    while True:
        own = components.reservation.member.seat
        peers = {s: m.peer_endpoint for s, m in components.watcher.members.items() if s != own}
        if peers != current:
            await components.transport.set_peers(peers)
            current = dict(peers)
        await components.load_balancer.close_unused_connections()
        await curio.sleep(MAINTENANCE_INTERVAL_S)


async def _check_idle_connections(components: EntryComponents) -> None:
    while True:
        await curio.sleep(IDLE_CHECK_INTERVAL_S)
        await components.load_balancer.check_idle_connections(now_ms=now_ms())


async def _drain_on_stop(
    components: EntryComponents,
    control: AdminControl,
    proxy: Proxy,
    stop: SignalEvent,
    serving_ended: curio.Event,
) -> None:
    """Wait for a stop request, finish the requests in flight and close the connections."""
    await stop.wait()
    log.notice("draining", requests_in_flight=components.load_balancer.in_flight)
    control.start_drain()
    await components.registration.release_groups()
    await curio.sleep(UNREADY_DELAY_S)
    deadline_ms = now_ms() + components.settings.drain_timeout_ms
    await proxy.drain(deadline_ms=deadline_ms)
    await serving_ended.wait()
    while components.load_balancer.in_flight and now_ms() < deadline_ms:
        await curio.sleep(DRAIN_CHECK_INTERVAL_S)
    await components.registration.release_seat()
    await components.load_balancer.close()
