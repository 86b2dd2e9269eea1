"""The command ``explain``."""

from __future__ import annotations

import os
from typing import Annotated

import curio
import msgspec
import typer

from kingcupusher._cli.exit_codes import ExitCode, fail
from kingcupusher._cli.options import JsonOption, parse_address
from kingcupusher._cli.results import print_json
from kingcupusher._core import now_ms
from kingcupusher._core.address import Address
from kingcupusher._gateway.explanation import (
    EXPLAIN_PATH,
    CandidateState,
    Explanation,
    Question,
    ServiceExplanation,
)
from kingcupusher._http.errors import ExchangeError, HttpError
from kingcupusher._http.simple_client import Response, fetch

KEY_VARIABLE = "KINGCUPUSHER_EXPLAIN_KEY"
EXPLAIN_TIMEOUT_MS = 2_000.0
EXPLAINED_STATUS = 200

EntryOption = Annotated[
    Address,
    typer.Option(
        "--entry", metavar="IP:PORT", parser=parse_address, help="Metrics address of the entry."
    ),
]
HostOption = Annotated[str, typer.Option("--host", help="Host of the request.")]
PathOption = Annotated[str, typer.Option("--path", help="Path of the request.")]
MethodOption = Annotated[str, typer.Option("--method", help="Method of the request.")]


def explain(
    entry: EntryOption,
    host: HostOption,
    path: PathOption,
    method: MethodOption = "GET",
    as_json: JsonOption = False,
) -> None:
    """Show how an entry would handle a request now, without sending anything to a target.

    The customer's key is read from KINGCUPUSHER_EXPLAIN_KEY, since arguments are visible to others.

    Example: kingcupusher explain --entry 10.1.0.34:7540 --host api.example --path /a/

    Exit codes: 0 the request would be accepted; 1 it would be refused; 2 wrong usage; 4 the entry
    is not available or cannot explain requests.
    """
    question = Question(host=host, path=path, method=method, key=os.environ.get(KEY_VARIABLE))
    explanation = _ask(entry, question)
    if as_json:
        print_json(explanation)
    else:
        typer.echo(_format(explanation))
    if explanation.refusal_status is not None:
        raise typer.Exit(ExitCode.INVALID)


def _ask(entry: Address, question: Question) -> Explanation:
    try:
        response = curio.run(_fetch, entry, msgspec.json.encode(question))
        if response.status != EXPLAINED_STATUS:
            raise ExchangeError(f"status {response.status}")
        explanation = msgspec.json.decode(response.body, type=Explanation)
    except (HttpError, msgspec.MsgspecError) as error:
        fail(
            f"cannot get an explanation from the entry {entry}: {error}",
            fix="pass the address of the entry's metrics",
            code=ExitCode.UNAVAILABLE,
        )
    return explanation


async def _fetch(entry: Address, body: bytes) -> Response:
    deadline_ms = now_ms() + EXPLAIN_TIMEOUT_MS
    return await fetch(entry, "POST", EXPLAIN_PATH, deadline_ms=deadline_ms, body=body)


def _format(explanation: Explanation) -> str:
    lines = [f"entry {explanation.entry}"]
    if explanation.refusal_status is not None:
        lines.append(f"refused: {explanation.refusal_status}, {explanation.refusal_reason}")
    if explanation.route is not None:
        kind = "idempotent" if explanation.is_idempotent else "not idempotent"
        version = explanation.routes_version
        lines.append(f"route {explanation.route}, {kind}, version {version}")
    if explanation.priority is not None:
        customer = explanation.customer or "none"
        lines.append(f"customer {customer}, priority {explanation.priority}")
    for service in explanation.services:
        lines += _format_service(service)
    return "\n".join(lines)


def _format_service(service: ServiceExplanation) -> list[str]:
    chosen = service.chosen or "no target"
    return [
        f"service {service.service}, weight {service.weight:g}: {chosen}: {service.why}",
        *(_format_candidate(candidate) for candidate in service.candidates),
    ]


def _format_candidate(candidate: CandidateState) -> str:
    place = f"{candidate.position}." if candidate.position is not None else "-"
    parts = [f"  {place} {candidate.target} in {candidate.zone}"]
    if candidate.cost is None or candidate.reading_age_ms is None:
        parts.append("no reading")
    else:
        parts.append(f"cost {candidate.cost:.2f}, read {candidate.reading_age_ms:.0f} ms ago")
        parts.append(
            f"{candidate.running} running and {candidate.waiting} waiting at {candidate.slots}"
            f" slots, slowness {candidate.slowness_percent} %"
        )
    for name in ("cold_left_ms", "suspended_ms", "paused_ms"):
        left_ms = getattr(candidate, name)
        if left_ms > 0.0:
            parts.append(f"{name.removesuffix('_ms').replace('_left', '')} for {left_ms:.0f} ms")
    if candidate.excluded_because is not None:
        parts.append(f"left out: {candidate.excluded_because}")
    return ", ".join(parts)
