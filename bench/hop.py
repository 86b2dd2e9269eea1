"""CPU time per request of a proxy hop, and the latency that it adds to a direct call.

Run with ``python -m bench.hop``. Target, proxy and caller are three processes. Direct and proxied
calls arrive independently of each other at the same rate in the same run, so that load on the
machine affects both alike.
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

SAMPLE_INTERVAL_S = 1.0
ANY_PORT_ADDRESS = Address("127.0.0.1", 0)
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


async def serve_target_connection(client: curio.io.Socket) -> None:
    unread = b""
    while data := await client.recv(65_536):
        unread += data
        while b"\r\n\r\n" in unread:
            unread = unread.partition(b"\r\n\r\n")[2]
            await client.sendall(RESPONSE)


async def _target() -> None:
    sock = curio.tcp_server_socket("127.0.0.1", 0)
    print(sock.getsockname()[1], flush=True)
    while True:
        client, _ = await sock.accept()
        await curio.spawn(serve_target_connection, client, daemon=True)


async def _proxy(port: int) -> None:
    service = Service(
        name="holdings", team="bench", hosts=["holdings"], target=TargetLimits(slots=1_000)
    )
    load_balancer = StaticLoadBalancer(service, {"t": Address("127.0.0.1", port)}, connections=64)
    load_balancer.keep_events = False
    proxy = Proxy(load_balancer)
    listener = proxy.listen(ANY_PORT_ADDRESS)
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
class LoadClient:
    """Sends calls to one port over keep-alive connections and records their latencies."""

    port: int
    idle: list[curio.io.Socket] = field(default_factory=list)
    latencies_ms: list[float] = field(default_factory=list)

    async def call(self) -> None:
        """Make one call and record its latency."""
        sock = self.idle.pop() if self.idle else await curio.open_connection("127.0.0.1", self.port)
        started_s = perf_counter()
        await sock.sendall(REQUEST)
        received = b""
        while not received.endswith(b"x" * 600):
            received += await sock.recv(65_536)
        self.latencies_ms.append((perf_counter() - started_s) * 1000.0)
        self.idle.append(sock)

    async def run(self, *, count: int, rate: float, seed: int | None) -> None:
        """Make ``count`` calls at ``rate`` per second, evenly spaced if ``seed`` is None."""
        arrivals = random.Random(seed)
        due_s = perf_counter()
        async with curio.TaskGroup() as group:
            for _ in range(count):
                due_s += 1.0 / rate if seed is None else arrivals.expovariate(rate)
                await curio.sleep(max(0.0, due_s - perf_counter()))
                await group.spawn(self.call)

    def percentile(self, share: float) -> float:
        """Return the latency that ``share`` of the calls do not exceed."""
        ordered = sorted(self.latencies_ms)
        return ordered[int(share * (len(ordered) - 1))]


def _cpu_us(pid: int) -> float:
    """Return the CPU time that a process has used, in microseconds."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1000.0


def start_role(role: str, *arguments: str) -> tuple[subprocess.Popen[str], int]:
    """Start a target or proxy process; return it and its port. Closing its stdin ends a proxy."""
    command = [sys.executable, "-m", "bench.hop", "--role", role, *arguments]
    pipe = subprocess.PIPE
    process = subprocess.Popen(command, stdin=pipe, stdout=pipe, text=True)
    return process, int(process.stdout.readline())


async def _load(client: LoadClient, options: argparse.Namespace, seed: int) -> None:
    if options.arrivals == "even":
        await client.run(count=options.requests, rate=options.rate, seed=None)
    else:
        await client.run(count=options.requests, rate=options.rate, seed=seed)


async def _measure(
    options: argparse.Namespace, target_port: int, proxy_port: int, proxy_pid: int
) -> tuple[LoadClient, LoadClient, list[float]]:
    direct, proxied = LoadClient(target_port), LoadClient(proxy_port)
    for client in (direct, proxied):
        await client.run(count=100, rate=options.rate, seed=0)
        client.latencies_ms.clear()
    samples_us: list[float] = []
    sampler = await curio.spawn(_sample_cpu, proxy_pid, proxied, samples_us)
    async with curio.TaskGroup() as group:
        for seed, client in enumerate((direct, proxied), start=options.seed):
            await group.spawn(_load, client, options, seed)
    await sampler.cancel()
    return direct, proxied, samples_us


async def _sample_cpu(pid: int, client: LoadClient, samples_us: list[float]) -> None:
    """Record the CPU time per request once a second, as the speed of the machine varies."""
    while True:
        before_us, before = _cpu_us(pid), len(client.latencies_ms)
        await curio.sleep(SAMPLE_INTERVAL_S)
        samples_us.append((_cpu_us(pid) - before_us) / max(1, len(client.latencies_ms) - before))


def _report(direct: LoadClient, proxied: LoadClient, samples_us: list[float]) -> None:
    for share in (0.5, 0.99):
        pair_ms = direct.percentile(share), proxied.percentile(share)
        print(
            f"p{share * 100:.0f}: direct {pair_ms[0]:.3f} ms, proxied {pair_ms[1]:.3f} ms, "
            f"added {pair_ms[1] - pair_ms[0]:.3f} ms"
        )
    samples_us.sort()
    print(
        f"proxy CPU per request: median second {samples_us[len(samples_us) // 2]:.0f} us, "
        f"lowest second {samples_us[0]:.0f} us"
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
        _run_benchmark(options)


def _run_benchmark(options: argparse.Namespace) -> None:
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
