"""Configurations in series, read by real instances over narrow links to the store."""

import asyncio
import copy
import json
import time

from attrs import define, field, frozen

from steps.platform_steps import configuration
from support.gateway_deployment import Deployment
from support.narrow_link import NarrowLink

SAMPLE_INTERVAL_S = 0.02
# Time after the last version for which instances are watched.
WATCHED_AFTER_S = 5.0


def large_configuration(version, routes):
    """Return a document with that many more routes; 1,400 of them have 0.32 MB."""
    document = copy.deepcopy(configuration(version))
    rules = document["listeners"][0]["route_rules"]
    for rule in rules:
        rule.setdefault("target_latency_s", 0.6)
    extra = copy.deepcopy(rules[0])
    for number in range(routes):
        extra["name"] = f"r-{number}"
        extra["match"] = {"path_prefix": f"/more-{number}/"}
        rules.append(copy.deepcopy(extra))
    return json.dumps(document, separators=(",", ":")).encode()


@frozen
class Disturbance:
    """What happens to the links, at a time after the first version."""

    at_s: float
    kind: str


@frozen
class Taken:
    """A version at one instance: when it was in force after its confirmation; None if never."""

    version: int
    instance: str
    confirmed_s: float
    late_s: float | None


class NarrowDeployment(Deployment):
    """A deployment whose instances reach the store over one narrow link each."""

    def __init__(self, mbit_s):
        super().__init__()
        self.mbit_s = mbit_s
        self.links = {}

    async def start_links(self, names):
        for name in names:
            self.links[name] = NarrowLink(self.store.address, self.mbit_s)
            await self.links[name].start()

    def store_address(self, name):
        return self.links[name].address

    async def stop(self):
        await super().stop()
        for link in self.links.values():
            await link.stop()


@define
class Series:
    """Publish versions at an interval while links are disturbed, and record what is in force."""

    deployment: NarrowDeployment
    published: list = field(factory=list)
    # For each instance, the times at which it was first seen to have a version.
    seen: dict = field(factory=dict)
    lost_at: float | None = None

    async def play(self, count, interval_s, routes, disturbances=()):
        base = 10
        documents = [large_configuration(base + n, routes) for n in range(count)]
        began = time.monotonic()
        tasks = [asyncio.ensure_future(self._disturb(began, item)) for item in disturbances]
        watching = asyncio.ensure_future(self._watch())
        for number, document in enumerate(documents):
            await asyncio.sleep(max(0.0, began + number * interval_s - time.monotonic()))
            self.deployment.store.put("keyed.op", "config", document)
            self.published.append((base + number, time.monotonic()))
        await asyncio.gather(*tasks)
        await asyncio.sleep(WATCHED_AFTER_S)
        watching.cancel()

    async def _disturb(self, began, item):
        await asyncio.sleep(max(0.0, began + item.at_s - time.monotonic()))
        for link in self.deployment.links.values():
            link.silence() if item.kind == "silence" else link.reset()
        self.lost_at = time.monotonic()

    async def _watch(self):
        while True:
            for name, instance in self.deployment.instances.items():
                table = instance.daemon._tables.current
                versions = self.seen.setdefault(name, {})
                if table is not None:
                    versions.setdefault(table.version, time.monotonic())
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def taken(self):
        """Return when each version, or a later one, was in force at each instance."""
        first = self.published[0][1]
        result = []
        for version, at in self.published:
            for name, versions in self.seen.items():
                times = [seen for seen_version, seen in versions.items() if seen_version >= version]
                late_s = min(times) - at if times else None
                result.append(Taken(version, name, at - first, late_s))
        return result

    def late(self, bound_s, contact_s):
        """Return the versions not in force in time at instances in touch.

        Within `contact_s` after their connections were lost, instances aren't in touch.
        """
        first = self.published[0][1]
        in_touch_s = -1.0 if self.lost_at is None else self.lost_at - first + contact_s
        last_s = self.published[-1][1] - first + WATCHED_AFTER_S
        result = []
        for item in self.taken():
            due_s = max(item.confirmed_s + bound_s, in_touch_s)
            if due_s > last_s:
                continue
            if item.late_s is None or item.confirmed_s + item.late_s > due_s:
                result.append(item)
        return result
