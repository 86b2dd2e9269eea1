"""Callers that read a large response over a narrow link, steadily and within their deadline."""

from __future__ import annotations

import asyncio
import socket
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness-2"))

from stand_ins import HOST, ZONES, Deployment, Record, read_message, run_case, service_config

HOST_NAME = "jepu9.example"
PREFIX = "/lepu270/"
TIMEOUT_S = 12.0
RESPONSE_BYTES = 11_000_000
LINK_BYTES_PER_S = 1_000_000
READ_BYTES = 20_000
WINDOW_BYTES = 32_768
CLIENTS = 6
MAX_LOST = 3


def request(path: str, attempt_id: str) -> bytes:
    head = [
        f"GET {PREFIX}{path} HTTP/1.1",
        f"Host: {HOST_NAME}",
        f"X-Kingcupusher-Attempt-Id: {attempt_id}",
        f"X-Kingcupusher-Request-Deadline: {TIMEOUT_S * 1000:.0f}",
    ]
    return ("\r\n".join(head) + "\r\n\r\n").encode()


async def download(port: int, index: int, record: Record, *, is_narrow: bool) -> bool:
    """Use a kept connection for a second request; return whether its answer was complete."""
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    try:
        await loop.sock_connect(sock, (HOST, port))
        for turn in ("first", "second"):
            attempt_id = f"{'ab'[turn == 'second']}{index:015x}"
            started_s = time.monotonic()
            await loop.sock_sendall(sock, request("2f", attempt_id))
            record.add(f"client {index} sent {attempt_id}, its {turn} request")
            received = bytearray()
            expected = None
            reason = "complete"
            while expected is None or len(received) < expected:
                left_s = started_s + TIMEOUT_S - time.monotonic()
                if left_s <= 0:
                    reason = "own deadline"
                    break
                try:
                    data = await asyncio.wait_for(loop.sock_recv(sock, READ_BYTES), left_s)
                except (OSError, TimeoutError) as error:
                    reason = type(error).__name__
                    break
                if not data:
                    reason = "connection closed"
                    break
                received += data
                if expected is None and b"\r\n\r\n" in received:
                    head, _, _ = bytes(received).partition(b"\r\n\r\n")
                    length = next(
                        int(row.split(b":")[1])
                        for row in head.lower().split(b"\r\n")
                        if row.startswith(b"content-length")
                    )
                    expected = len(head) + 4 + length
                if is_narrow and turn == "second":
                    due_s = started_s + len(received) / LINK_BYTES_PER_S
                    await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            elapsed_s = time.monotonic() - started_s
            record.say(
                f"client {index}, {turn} request: {reason} after {elapsed_s:.1f} s, "
                f"{len(received)} of {expected} bytes"
            )
            if reason != "complete":
                return reason != "connection closed" and reason != "ConnectionResetError"
        return True
    finally:
        sock.close()


async def play(deployment: Deployment, record: Record, *, has_trouble: bool) -> bool:
    route = {"host": HOST_NAME, "prefix": PREFIX, "kind": "download", "timeoutS": TIMEOUT_S}
    route |= {"targetLatencyS": 4.0, "priority": 2, "service": "huvo11a", "maxAttempts": 2}
    servers = [
        {"name": f"i-{i:08x}", "service": "huvo11a", "zone": ZONES[i % 3], "work_s": 0.2}
        | {"body_bytes": RESPONSE_BYTES}
        for i in range(6)
    ]
    await deployment.start(
        routes={"r-9n73hh2": route}, services={"huvo11a": service_config()}, servers=servers
    )
    entry = deployment.entries[0]
    await asyncio.sleep(2.0)
    clients = [
        download(entry.port, i, record, is_narrow=has_trouble) for i in range(CLIENTS)
    ]
    complete = await asyncio.gather(*clients)
    lost = complete.count(False)
    record.say(f"answers that the entry cut: {lost} of {CLIENTS}; allowed: {MAX_LOST}")
    return lost > MAX_LOST


if __name__ == "__main__":
    sys.exit(run_case(play, FOLDER))
