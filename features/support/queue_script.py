"""Random events on a shared queue whose requests state no cost and whose servers state no pace."""

import random

from hyssopwood.gateway.exchange import ServerLoad
from hyssopwood.gateway.server_directory import ServerRecord
from hyssopwood.gateway.shared_queue import Granted, Queued, QueuedRequest, QueueServer, SharedQueue

SERVERS = 4


def _record(number):
    return ServerRecord(
        server=f"s{number}",
        service="p",
        address="s:1",
        failure_domain="a",
        slots=1 + number % 3,
        draining=False,
        warmup_left_s=1.0 if number == 3 else 0.0,
        born_ms=1,
        sequence=1,
    )


def play(seed, events):
    """Return the decisions of a queue, each as its kind and a server or a wait."""
    rng = random.Random(seed)
    servers = [
        QueueServer(_record(number), rate_per_s=12.0 if number == 2 else None)
        for number in range(SERVERS)
    ]
    queue = SharedQueue(lambda: servers)
    now, admitted, decisions = 100.0, [], []

    def note(ticket, decision):
        if isinstance(decision, Granted):
            admitted.append(ticket)
            decisions.append(["granted", ticket, decision.server.server])
        else:
            kind = "queued" if isinstance(decision, Queued) else "rejected"
            decisions.append([kind, ticket, min(decision.wait_s, 1e6)])

    for ticket in range(events):
        now += rng.expovariate(80)
        if rng.random() < 0.55 or not admitted:
            target_s = rng.uniform(0.1, 0.6)
            request = QueuedRequest(
                ticket=ticket,
                priority=rng.randrange(3),
                target=now + target_s,
                deadline=now + target_s * rng.uniform(1, 4),
            )
            note(ticket, queue.enter(request, now))
        else:
            done = admitted.pop(rng.randrange(len(admitted)))
            load = ServerLoad(rng.randrange(4), rng.randrange(2), 2)
            sample_s = rng.choice([None, rng.uniform(0.02, 0.4)])
            back_off_s = 0.2 if rng.random() < 0.02 else None
            queue.release(done, sample_s, load, now, back_off_s)
        for done in queue.expire(now):
            admitted.remove(done)
        for decided, decision in queue.advance(now):
            note(decided, decision)
    return decisions
