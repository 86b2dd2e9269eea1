"""Steps for registries."""

from __future__ import annotations

from behave import given, then, when

from kingcupusher._core.registry import Registry, UnknownNameError


@given("a registry of colours with {registered}")
def given_registry(context, registered):
    context.registry = Registry("colour")
    context.registry.register(registered)(registered)


@when("{asked} is looked up")
def when_looked_up(context, asked):
    try:
        context.registry.get(asked)
    except UnknownNameError as error:
        context.error = str(error)


@then("the error names {asked} and {registered}")
def then_error_names(context, asked, registered):
    assert asked in context.error
    assert registered in context.error
