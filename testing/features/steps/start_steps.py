"""Steps for the start of an entry on the users' platform."""

from __future__ import annotations

import gc
import json
import os
import socket
import subprocess
import sys
import tempfile
from pathlib import Path

import curio
from behave import given, then, when

from kingcupusher._core.address import Address
from kingcupusher._core.startup import listen, loading
from kingcupusher._http.pipeline import PipelineLimits
from kingcupusher._http.pipeline_listener import PipelineListener

ROOT = Path(__file__).resolve().parents[3]
LOOPBACK = Address("127.0.0.1", 0)
BACKLOG = 8
TIMEOUT_S = 20.0
REQUEST = b"GET / HTTP/1.1\r\nhost: h.example\r\n\r\n"
REQUEST_PATH_LIBRARIES = {"curio", "h11", "websockets", "cbor2", "asyncio"}
LIST_MODULES = """\
import sys
import kingcupusher_platform.settings
print(" ".join(sys.modules))
"""


@given("a listening socket with a caller that has sent a request")
def given_early_caller(context):
    context.listening = listen(LOOPBACK, backlog=BACKLOG)
    context.caller = socket.create_connection(context.listening.getsockname(), timeout=TIMEOUT_S)
    context.add_cleanup(context.caller.close)
    context.caller.sendall(REQUEST)


@when("the listener starts to accept on it")
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


@then("the caller gets a response")
def then_response(context):
    assert context.received.startswith(b"HTTP/1.1 204"), context.received


@when("only the settings of an entry are loaded")
def when_settings_loaded(context):
    paths = [str(ROOT / "src"), str(ROOT / "platform"), os.environ.get("PYTHONPATH", "")]
    environment = os.environ | {"PYTHONPATH": os.pathsep.join(paths)}
    command = [sys.executable, "-c", LIST_MODULES]
    output = subprocess.check_output(command, env=environment, timeout=TIMEOUT_S, text=True)
    context.modules = set(output.split())


@then("no library of the request path is loaded")
def then_light(context):
    assert not context.modules & REQUEST_PATH_LIBRARIES, context.modules


@then("a load that fails leaves garbage collection on")
def then_collecting(context):
    try:
        with loading():
            assert not gc.isenabled()
            raise ImportError
    except ImportError:
        pass
    assert gc.isenabled()


@given("the settings of an entry whose address is in use")
def given_used_address(context):
    taken = listen(LOOPBACK, backlog=BACKLOG)
    context.add_cleanup(taken.close)
    host, port = taken.getsockname()
    context.address = f"{host}:{port}"
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.settings = Path(directory.name) / "boot.toml"
    rows = {
        "frontend": context.address,
        "readiness": "127.0.0.1:1",
        "controlPlane": "127.0.0.1:2",
    }
    lines = ['nodeName = "e1"', 'zone = "a"', 'ipAddress = "127.0.0.1"']
    lines += ["internalPortRange = [1, 2]", "[listenAddresses]"]
    lines += [f"{name} = {json.dumps(value)}" for name, value in rows.items()]
    lines += ["[platform]", 'address = "127.0.0.1:3"']
    context.settings.write_text("\n".join(lines), encoding="utf-8")


@when("the entry is started")
def when_started(context):
    environment = os.environ | {"KINGCUPUSHER_SETTINGS": str(context.settings)}
    command = [sys.executable, str(ROOT / "platform" / "run_entry.py")]
    context.result = subprocess.run(
        command, env=environment, timeout=TIMEOUT_S, capture_output=True, text=True
    )


@then("it ends with status 1 and names the address")
def then_names_address(context):
    assert context.result.returncode == 1, context.result
    assert f"cannot listen on {context.address}" in context.result.stderr, context.result
