"""Steps for the exploration of key ownership."""

import os
import subprocess
import sys

from behave import given, then, when

from support.key_cluster import (
    divide_leaders,
    explore,
    lose_leader_and_server,
    lose_server_without_store,
    strand_leader,
)
from support.key_guards import without_guard


@given("the key cluster schedules with seeds from {first:d} to {last:d}")
def step_seeds(context, first, last):
    context.seeds = range(first, last + 1)


@given('the key cluster runs without "{guard}"')
def step_guard(context, guard):
    off = without_guard(guard)
    off.__enter__()
    context.add_cleanup(off.__exit__, None, None, None)


@when("each key cluster schedule is played")
def step_play(context):
    results = [explore(seed) for seed in context.seeds]
    context.violations = [item for violations, _, _ in results for item in violations]
    context.shares = [share for _, share, _ in results]
    context.grants = sum(grants for _, _, grants in results)


@when(
    "key cluster schedules are played from seed {first:d} until one breaks ownership, "
    "at most {most:d}"
)
def step_play_until(context, first, most):
    context.violations = []
    for seed in range(first, first + most):
        context.violations, _, _ = explore(seed)
        if context.violations:
            return


@when("a leader without the store is the only one that reaches a server")
def step_strand(context):
    context.violations = strand_leader(1)


@when("a server drains while an earlier leader without the store still renews it")
def step_divide(context):
    context.violations = divide_leaders(1)


@when("the leader is lost together with every way to a server")
def step_lose_leader(context):
    context.violations, context.share = lose_leader_and_server(1)


@then("every key has an owner in the end")
def step_all_owned(context):
    assert context.share > 0.999, context.share


@when("one of four servers is lost while the store is away for {outage_s:d} s")
def step_lose_server(context, outage_s):
    context.least = lose_server_without_store(1, outage_s)


@then("the other servers' keys stay owned")
def step_stay_owned(context):
    assert context.least >= 0.74, context.least


@then("no key had two owners and no token fell")
def step_sole(context):
    assert not context.violations, context.violations[:3]


@then("one of them broke ownership")
def step_broken(context):
    assert context.violations


@then("every key has an owner at the end of each schedule")
def step_owned(context):
    assert context.grants > 100 * len(context.shares), context.grants
    assert min(context.shares) > 0.999, min(context.shares)


SCHEDULE_SCRIPT = """
import sys
from loguru import logger
from support.key_cluster import explore
logger.remove()
violations, share, grants = explore(int(sys.argv[1]))
print(len(violations), share, grants)
"""


@when('the schedule of seed {seed:d} is played in processes with hash seeds "{hash_seeds}"')
def step_play_in_processes(context, seed, hash_seeds):
    context.seen = []
    for hash_seed in hash_seeds.split(","):
        environment = {
            **os.environ,
            "PYTHONHASHSEED": hash_seed,
            "PYTHONPATH": os.pathsep.join(sys.path),
        }
        played = subprocess.run(
            [sys.executable, "-c", SCHEDULE_SCRIPT, str(seed)],
            env=environment,
            capture_output=True,
            text=True,
            check=True,
        )
        context.seen.append(played.stdout)


@then("all of them saw the same")
def step_alike(context):
    assert context.seen[0].strip() and len(set(context.seen)) == 1, context.seen
