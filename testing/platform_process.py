"""Runs the stand-in of the platform as a process for one scenario."""

from __future__ import annotations

import subprocess
import sys
import time

import curio
import msgspec

from kingcupusher._core import now_ms
from kingcupusher._http.errors import ConnectError
from kingcupusher._http.simple_client import fetch
from kingcupusher._platform import KeyValueClient
from standins.ports import free_address

START_TIMEOUT_S = 10


class PlatformProcess:
    """A running stand-in of the platform with its service and control addresses."""

    def __init__(self, *options):
        self.address, self._control = free_address(), free_address()
        ports = ["--port", str(self.address.port), "--control-port", str(self._control.port)]
        command = [sys.executable, "-m", "standins.platform", *ports, *options]
        self._process = subprocess.Popen(command)
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while not self._is_ready():
            assert time.monotonic() < deadline_s, "the stand-in did not start"
            time.sleep(0.02)

    def stop(self):
        """End the process."""
        self._process.terminate()
        self._process.wait()

    def control(self, method, path, content=None):
        """Call the control port and return the decoded response."""
        body = b"" if content is None else msgspec.json.encode(content)
        response = curio.run(self.send, method, path, body)
        assert response.status == 200, response
        return msgspec.json.decode(response.body)

    async def send(self, method, path, body):
        """Call the control port."""
        return await fetch(self._control, method, path, deadline_ms=now_ms() + 2_000, body=body)

    def _is_ready(self):
        try:
            self.control("GET", "/counts")
        except ConnectError:
            return False
        return True


def start_platform(context, *options):
    """Start a stand-in that stops with the scenario, and a client with a short timeout."""
    context.platform = PlatformProcess(*options)
    context.add_cleanup(context.platform.stop)
    context.client = KeyValueClient(context.platform.address, timeout_ms=300)
