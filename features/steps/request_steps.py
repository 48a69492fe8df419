"""Steps that play the scripts of the request path."""

from behave import given, then

from support.request_admission import AdmissionScript
from support.request_backend import BackendScript
from support.request_dispatch import DispatchScript
from support.request_entry import EntryScript
from support.request_records import DurationScript, KeyScript, SuspectScript

SCRIPTS = {
    "admission": AdmissionScript,
    "backend": BackendScript,
    "dispatch": DispatchScript,
    "durations": DurationScript,
    "entry": EntryScript,
    "keys": KeyScript,
    "suspects": SuspectScript,
}


@given("a request script for {part:w}")
def step_request_script(context, part):
    context.script = SCRIPTS[part](context)


@then('"{commands}" holds')
def step_request_holds(context, commands):
    context.script.play(commands)


@then('the caller gets {status:d} {fault} for "{request}"')
def step_request_refused(context, status, fault, request):
    context.script.refuses(request, status, fault)
