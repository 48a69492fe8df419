"""Guards of key ownership that a test can disable one by one."""

from contextlib import contextmanager
from unittest.mock import patch

from attrs import evolve

from hyssopwood.keyspace import key_manager, leases, plan_writer
from hyssopwood.keyspace.authority import Authority
from hyssopwood.keyspace.grant_channels import GrantChannels
from hyssopwood.keyspace.key_manager import KeyManager
from hyssopwood.keyspace.leadership import Leadership
from hyssopwood.keyspace.leases import RangeLease
from hyssopwood.keyspace.plan import Plan
from hyssopwood.keyspace.position import offset_of
from hyssopwood.platform import key_commands


def _patches(guard):
    if guard == "wait for the end of leases":
        return [patch.object(RangeLease, "has_expired", lambda self, now: True)]
    if guard == "slow clocks and late arrivals":
        end = lambda sent, lease_s: sent + lease_s * 0.9  # noqa: E731
        return [patch.object(leases, "lease_end", end), patch.object(key_manager, "lease_end", end)]
    if guard == "unanswered grants":
        return [patch.object(RangeLease, "may_release", lambda self, now: True)]
    if guard == "names of servers in commands":
        return [patch.object(key_commands, "_encode_command", _encode_for_anyone)]
    if guard == "one connection for each token":
        return [patch.object(GrantChannels, "exchange", _exchange_over_any)]
    if guard == "confirmed leader for another connection":
        return [patch.object(key_manager, "STORE_REACHABLE_S", 1000.0)]
    if guard == "leases of the next process":
        return [patch.object(KeyManager, "_wait_for_release", _forget_restarted)]
    if guard == "leases that the next process keeps":
        return [patch.object(RangeLease, "set_owner", _set_owner_without_lease)]
    if guard == "leases of the previous leader":
        return [patch.object(key_manager, "AUTHORITY_S", -100.0)]
    if guard == "end of authority":
        return [patch.object(Authority, "is_valid", lambda self, now: True)]
    if guard == "new token at a claim":
        return [patch.object(Plan, "with_fence", lambda self, fence: Plan(fence, self.services))]
    if guard == "answers from addresses that others have registered":
        return [patch.object(KeyManager, "_evidence_of_end", _take_registration_as_evidence)]
    if guard == "disputes after a restore":
        return [patch.object(plan_writer, "NO_RIVAL_WINDOW_S", 1000.0)]
    if guard == "disputed ranges stay where they are":
        # A range without spare tokens needs a fence of the restored era, above those of a rival.
        return [
            patch.object(RangeLease, "is_disputed", lambda self, now: False),
            *_patches("spare tokens"),
        ]
    if guard == "spare tokens":
        return [patch.object(leases, "TOKENS_PER_FENCE", 1)]
    if guard == "doubtful claims":
        return [patch.object(Leadership, "_may_lack_writes", lambda self, stored: False)]
    if guard == "doubts about an empty store":
        return [patch.object(Leadership, "_track_losses", _track_no_losses)]
    if guard == "eras in tokens":
        return [patch.object(Plan, "with_fence", _with_offset_as_fence)]
    raise ValueError(guard)


_encode_command = key_commands._encode_command
_exchange = GrantChannels.exchange
_wait_for_release = KeyManager._wait_for_release
_evidence_of_end = KeyManager._evidence_of_end
_set_owner = RangeLease.set_owner


def _encode_for_anyone(server, path, keys, **more):
    command = _encode_command(server, path, keys, **more)
    headers = tuple(item for item in command.headers if item[0] != b"Target-Instance")
    return evolve(command, headers=headers)


def _exchange_over_any(channels, server, request, wanted, timeout_s):
    return _exchange(channels, server, request, None, timeout_s)


async def _forget_restarted(manager, lease, target):
    record = manager._deps.directory.get(lease.keys.server)
    if record is not None and record.born_ms > lease.keys.born_ms:
        return key_manager._Released(target, key_manager._Evidence.STARTED_AGAIN)
    return await _wait_for_release(manager, lease, target)


def _set_owner_without_lease(lease, keys, handover):
    lease.leased_until = lease.inherited_until = 0.0
    _set_owner(lease, keys, handover)


def _with_offset_as_fence(plan, position):
    services = {
        service: tuple(evolve(part, fence=offset_of(position)) for part in parts)
        for service, parts in plan.services.items()
    }
    return Plan(position, services)


def _track_no_losses(leadership, end):
    leadership._complete = True


def _take_registration_as_evidence(manager, lease, now):
    owner = manager._registered.get(lease.keys.incarnation)
    shared = owner is not None and any(
        record.address == owner.address and record.server != owner.server
        for record in manager._deps.directory.records()
    )
    return key_manager._Evidence.REPLACED if shared else _evidence_of_end(manager, lease, now)


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
