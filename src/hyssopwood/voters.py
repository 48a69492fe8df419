"""Choice of voters and coordinators: pure functions over members."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping

from hyssopwood.records import CoordinatorChange
from hyssopwood.state import MAX_VOTERS, ClusterState, Member

# Moving a server to another coordinator interrupts its permits, so small differences stay.
MIN_COORDINATION_DIFFERENCE = 3


def choose_voters(
    eligible: Iterable[Member], current: Collection[str], limit: int = MAX_VOTERS
) -> tuple[str, ...]:
    """Return the largest odd set in which no failure domain holds a majority.

    Where the domains don't allow such a set of at least three, the set is spread as evenly as they
    allow. Current voters are kept before others.
    """
    members = sorted(eligible, key=lambda m: (m.incarnation not in current, m.joined))
    largest = min(limit, len(members))
    largest -= 1 - largest % 2
    for size in range(largest, 2, -2):
        chosen = _spread(members, size, cap=(size - 1) // 2)
        if len(chosen) == size:
            return chosen
    return _spread(members, max(largest, 0), cap=MAX_VOTERS)


def _spread(members: list[Member], size: int, cap: int) -> tuple[str, ...]:
    """Choose members one at a time from the domain that has the fewest chosen."""
    chosen: list[str] = []
    taken: Counter[str] = Counter()
    left = list(members)
    while left and len(chosen) < size:
        # The list's order breaks ties, so current voters come first within a domain.
        best = min(left, key=lambda m: taken[m.failure_domain])
        if taken[best.failure_domain] >= cap:
            break
        left.remove(best)
        taken[best.failure_domain] += 1
        chosen.append(best.incarnation)
    return tuple(chosen)


def required_coordinators(
    state: ClusterState,
    eligible: Mapping[str, Member],
    leaving: Collection[str],
    standby: Callable[[str], str] = lambda server: "",
) -> tuple[CoordinatorChange, ...]:
    """Return changes for servers without a coordinator, or whose coordinator leaves.

    A lost coordinator's standby is preferred, because it has copies of the idempotency records.
    """
    counts = _counts(state, eligible)
    changes = []
    for server in sorted(state.servers):
        current = state.coordinations.get(server)
        lost = current is None or current.incarnation not in state.members
        if not lost and current.incarnation not in leaving:
            continue
        chosen: str | None = standby(server) if lost else ""
        if chosen not in eligible or chosen in leaving:
            chosen = _least_busy(state, server, eligible, counts)
        if chosen is not None:
            counts[chosen] += 1
            changes.append(CoordinatorChange(server=server, incarnation=chosen))
    return tuple(changes)


def _counts(state: ClusterState, eligible: Mapping[str, Member]) -> Counter[str]:
    counts: Counter[str] = Counter(dict.fromkeys(eligible, 0))
    for coordination in state.coordinations.values():
        if coordination.incarnation in counts:
            counts[coordination.incarnation] += 1
    return counts


def _least_busy(
    state: ClusterState, server: str, eligible: Mapping[str, Member], counts: Counter[str]
) -> str | None:
    """Return the member with the fewest servers, outside the server's failure domain first.

    A server and its coordinator in one domain would be lost together, and then the fence and the
    lease run out one after the other.
    """
    domain = state.servers[server].failure_domain
    return min(
        eligible,
        key=lambda name: (
            eligible[name].failure_domain == domain,
            counts[name],
            eligible[name].joined,
        ),
        default=None,
    )


def balancing_coordinators(
    state: ClusterState, eligible: Mapping[str, Member], budget: int
) -> tuple[CoordinatorChange, ...]:
    """Return at most `budget` changes that even out the number of servers of each member."""
    counts = _counts(state, eligible)
    if not counts or max(counts.values()) - min(counts.values()) < MIN_COORDINATION_DIFFERENCE:
        return ()
    held: dict[str, list[str]] = {name: [] for name in eligible}
    for server, coordination in sorted(state.coordinations.items()):
        if coordination.incarnation in held and not coordination.previous:
            held[coordination.incarnation].append(server)
    changes: list[CoordinatorChange] = []
    while len(changes) < budget:
        target = min(counts, key=lambda name: (counts[name], eligible[name].joined))
        source = max(counts, key=lambda name: (counts[name], eligible[name].joined))
        if counts[source] - counts[target] < 2 or not held[source]:
            break
        server = _to_hand_over(state, held[source], eligible[source], eligible[target])
        held[source].remove(server)
        counts[source] -= 1
        counts[target] += 1
        changes.append(CoordinatorChange(server=server, incarnation=target))
    return tuple(changes)


def _to_hand_over(state: ClusterState, servers: list[str], source: Member, target: Member) -> str:
    def cost(server: str) -> tuple[bool, bool]:
        domain = state.servers[server].failure_domain
        return domain == target.failure_domain, domain != source.failure_domain

    return min(servers, key=cost)
