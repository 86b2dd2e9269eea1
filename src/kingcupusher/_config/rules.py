"""Validation rules of a service that the types of its fields cannot express."""

from __future__ import annotations

from collections.abc import Callable

from kingcupusher._config.errors import Problem
from kingcupusher._config.model import ConfigDocument, Service

Rule = Callable[[Service, ConfigDocument], Problem | None]

RULES: list[Rule] = []


def service_problem(service: Service, document: ConfigDocument) -> Problem | None:
    """Return the first rule that ``service`` breaks in ``document``, as a problem, or None."""
    problems = (rule(service, document) for rule in RULES)
    return next((problem for problem in problems if problem), None)


def _rule(rule: Rule) -> Rule:
    RULES.append(rule)
    return rule


@_rule
def _hosts_are_distinct(service: Service, _document: ConfigDocument) -> Problem | None:
    repeated = [host for host in service.hosts if service.hosts.count(host) > 1]
    return Problem("hosts", repr(repeated[0]), "list each host once") if repeated else None


@_rule
def _each_entry_gets_a_connection(service: Service, document: ConfigDocument) -> Problem | None:
    # An entry may open connections // max_entries; with 0 it could never send a request.
    connections = service.target.connections
    if connections >= document.max_entries:
        return None
    allowed = f"use at least {document.max_entries}, one for each of max_entries"
    return Problem("target.connections", str(connections), allowed)


@_rule
def _cold_limit_fits_slots(service: Service, _document: ConfigDocument) -> Problem | None:
    limits = service.target
    if limits.cold_concurrency <= limits.slots:
        return None
    allowed = f"use at most target.slots, which is {limits.slots}"
    return Problem("target.cold_concurrency", str(limits.cold_concurrency), allowed)


@_rule
def _hosts_are_not_taken(service: Service, document: ConfigDocument) -> Problem | None:
    for other in document.services.values():
        shared = set(service.hosts) & set(other.hosts)
        if other.name != service.name and shared:
            allowed = f"service {other.name} of team {other.team} already uses it"
            return Problem("hosts", repr(min(shared)), allowed)
    return None


@_rule
def _team_is_unchanged(service: Service, document: ConfigDocument) -> Problem | None:
    before = document.services.get(service.name)
    if before is None or before.team == service.team:
        return None
    allowed = f"service {service.name} belongs to team {before.team}; choose another name"
    return Problem("team", repr(service.team), allowed)
