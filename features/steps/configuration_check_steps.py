"""Steps for the check of a configuration before it is published."""

import asyncio
import copy
import io
import json
import tempfile
from contextlib import redirect_stderr, redirect_stdout
from pathlib import Path
from unittest.mock import patch

from behave import given, then, when

from hyssopwood import cli
from hyssopwood.platform.names import CONFIGURATION_KEY, OPERATOR_TOPIC
from hyssopwood_standins.keyed_store import KeyedStore
from steps.platform_steps import configuration


def _document(change):
    """Return the adapter's configuration with a change like `rules.0.priority = 1`."""
    document = copy.deepcopy(configuration())
    if change == "nothing":
        return document
    path, _, value = change.partition(" = ")
    names = path.replace("rules.", "listeners.0.route_rules.").split(".")
    place = document
    for name in names[:-1]:
        place = place[int(name) if isinstance(place, list) else name]
    if isinstance(place, list) and int(names[-1]) == len(place):
        place.append(json.loads(value))
    else:
        place[int(names[-1]) if isinstance(place, list) else names[-1]] = json.loads(value)
    return document


def _write(context, name, document):
    if "configuration_folder" not in context:
        folder = tempfile.TemporaryDirectory()
        context.add_cleanup(folder.cleanup)
        context.configuration_folder = Path(folder.name)
    path = context.configuration_folder / name
    path.write_text(json.dumps(document), encoding="utf-8")
    return str(path)


def _start_store(context):
    store = KeyedStore()
    context.run(store.start())
    context.add_cleanup(lambda: context.run(store.stop()))
    context.configuration_words["STORE"] = store.address
    return store


@given("the configuration of the adapter's tests with {change}")
def step_configuration(context, change):
    context.configuration_words = {"FILE": _write(context, "new.json", _document(change))}


@given("the version in force is that of the adapter's tests with {change}")
def step_in_force(context, change):
    context.configuration_words["OLD"] = _write(context, "old.json", _document(change))


@given("a store whose operator's topic holds the configuration of the adapter's tests")
def step_store(context):
    store = _start_store(context)
    store.put(OPERATOR_TOPIC, CONFIGURATION_KEY, json.dumps(configuration()).encode())


@given("a store without a configuration")
def step_empty_store(context):
    _start_store(context)


@when('the command "{command}" is run')
def step_run(context, command):
    arguments = [context.configuration_words.get(word, word) for word in command.split()]
    output = io.StringIO()
    with (
        patch("hyssopwood.cli.set_up_logging"),
        redirect_stdout(output),
        redirect_stderr(output),
    ):
        context.code = context.run(asyncio.to_thread(cli.run, arguments))
    context.output = output.getvalue()


@then('the command exits with {code:d} and prints "{one}" and "{other}"')
def step_exits(context, code, one, other):
    assert context.code == code, f"{context.code}: {context.output}"
    step_prints(context, one, other)


@then('the command exits with {code:d} and prints "" and "{text}"')
def step_exits_with_text(context, code, text):
    step_exits(context, code, text, text)


@then('the command exits with {code:d} and prints "{text}" and ""')
def step_exits_with_first(context, code, text):
    step_exits(context, code, text, text)


@then('it prints "{one}" and "{other}"')
def step_prints(context, one, other):
    for text in (one, other):
        assert text in context.output, context.output
