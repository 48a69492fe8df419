"""Choice of voters and coordinators: pure functions over members."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping

from hyssopwood.records import CoordinatorChange
from hyssopwood.state import MAX_VOTERS, ClusterState, Member

# Moving a server to another coordinator interrupts its permits, so small differences stay.
MIN_COORDINATION_DIFFERENCE = 3


def instance_of(incarnation: str) -> str:
    """Return the instance in an incarnation id, `<instance>.<random hex>`."""
    return incarnation.rpartition(".")[0]


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

    The standby is preferred, because it has copies of the idempotency records.
    """
    counts = _counts(state, eligible)
    changes = []
    for server in sorted(state.servers):
        current = state.coordinations.get(server)
        lost = current is None or current.incarnation not in state.members
        if not lost and current.incarnation not in leaving:
            continue
        chosen: str | None = standby(server)
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
    state: ClusterState,
    eligible: Mapping[str, Member],
    budget: int,
    standby: Callable[[str], str] = lambda server: "",
) -> tuple[CoordinatorChange, ...]:
    """Return at most `budget` changes that even out the number of servers of each member.

    A server is handed over only to its standby, which has its idempotency records already, so
    that its permits stop for milliseconds.
    """
    counts = _counts(state, eligible)
    held = {
        server: coordination.incarnation
        for server, coordination in sorted(state.coordinations.items())
        if coordination.incarnation in counts and not coordination.previous
    }
    changes: list[CoordinatorChange] = []
    while len(changes) < budget:
        move = _best_hand_over(state, eligible, counts, held, standby)
        if move is None:
            break
        counts[held.pop(move.server)] -= 1
        counts[move.incarnation] += 1
        changes.append(move)
    return tuple(changes)


def _best_hand_over(
    state: ClusterState,
    eligible: Mapping[str, Member],
    counts: Counter[str],
    held: Mapping[str, str],
    standby: Callable[[str], str],
) -> CoordinatorChange | None:
    """Return the hand-over that evens the counts most, None without one that is worth it."""
    best: tuple[tuple[int, bool, bool], CoordinatorChange] | None = None
    for server, source in held.items():
        target = standby(server) or min(counts, key=lambda n: (counts[n], eligible[n].joined))
        gain = counts[source] - counts.get(target, counts[source])
        if gain < MIN_COORDINATION_DIFFERENCE:
            continue
        domain = state.servers[server].failure_domain
        apart = domain != eligible[target].failure_domain
        joined_apart = domain == eligible[source].failure_domain
        rank = (gain, apart, joined_apart)
        if best is None or rank > best[0]:
            best = (rank, CoordinatorChange(server=server, incarnation=target))
    return None if best is None else best[1]
