"""Routes, services and caller limits of one configuration version."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from attrs import field, frozen


@frozen
class WeightedService:
    """Name a service and its relative share of a route's requests."""

    service: str
    weight: float


@frozen(kw_only=True)
class Route:
    """Say where requests under one host and path prefix go, and how often they may be sent."""

    name: str
    host: str
    path_prefix: str
    targets: tuple[WeightedService, ...]
    idempotent: bool
    max_attempts: int
    timeout_s: float
    target_latency_s: float
    # 0 is the most urgent.
    priority: int


@frozen(kw_only=True)
class ServiceSpec:
    """Describe one service as the configuration states it."""

    name: str
    health_path: str
    max_connections: int
    sharded: bool
    warm_s: float


@frozen(kw_only=True)
class CallerLimits:
    """Bound what a caller may send and how long it may take or stay idle."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


def _prefixes(path: str) -> Iterator[str]:
    """Yield every prefix of a path that ends with a slash, the longest first."""
    end = path.rfind("/")
    while end >= 0:
        yield path[: end + 1]
        end = path.rfind("/", 0, end)


@frozen(kw_only=True)
class RouteTable:
    """Hold one configuration version."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceSpec]
    limits: CallerLimits
    _by_host: Mapping[str, Mapping[str, Route]] = field(init=False, repr=False, eq=False)

    @_by_host.default
    def _index(self) -> Mapping[str, Mapping[str, Route]]:
        hosts: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            hosts.setdefault(route.host, {})[route.path_prefix] = route
        return hosts

    def match(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest prefix that begins the path."""
        routes = self._by_host.get(host)
        if routes is None:
            return None
        for prefix in _prefixes(path):
            route = routes.get(prefix)
            if route is not None:
                return route
        return None


class RouteTables:
    """Keep the newest configuration that this process has seen; it never goes back."""

    def __init__(self) -> None:
        self._current: RouteTable | None = None

    @property
    def current(self) -> RouteTable | None:
        """Return the configuration in force, or None before the first one."""
        return self._current

    def offer(self, table: RouteTable) -> bool:
        """Take a configuration if it is newer; return whether it was."""
        if self._current is not None and table.version <= self._current.version:
            return False
        self._current = table
        return True
