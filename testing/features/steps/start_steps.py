"""Steps for the start of an entry on the users' platform."""

from __future__ import annotations

import gc
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import curio
from behave import given, then, when

from kingcupusher._core import now_ms
from kingcupusher._core.address import Address
from kingcupusher._core.startup import listen, startup_imports
from kingcupusher._http.pipeline_limits import PipelineLimits
from kingcupusher._http.pipeline_listener import PipelineListener
from standins.ports import free_address
from testing.process_table import handles_signal

ROOT = Path(__file__).resolve().parents[3]
LOOPBACK = Address("127.0.0.1", 0)
BACKLOG = 8
TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.005
COMMAND = [sys.executable, str(ROOT / "platform" / "run_entry.py")]
REQUEST = b"GET / HTTP/1.1\r\nhost: h.example\r\n\r\n"
REQUEST_PATH_LIBRARIES = {"curio", "h11", "websockets", "cbor2", "asyncio"}
LIST_MODULES_SCRIPT = """\
import sys
import kingcupusher_platform.settings
print(" ".join(sys.modules))
"""

LIST_LIBRARIES_SCRIPT = """\
from kingcupusher._core.startup import startup_imports

with startup_imports():
    import kingcupusher._gateway.process
    import kingcupusher_platform.headers
    import kingcupusher_platform.store
print("before:", [word for word in open("/proc/self/maps").read().split() if "/lib" in word])
import ssl
print("after:", ssl.OPENSSL_VERSION)
"""


@when("all modules of an entry are imported")
def when_all_imported(context):
    command = [sys.executable, "-c", LIST_LIBRARIES_SCRIPT]
    result = subprocess.run(command, capture_output=True, text=True, timeout=TIMEOUT_S, check=True)
    context.libraries, context.version = result.stdout.splitlines()


@then("OpenSSL is not loaded, and can still be imported later")
def then_without_openssl(context):
    assert "libssl" not in context.libraries and "libcrypto" not in context.libraries
    assert "OpenSSL" in context.version, context.version


@given("a listening socket to which a caller has sent a request")
def given_early_caller(context):
    context.listening = listen(LOOPBACK, backlog=BACKLOG)
    context.caller = socket.create_connection(context.listening.getsockname(), timeout=TIMEOUT_S)
    context.add_cleanup(context.caller.close)
    context.caller.sendall(REQUEST)


@when("the listener starts to accept on the socket")
def when_accepting(context):
    async def handle(caller):
        await caller.respond(204, [], b"", b"")

    async def main():
        listener = PipelineListener(context.listening, handle, limits=PipelineLimits())
        accepting = await curio.spawn(listener.run, daemon=True)
        async with curio.timeout_after(TIMEOUT_S):
            context.received = await curio.run_in_thread(context.caller.recv, 65_536)
        await accepting.cancel()

    curio.run(main)


@then("the caller receives a response")
def then_response(context):
    assert context.received.startswith(b"HTTP/1.1 204"), context.received


@when("only the settings module of an entry is imported")
def when_settings_imported(context):
    paths = [str(ROOT / "src"), str(ROOT / "platform"), os.environ.get("PYTHONPATH", "")]
    environment = os.environ | {"PYTHONPATH": os.pathsep.join(paths)}
    command = [sys.executable, "-c", LIST_MODULES_SCRIPT]
    output = subprocess.check_output(command, env=environment, timeout=TIMEOUT_S, text=True)
    context.modules = set(output.split())


@then("no library of the request path is imported")
def then_not_imported(context):
    assert not context.modules & REQUEST_PATH_LIBRARIES, context.modules


@then("garbage collection is enabled again after a failed import")
def then_gc_enabled(context):
    context.add_cleanup(signal.signal, signal.SIGHUP, signal.getsignal(signal.SIGHUP))
    try:
        with startup_imports():
            assert not gc.isenabled()
            raise ImportError
    except ImportError:
        pass
    assert gc.isenabled()


def _write_settings(context, address):
    """Write a settings file with ``address`` for callers and free ports for the other addresses."""
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.settings = Path(directory.name) / "boot.toml"
    metrics = free_address()
    rows = {
        "frontend": str(address),
        "readiness": str(free_address()),
        "controlPlane": str(free_address()),
    }
    lines = ['nodeName = "e1"', 'zone = "a"', f'ipAddress = "{metrics.host}"']
    lines += [f"internalPortRange = [{metrics.port}, {metrics.port}]", "[listenAddresses]"]
    lines += [f"{name} = {json.dumps(value)}" for name, value in rows.items()]
    lines += ["[platform]", 'address = "127.0.0.1:3"']
    context.settings.write_text("\n".join(lines), encoding="utf-8")
    context.environment = os.environ | {"KINGCUPUSHER_SETTINGS": str(context.settings)}


@given("the settings of an entry whose store is unreachable")
def given_settings(context):
    context.address = free_address()
    _write_settings(context, context.address)


@when("the entry is started and gets SIGHUP as soon as it accepts connections")
def when_hangup_early(context):
    process = subprocess.Popen(COMMAND, env=context.environment, stdout=subprocess.DEVNULL)
    context.add_cleanup(process.kill)
    deadline_ms = now_ms() + TIMEOUT_S * 1000.0
    while socket.socket().connect_ex(context.address) and now_ms() < deadline_ms:
        time.sleep(POLL_INTERVAL_S)
    process.send_signal(signal.SIGHUP)
    # SIGTERM has its handler once the imports are over.
    while _is_importing(process) and now_ms() < deadline_ms:
        time.sleep(POLL_INTERVAL_S)
    context.process = process


def _is_importing(process):
    return process.poll() is None and not handles_signal(process.pid, signal.SIGTERM)


@then("it keeps running and exits with status 0 after SIGTERM")
def then_keeps_running(context):
    # The default action of SIGHUP ends a process that has not installed its handler yet.
    assert context.process.poll() is None, context.process.returncode
    context.process.terminate()
    assert context.process.wait(TIMEOUT_S) == 0, context.process.returncode


@given("the settings of an entry whose address is in use")
def given_used_address(context):
    taken = listen(LOOPBACK, backlog=BACKLOG)
    context.add_cleanup(taken.close)
    context.address = Address(*taken.getsockname())
    _write_settings(context, context.address)


@when("the entry is started")
def when_started(context):
    context.result = subprocess.run(
        COMMAND, env=context.environment, timeout=TIMEOUT_S, capture_output=True, text=True
    )


@then("it exits with status 1 and names the address")
def then_names_address(context):
    assert context.result.returncode == 1, context.result
    assert f"cannot listen on {context.address}" in context.result.stderr, context.result
