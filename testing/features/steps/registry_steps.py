"""Steps for registries."""

from __future__ import annotations

from behave import given, then, when

from kingcupusher._core.registry import Registry, UnknownNameError


@given("a registry of colours with {known}")
def given_registry(context, known):
    context.registry = Registry("colour")
    context.registry.register(known)(known)


@when("{asked} is looked up")
def when_looked_up(context, asked):
    try:
        context.registry.get(asked)
    except UnknownNameError as error:
        context.error = str(error)


@then("the error names {asked} and {known}")
def then_error_names(context, asked, known):
    assert asked in context.error
    assert known in context.error
