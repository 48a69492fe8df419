"""Steps for placement and hot keys."""

import re

from attrs import evolve
from behave import given, then, when

from hyssopwood.hot_keys import HotKeys
from hyssopwood.placement import (
    KeyLoad,
    PartitionLoad,
    RebalanceLimits,
    ServerLoad,
    Snapshot,
    hot_key_changes,
    rebalancing_moves,
    required_moves,
)
from hyssopwood.state import hot_partition, shards_of
from hyssopwood.ticket import Server

LIMITS = RebalanceLimits()
SERVER = re.compile(r"(\w)=([udr])(\d*)(?:@([\d.]+))?")
PARTITION = re.compile(r"(\w)=(\w?):([\d.]+)(~?)(?:<(\w))?(?:!(\w))?")
KEY = re.compile(r"(\w)@(\w):([\d.]+)(\*?)(-?)")


@given("placement servers {text}")
def step_servers(context, text):
    servers = tuple(
        ServerLoad(
            name=name,
            slots=int(slots or 1),
            usable=kind == "u",
            removed=kind == "r",
            share=float(share or 1),
        )
        for name, kind, slots, share in SERVER.findall(text)
    )
    context.snapshot = Snapshot(servers=servers, partitions=())


@given("placement partitions {text}")
def step_partitions(context, text):
    parts = tuple(
        PartitionLoad(
            name=name,
            owner=owner,
            load=float(load),
            movable=not still and not holder,
            holder=holder,
            pin=pin,
        )
        for name, owner, load, still, holder, pin in PARTITION.findall(text)
    )
    context.snapshot = evolve(context.snapshot, partitions=parts)


@given("placement keys {text}")
def step_keys(context, text):
    hot, isolated = [], []
    for key, shard, load, own, cold in KEY.findall(text):
        item = KeyLoad(key=key, shard=shard, partition=key, load=float(load), cold=bool(cold))
        (isolated if own else hot).append(item)
    context.snapshot = evolve(context.snapshot, hot_candidates=tuple(hot), isolated=tuple(isolated))


def _shown(moves):
    return " ".join(sorted(move.partition + (move.target or "-") for move in moves)) or "none"


@then("the placement requires the moves {expected}")
def step_required(context, expected):
    assert _shown(required_moves(context.snapshot)) == expected


@then("the placement rebalances with the moves {expected} within a budget of {budget:d}")
def step_rebalances(context, expected, budget):
    shown = _shown(rebalancing_moves(context.snapshot, LIMITS, budget))
    assert shown == expected, shown


@then("the placement isolates {added}, merges {removed} and moves {moves}")
def step_hot(context, added, removed, moves):
    changes = hot_key_changes(context.snapshot, LIMITS, 5)
    assert (" ".join(changes.added) or "none") == added, changes
    assert (" ".join(changes.removed) or "none") == removed, changes
    assert _shown(changes.moves) == moves, changes


@given("placement hot keys with room for {capacity:d} keys")
def step_hot_keys(context, capacity):
    context.hot_keys = HotKeys(context.timers, capacity=capacity, half_life_s=10)


@when("{heavy:d} heavy keys come among {light:d} light ones")
def step_heavy(context, heavy, light):
    for index in range(light):
        context.hot_keys.add(f"light {index}")
        context.hot_keys.add(f"heavy {index % heavy}", weight=1.0)


@then("the {heavy:d} heavy keys lead and at most {limit:d} keys are held")
def step_heavy_lead(context, heavy, limit):
    top = context.hot_keys.top()
    assert {item.key for item in top[:heavy]} == {f"heavy {i}" for i in range(heavy)}, top
    assert len(top) <= limit and top[heavy].rate < top[heavy - 1].rate / 10


@when(
    'the key "{old}" is counted {many:d} times, {seconds:d} s pass'
    ' and the key "{new}" is counted {few:d} times'
)
def step_fade(context, old, many, seconds, new, few):
    context.hot_keys.add(old, weight=float(many))
    context.timers.jump(seconds)
    context.hot_keys.add(new, weight=float(few))


@then('the placement hot keys are led by "{key}"')
def step_led(context, key):
    assert context.hot_keys.top()[0].key == key


@when("{seconds:d} s pass without a key")
def step_pass(context, seconds):
    context.timers.jump(seconds)


@then("the placement hot key rates are all below {limit:g}")
def step_rates(context, limit):
    top = context.hot_keys.top()
    assert top and all(item.rate < limit for item in top), top


@when('the placement key "{key}" takes {load:g} slots and every shard takes {other:g}')
def step_demand(context, key, load, other):
    cell = context.cell
    shards = dict.fromkeys(shards_of(cell.state, "portal"), other)
    cell.demand = {"shards": shards, "key": key, "load": load}


@when("every placement shard takes {load:g} slots")
def step_even_demand(context, load):
    shards = dict.fromkeys(shards_of(context.cell.state, "portal"), load)
    context.cell.demand = {"shards": shards, "key": "", "load": 0.0}


@when("the placement cell runs for {seconds:d} s")
def step_run_cell(context, seconds):
    cell = context.cell
    for _ in range(seconds * 2):
        _apply_demand(cell)
        context.run(context.timers.advance(0.5))
        cell.settle_moves()


def _apply_demand(cell):
    demand = getattr(cell, "demand", None)
    if demand is None:
        return
    cell.loads = dict(demand["shards"])
    cell.hot_keys = {demand["key"]: demand["load"]} if demand["load"] else {}
    if demand["load"]:
        name = cell.partition_of("portal", demand["key"])
        cell.loads[name] = cell.loads.get(name, 0.0) + demand["load"]


@then('the placement key "{key}" has a partition on a server with at most {limit:d} shards')
def step_isolated(context, key, limit):
    owners = context.cell.state.ownerships
    own = owners[hot_partition("portal", key)].server
    shards = [name for name, owner in owners.items() if owner.server == own and "/" in name]
    assert len(shards) <= limit, (own, len(shards))


@then('the placement key "{key}" has no partition of its own')
def step_merged(context, key):
    assert hot_partition("portal", key) not in context.cell.state.hot_keys


@when('a ticket pins the placement key "{key}" to "{server}"')
def step_pin(context, key, server):
    context.cell.log.publish(ownership={"portal": {key: server}})


@then('the placement key "{key}" is owned by "{server}"')
def step_pinned(context, key, server):
    assert context.cell.state.ownerships[hot_partition("portal", key)].server == server


def _entry(server: Server, **changes):
    entry = {
        "service": server.service,
        "address": server.address,
        "failure_domain": server.failure_domain,
        "slots": server.slots,
    }
    return entry | changes


@when('a ticket makes the placement server "{leaving}" leave and removes "{removed}"')
def step_leave_remove(context, leaving, removed):
    entry = _entry(context.cell.state.servers[leaving], state="leaving")
    context.cell.log.publish(servers={leaving: entry, removed: None})


@then('the placement servers "{leaving}" and "{removed}" own nothing and "{gone}" is gone')
def step_drained(context, leaving, removed, gone):
    state = context.cell.state
    assert not {leaving, removed} & {owner.server for owner in state.ownerships.values()}
    assert gone not in state.servers and gone not in state.coordinations
    assert len(state.ownerships) == 64


@when('a ticket adds the placement server "{name}"')
def step_add(context, name):
    entry = _entry(context.cell.state.servers["s0"], address="127.0.0.1:6000")
    context.cell.log.publish(servers={name: entry})


@then('the placement server "{name}" owns {low:d} to {high:d} partitions')
def step_owns(context, name, low, high):
    owned = [o for o in context.cell.state.ownerships.values() if o.server == name]
    assert low <= len(owned) <= high, len(owned)
