"""The task that sends health probes within the probe budget of each target."""

from __future__ import annotations

import curio

from kingcupusher._core import now_ms
from kingcupusher._entry.load_balancer import EntryLoadBalancer
from kingcupusher._http.errors import HttpError
from kingcupusher._http.simple_client import fetch
from kingcupusher._membership import DueProbe, Membership
from kingcupusher._proxy.load_report import parse_load_report

PROBE_CHECK_INTERVAL_S = 0.25
PROBE_TIMEOUT_MS = 1_000.0
MAX_PROBE_BODY_BYTES = 65_536
PROBE_PATH = "/health"
LOAD_HEADER = b"x-target-load"


class Prober:
    """Sends the probes that the membership allows."""

    def __init__(self, membership: Membership, load_balancer: EntryLoadBalancer) -> None:
        self._membership = membership
        self._load_balancer = load_balancer
        self.sent_count = 0

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            for probe in self._membership.target_table.take_due_probes(now_ms=now_ms()):
                await curio.spawn(self._probe, probe, daemon=True)
            await curio.sleep(PROBE_CHECK_INTERVAL_S)

    async def _probe(self, probe: DueProbe) -> None:
        address = self._load_balancer.address_of(probe.target_id)
        if address is None:
            return
        sent_ms = now_ms()
        # The permission to probe may end while the connection opens; ``fetch`` checks the deadline
        # again directly before it writes.
        deadline_ms = min(probe.until_ms, sent_ms + PROBE_TIMEOUT_MS)
        self.sent_count += 1
        try:
            response = await fetch(
                address,
                "GET",
                PROBE_PATH,
                deadline_ms=deadline_ms,
                max_body_bytes=MAX_PROBE_BODY_BYTES,
            )
        except HttpError:
            return
        value = next((v for name, v in response.headers if name == LOAD_HEADER), None)
        report = parse_load_report(value) if value is not None else None
        if report is not None:
            self._membership.target_table.on_probe_response(
                probe.target_id, report, sent_ms=sent_ms, now_ms=now_ms()
            )
