"""CPU time that a proxy hop adds to a request, relative to a reference task with h11.

Run with ``python -m bench.hop_cpu``. Caller, proxy and target are tasks of one process and run in
a closed loop. On a shared machine CPU times vary by half from second to second. The lowest tenth
of many short batches, relative to the reference task that runs in between, varies by a few percent,
so that two versions can be compared. ``--trace-sample-percent`` measures the cost of tracing; the
spans go to standard error.
"""

from __future__ import annotations

import argparse
import os
import statistics
from time import process_time

import curio
import h11

from bench.hop import ANY_PORT_ADDRESS, REQUEST, serve_target_connection
from bench.usage import resident_bytes
from kingcupusher._config import Service, TargetLimits
from kingcupusher._core.address import Address
from kingcupusher._proxy import NO_TRACER, Proxy, StaticLoadBalancer, Tracer

BATCHES = 500
CALLS_PER_BATCH = 10


def _reference_us() -> float:
    """Return the CPU time in which h11 parses one request and writes one empty response."""
    http = h11.Connection(h11.SERVER)
    started = process_time()
    for _ in range(CALLS_PER_BATCH):
        http.receive_data(REQUEST)
        http.next_event()
        http.next_event()
        http.send(h11.Response(status_code=200, headers=[(b"content-length", b"0")]))
        http.send(h11.EndOfMessage())
        http.start_next_cycle()
    return (process_time() - started) / CALLS_PER_BATCH * 1e6


async def _call_us(sock: curio.io.Socket) -> float:
    started = process_time()
    for _ in range(CALLS_PER_BATCH):
        await sock.sendall(REQUEST)
        received = b""
        while not received.endswith(b"x" * 600):
            received += await sock.recv(65_536)
    return (process_time() - started) / CALLS_PER_BATCH * 1e6


async def _accept(sock: curio.io.Socket) -> None:
    while True:
        client, _ = await sock.accept()
        await curio.spawn(serve_target_connection, client, daemon=True)


def _tracer(percent: float) -> Tracer:
    if not percent:
        return NO_TRACER
    from kingcupusher._observe.traces import SamplingTracer

    return SamplingTracer(sample_percent=percent)


async def _measure(percent: float) -> None:
    target = curio.tcp_server_socket("127.0.0.1", 0)
    await curio.spawn(_accept, target, daemon=True)
    address = Address("127.0.0.1", target.getsockname()[1])
    service = Service(
        name="holdings", team="bench", hosts=["holdings"], target=TargetLimits(slots=1_000)
    )
    load_balancer = StaticLoadBalancer(service, {"t": address}, connections=64)
    load_balancer.keep_events = False
    proxy = Proxy(load_balancer, tracer=_tracer(percent))
    listener = proxy.listen(ANY_PORT_ADDRESS)
    await curio.spawn(proxy.run, listener, daemon=True)
    direct = await curio.open_connection(*address)
    proxied = await curio.open_connection(*listener.address)
    hops_us, references_us = [], []
    for _ in range(BATCHES):
        references_us.append(_reference_us())
        hops_us.append(await _call_us(proxied) - await _call_us(direct))
    hop_us, reference_us = _lowest_tenth(hops_us), _lowest_tenth(references_us)
    print(
        f"hop: {hop_us / reference_us:.2f} times the reference; "
        f"lowest tenth {hop_us:.0f} us, median {statistics.median(hops_us):.0f} us of CPU; "
        f"resident memory of the process {resident_bytes(os.getpid()) / 1e6:.1f} MB"
    )


def _lowest_tenth(samples: list[float]) -> float:
    """Return the value that a tenth of the samples do not exceed."""
    return statistics.quantiles(samples, n=10)[0]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--trace-sample-percent", type=float, default=0.0)
    curio.run(_measure, parser.parse_args().trace_sample_percent)


if __name__ == "__main__":
    main()
