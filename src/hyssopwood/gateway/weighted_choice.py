"""Weighted choice among the services of a route."""

from __future__ import annotations

from attrs import define, field

from hyssopwood.gateway.route_table import Route


@define
class WeightedChoice:
    """Choose services by smooth weighted round robin, which keeps the shares in short runs too."""

    _credits: dict[str, dict[str, float]] = field(factory=dict, init=False)

    def choose(self, route: Route) -> str:
        """Return the service for the next request of the route."""
        if len(route.targets) == 1:
            return route.targets[0].service
        total = sum(target.weight for target in route.targets)
        credits = self._credits.setdefault(f"{route.host}{route.path_prefix}", {})
        for target in route.targets:
            credits[target.service] = credits.get(target.service, 0.0) + target.weight
        best = max(route.targets, key=lambda target: credits[target.service])
        credits[best.service] -= total
        return best.service

    def reset(self) -> None:
        """Discard all credits, because a new configuration may have other weights."""
        self._credits.clear()
