"""The entry process: its tasks, its drain and its end."""

from __future__ import annotations

import signal
from functools import partial

import curio
import logbook

from kingcupusher._admin import AdminApi
from kingcupusher._core import KingcupusherError, now_ms
from kingcupusher._core.signal_event import SignalEvent
from kingcupusher._entry.assembly import assemble, vm_listener
from kingcupusher._entry.control import Control
from kingcupusher._entry.parts import EntryParts
from kingcupusher._entry.registration import keep_registered
from kingcupusher._entry.tasks import Task, run_until_first_ends
from kingcupusher._entry.tracing import create_tracer
from kingcupusher._entry.vm_reader import read_vm_list
from kingcupusher._http.simple_server import serve
from kingcupusher._observe.logs import JsonHandler
from kingcupusher._platform import VmListClient
from kingcupusher._proxy import Proxy
from kingcupusher._settings import EntrySettings

# The balancer sees the entry as not ready before the entry stops accepting.
BALANCER_NOTICE_S = 1.0
DRAIN_POLL_S = 0.05
UPKEEP_S = 1.0
# Together with a notice to the other entries this stays below the 1 s in which news must reach all.
IDLE_CHECK_S = 0.25
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
    parts = await _assemble_unless_stopped(settings, stop)
    if parts is None:
        return
    control = Control(parts, stop)
    proxy = Proxy(parts.directory, tracer=tracer)
    served = curio.Event()
    serving = partial(_serve_callers, proxy, settings, served)
    drain = partial(_drain_when_asked, parts, control, proxy, stop, served)
    await run_until_first_ends(*_tasks(parts, control, stop), serving, drain)


async def _assemble_unless_stopped(settings: EntrySettings, stop: SignalEvent) -> EntryParts | None:
    async with curio.TaskGroup(wait=any) as group:
        assembling = await group.spawn(assemble, settings)
        await group.spawn(stop.wait)
    if assembling.exception is None:
        parts: EntryParts = assembling.result
        return parts
    if isinstance(assembling.exception, curio.TaskCancelled):
        return None
    raise assembling.exception


def _tasks(parts: EntryParts, control: Control, stop: SignalEvent) -> list[Task]:
    settings = parts.settings
    api = AdminApi(control, token=settings.admin_token)
    vm_list = VmListClient(settings.platform)
    return [
        parts.driver.run,
        parts.follower.run,
        partial(keep_registered, parts.registration, stop),
        parts.prober.run,
        partial(read_vm_list, vm_list, partial(vm_listener, parts)),
        partial(serve, settings.admin_address, api.handle),
        partial(_upkeep, parts),
        partial(_check_idle_connections, parts),
    ]


async def _serve_callers(proxy: Proxy, settings: EntrySettings, served: curio.Event) -> None:
    await proxy.serve(settings.caller_address)
    await served.set()
    # The drain ends the process; the other tasks must go on until it has released the seat.
    await curio.Event().wait()


async def _upkeep(parts: EntryParts) -> None:
    """Keep peers and idle connections up to date."""
    known: dict[int, object] = {}
    while True:
        own = parts.seat.member.seat
        peers = {s: m.peer for s, m in parts.follower.members.items() if s != own}
        if peers != known:
            await parts.transport.set_peers(peers)
            known = dict(peers)
        await parts.directory.close_retired()
        await curio.sleep(UPKEEP_S)


async def _check_idle_connections(parts: EntryParts) -> None:
    while True:
        await curio.sleep(IDLE_CHECK_S)
        await parts.directory.check_idle_connections(now_ms=now_ms())


async def _drain_when_asked(
    parts: EntryParts, control: Control, proxy: Proxy, stop: SignalEvent, served: curio.Event
) -> None:
    """Wait until asked to drain, then finish the requests in flight and end the connections."""
    await stop.wait()
    log.notice("draining", requests_in_flight=parts.directory.in_flight)
    control.start_drain()
    await parts.registration.release()
    await curio.sleep(BALANCER_NOTICE_S)
    deadline_ms = now_ms() + parts.settings.drain_timeout_ms
    await proxy.drain(deadline_ms=deadline_ms)
    await served.wait()
    while parts.directory.in_flight and now_ms() < deadline_ms:
        await curio.sleep(DRAIN_POLL_S)
    await parts.registration.leave()
    await parts.directory.close()
