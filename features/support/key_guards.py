"""Guards of key ownership that a test can disable one by one."""

from contextlib import contextmanager
from unittest.mock import patch

from attrs import evolve

from hyssopwood.keyspace import key_manager, leases, plan_writer
from hyssopwood.keyspace.authority import Authority
from hyssopwood.keyspace.leadership import Leadership
from hyssopwood.keyspace.leases import RangeLease
from hyssopwood.keyspace.plan import Plan
from hyssopwood.keyspace.position import offset_of


def _patches(guard):
    if guard == "wait for the end of leases":
        return [patch.object(RangeLease, "has_expired", lambda self, now: True)]
    if guard == "slow clocks and late arrivals":
        end = lambda sent, lease_s: sent + lease_s * 0.9  # noqa: E731
        return [patch.object(leases, "lease_end", end), patch.object(key_manager, "lease_end", end)]
    if guard == "unanswered grants":
        return [
            patch.object(RangeLease, "may_release", lambda self, now: True),
            patch.object(RangeLease, "needs_new_token", lambda self, now: False),
        ]
    if guard == "leases of the previous leader":
        return [patch.object(key_manager, "AUTHORITY_S", -100.0)]
    if guard == "end of authority":
        return [patch.object(Authority, "is_valid", lambda self, now: True)]
    if guard == "new token at a claim":
        return [patch.object(Plan, "with_fence", lambda self, fence: Plan(fence, self.services))]
    if guard == "order of registrations at one address":
        return [patch.object(key_manager.KeyManager, "_address_reused", _shares_address)]
    if guard == "disputes after a restore":
        return [patch.object(plan_writer, "NO_RIVAL_WINDOW_S", 1000.0)]
    if guard == "disputed ranges stay where they are":
        return [patch.object(RangeLease, "is_disputed", lambda self, now: False)]
    if guard == "doubtful claims":
        return [patch.object(Leadership, "_may_lack_writes", lambda self, stored: False)]
    if guard == "eras in tokens":
        return [patch.object(Plan, "with_fence", _with_offset_as_fence)]
    raise ValueError(guard)


def _with_offset_as_fence(plan, position):
    services = {
        service: tuple(evolve(part, fence=offset_of(position)) for part in parts)
        for service, parts in plan.services.items()
    }
    return Plan(position, services)


def _shares_address(manager, lease):
    address = manager._addresses.get(lease.keys.incarnation)
    return any(
        record.address == address and record.server != lease.keys.server
        for record in manager._deps.directory.records()
    )


@contextmanager
def without_guard(guard):
    """Run with one guard disabled."""
    patches = _patches(guard)
    for item in patches:
        item.start()
    try:
        yield
    finally:
        for item in patches:
            item.stop()
