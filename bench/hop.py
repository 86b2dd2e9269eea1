"""Cost of the hop: the proxy's CPU time per request and the latency it adds to a direct call.

Run with ``python -m bench.hop``. Target, proxy and caller are three processes. Direct and proxied
calls arrive independently of each other at the same rate and in the same run, so that both see
the same machine.
"""

from __future__ import annotations

import argparse
import cProfile
import pstats
import random
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path
from time import perf_counter, process_time

import curio

from kingcupusher._config import Service, TargetLimits
from kingcupusher._core import now_ms
from kingcupusher._core.address import Address
from kingcupusher._proxy import Proxy, StaticLoadBalancer

WINDOW_S = 1.0
ANY_PORT = Address("127.0.0.1", 0)
RESPONSE = (
    b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncache-control: no-store\r\n"
    b"x-target-load: inflight=2, queued=0, slots=3, state=warm, boot=17\r\n"
    b"content-length: 600\r\n\r\n" + b"x" * 600
)
REQUEST = (
    b"GET /holdings/204?fields=shares HTTP/1.1\r\nhost: holdings\r\nuser-agent: bench/1\r\n"
    b"accept: application/json\r\naccept-encoding: identity\r\nx-request-id: 5b1f-204\r\n"
    b"x-request-timeout-ms: 2000\r\nauthorization: Bearer 0123456789abcdef\r\n\r\n"
)


async def _serve_target(client: curio.io.Socket) -> None:
    buffered = b""
    while data := await client.recv(65_536):
        buffered += data
        while b"\r\n\r\n" in buffered:
            buffered = buffered.partition(b"\r\n\r\n")[2]
            await client.sendall(RESPONSE)


async def _target() -> None:
    sock = curio.tcp_server_socket("127.0.0.1", 0)
    print(sock.getsockname()[1], flush=True)
    while True:
        client, _ = await sock.accept()
        await curio.spawn(_serve_target, client, daemon=True)


async def _proxy(port: int) -> None:
    service = Service(
        name="holdings", team="bench", hosts=["holdings"], target=TargetLimits(slots=1_000)
    )
    directory = StaticLoadBalancer(service, {"t": Address("127.0.0.1", port)}, connections=64)
    directory.keep_events = False
    proxy = Proxy(directory)
    listener = proxy.listen(ANY_PORT)
    print(listener.address.port, flush=True)
    serving = await curio.spawn(proxy.run, listener)
    await curio.run_in_thread(sys.stdin.read)
    await proxy.drain(deadline_ms=now_ms(), grace_ms=0)
    await serving.join()


def _profiled_proxy(port: int) -> None:
    profile = cProfile.Profile(timer=process_time)
    profile.runcall(curio.run, _proxy, port)
    stats = pstats.Stats(profile, stream=sys.stderr).sort_stats("tottime")
    stats.print_stats(45)
    _print_by_file(stats)


def _print_by_file(stats: pstats.Stats) -> None:
    seconds: dict[str, float] = {}
    for (path, _line, _name), (_, _, own_s, _, _) in stats.stats.items():
        name = "/".join(Path(path).parts[-2:])
        seconds[name] = seconds.get(name, 0.0) + own_s
    total_s = sum(seconds.values())
    for name, own_s in sorted(seconds.items(), key=lambda item: -item[1])[:25]:
        print(f"{own_s / total_s:6.1%} {name}", file=sys.stderr)


@dataclass(slots=True)
class Calls:
    """Keep-alive connections to one address and the measured latencies."""

    port: int
    idle: list[curio.io.Socket] = field(default_factory=list)
    latencies_ms: list[float] = field(default_factory=list)

    async def call(self) -> None:
        """Make one call and keep its latency."""
        sock = self.idle.pop() if self.idle else await curio.open_connection("127.0.0.1", self.port)
        started = perf_counter()
        await sock.sendall(REQUEST)
        received = b""
        while not received.endswith(b"x" * 600):
            received += await sock.recv(65_536)
        self.latencies_ms.append((perf_counter() - started) * 1000.0)
        self.idle.append(sock)

    async def run(self, *, count: int, rate: float, seed: int | None) -> None:
        """Make ``count`` calls at ``rate`` per second, evenly spaced without a ``seed``."""
        arrivals = random.Random(seed)
        due = perf_counter()
        async with curio.TaskGroup() as group:
            for _ in range(count):
                due += 1.0 / rate if seed is None else arrivals.expovariate(rate)
                await curio.sleep(max(0.0, due - perf_counter()))
                await group.spawn(self.call)

    def percentile(self, share: float) -> float:
        """Return the latency that ``share`` of the calls do not exceed."""
        ordered = sorted(self.latencies_ms)
        return ordered[int(share * (len(ordered) - 1))]


def _cpu_us(pid: int) -> float:
    """Return the CPU time of a process in microseconds."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1000.0


def start_role(role: str, *arguments: str) -> tuple[subprocess.Popen[str], int]:
    """Start this module in a role of its own; it ends when its standard input is closed."""
    command = [sys.executable, "-m", "bench.hop", "--role", role, *arguments]
    pipe = subprocess.PIPE
    process = subprocess.Popen(command, stdin=pipe, stdout=pipe, text=True)
    return process, int(process.stdout.readline())


async def _load(calls: Calls, options: argparse.Namespace, seed: int) -> None:
    if options.arrivals == "even":
        await calls.run(count=options.requests, rate=options.rate, seed=None)
    else:
        await calls.run(count=options.requests, rate=options.rate, seed=seed)


async def _measure(
    options: argparse.Namespace, target_port: int, proxy_port: int, proxy_pid: int
) -> tuple[Calls, Calls, list[float]]:
    direct, proxied = Calls(target_port), Calls(proxy_port)
    for calls in (direct, proxied):
        await calls.run(count=100, rate=options.rate, seed=0)
        calls.latencies_ms.clear()
    windows: list[float] = []
    sampler = await curio.spawn(_sample_cpu, proxy_pid, proxied, windows)
    async with curio.TaskGroup() as group:
        for seed, calls in enumerate((direct, proxied), start=options.seed):
            await group.spawn(_load, calls, options, seed)
    await sampler.cancel()
    return direct, proxied, windows


async def _sample_cpu(pid: int, calls: Calls, windows: list[float]) -> None:
    """Append the CPU time per request of each second; the machine's speed varies in between."""
    while True:
        before_us, before = _cpu_us(pid), len(calls.latencies_ms)
        await curio.sleep(WINDOW_S)
        windows.append((_cpu_us(pid) - before_us) / max(1, len(calls.latencies_ms) - before))


def _report(direct: Calls, proxied: Calls, windows: list[float]) -> None:
    for share in (0.5, 0.99):
        pair = direct.percentile(share), proxied.percentile(share)
        print(
            f"p{share * 100:.0f}: direct {pair[0]:.3f} ms, proxied {pair[1]:.3f} ms, "
            f"added {pair[1] - pair[0]:.3f} ms"
        )
    windows.sort()
    print(
        f"proxy CPU per request: median second {windows[len(windows) // 2]:.0f} us, "
        f"lowest second {windows[0]:.0f} us"
    )


def _options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=2_000)
    parser.add_argument("--rate", type=float, default=200.0, help="requests per second")
    parser.add_argument("--arrivals", choices=["random", "even"], default="random")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--profile", action="store_true", help="profile the proxy")
    parser.add_argument("--role", choices=["caller", "target", "proxy"], default="caller")
    parser.add_argument("--port", type=int, help="port of the target, for the proxy")
    return parser.parse_args()


def main() -> None:
    options = _options()
    if options.role == "target":
        curio.run(_target)
    elif options.role == "proxy":
        _profiled_proxy(options.port) if options.profile else curio.run(_proxy, options.port)
    else:
        _run_all(options)


def _run_all(options: argparse.Namespace) -> None:
    target, target_port = start_role("target")
    extra = ["--profile"] if options.profile else []
    proxy, proxy_port = start_role("proxy", "--port", str(target_port), *extra)
    try:
        _report(*curio.run(_measure, options, target_port, proxy_port, proxy.pid))
    finally:
        proxy.communicate()
        target.terminate()
        target.wait()


if __name__ == "__main__":
    main()
