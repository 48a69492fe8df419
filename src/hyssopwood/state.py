"""Cluster state: what all instances agree on through the log, and queries over it."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from attrs import field, frozen
from xxhash import xxh64_intdigest

from hyssopwood.audit import AuditEntry
from hyssopwood.ticket import Server, Service, ServiceLimits

MAX_WRITERS = 4_096
MAX_VERDICTS = 256
MAX_AUDIT_ENTRIES = 1_024
MAX_FENCED = 4_096
MAX_VOTERS = 9

STATUS_UP = "up"
STATUS_DOWN = "down"
NO_EPOCH = -1


@frozen
class Member:
    """Describe one incarnation of an instance."""

    instance: str
    incarnation: str
    peer_address: str
    http_address: str
    failure_domain: str
    joined: int


@frozen
class Coordination:
    """Name the coordinator of a server.

    Each incarnation in `previous` must hand the server over, be fenced or have left before the
    coordinator may act.
    """

    incarnation: str
    epoch: int
    previous: tuple[str, ...] = ()


@frozen
class Ownership:
    """Name the owner of a partition.

    The coordinator of each server in `awaiting` must confirm its release before the owner is
    granted the partition. An empty `server` means that the partition shall have no owner.
    """

    server: str
    token: int
    awaiting: tuple[str, ...] = ()


@frozen
class Verdict:
    """Hold the outcome of one published ticket."""

    offset: int
    time_ms: int
    record_id: str
    publisher: str
    number: int
    reason: str
    detail: str
    digest: str = ""

    @property
    def accepted(self) -> bool:
        """Return whether the ticket came into force."""
        return not self.reason


@frozen(kw_only=True)
class ClusterState:
    """Everything that instances agree on, through the record at `applied`."""

    applied: int = -1
    ticket_number: int = 0
    services: Mapping[str, Service] = field(factory=dict)
    servers: Mapping[str, Server] = field(factory=dict)
    removed_servers: frozenset[str] = frozenset()
    pins: Mapping[str, Mapping[str, str]] = field(factory=dict)
    limits: Mapping[str, ServiceLimits] = field(factory=dict)
    members: Mapping[str, Member] = field(factory=dict)
    fenced: Mapping[str, int] = field(factory=dict)
    voters: tuple[str, ...] = ()
    pending_voters: tuple[str, ...] = ()
    pending_offset: int = -1
    membership_offset: int = -1
    planner: str = ""
    planner_epoch: int = NO_EPOCH
    coordinations: Mapping[str, Coordination] = field(factory=dict)
    ownerships: Mapping[str, Ownership] = field(factory=dict)
    hot_keys: Mapping[str, str] = field(factory=dict)
    server_status: Mapping[str, str] = field(factory=dict)
    writers: Mapping[str, int] = field(factory=dict)
    verdicts: tuple[Verdict, ...] = ()
    audit: tuple[AuditEntry, ...] = ()
    last_checkpoint: int = -1


def shard_partition(service: str, index: int) -> str:
    """Return the name of a shard's partition."""
    return f"{service}/{index}"


def hot_partition(service: str, key: str) -> str:
    """Return the name of a hot key's own partition."""
    return f"{service}={key}"


def partition_service(partition: str) -> str:
    """Return the service of a partition."""
    shard = partition.partition("/")[0]
    return shard.partition("=")[0]


def shard_of(state: ClusterState, service: str, key: str) -> str:
    """Return the shard partition that a key hashes to."""
    index = xxh64_intdigest(key.encode()) % state.services[service].shards
    return shard_partition(service, index)


def partition_of(state: ClusterState, service: str, key: str) -> str:
    """Return the partition that serves a key: its own if it is hot, else its shard."""
    hot = hot_partition(service, key)
    if hot in state.hot_keys:
        return hot
    return shard_of(state, service, key)


def shards_of(state: ClusterState, service: str) -> Iterable[str]:
    """Yield the shard partitions of a service."""
    for index in range(state.services[service].shards):
        yield shard_partition(service, index)


def effective_voters(state: ClusterState, voters: tuple[str, ...]) -> tuple[str, ...]:
    """Return the voters less those that the platform has terminated.

    A terminated process can't support anyone, so a majority of the rest still intersects every
    majority of the whole set that includes only live voters.
    """
    return tuple(voter for voter in voters if state.fenced.get(voter, 0) >= 0)


def is_majority(count: int, total: int) -> bool:
    """Return whether `count` of `total` voters is more than half."""
    return count * 2 > total


def has_quorum(state: ClusterState, supporters: Iterable[str]) -> bool:
    """Return whether supporters are a majority of the voters and of the pending voters."""
    chosen = set(supporters)
    for voters in (state.voters, state.pending_voters):
        effective = effective_voters(state, voters)
        if voters and not is_majority(len(chosen.intersection(effective)), len(effective)):
            return False
    return bool(state.voters)


def is_live(state: ClusterState, incarnation: str) -> bool:
    """Return whether an incarnation is a member that was not fenced."""
    return incarnation in state.members


def is_referenced(state: ClusterState, server: str) -> bool:
    """Return whether a partition is owned by, or awaited from, a server."""
    return any(
        owner.server == server or server in owner.awaiting for owner in state.ownerships.values()
    )
