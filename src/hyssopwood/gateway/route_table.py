"""Routes, services and limits on callers of one configuration version."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from attrs import field, frozen


@frozen
class WeightedService:
    """A service and its relative share of a route's requests."""

    service: str
    weight: float


@frozen(kw_only=True)
class Route:
    """Where requests for one host and path prefix go, and how often they may be attempted."""

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
    """Describe a service as the configuration defines it."""

    name: str
    health_path: str
    max_connections: int
    sharded: bool
    warm_s: float
    # Time for which a server is cold after its start, and the requests per second that it tolerates
    # meanwhile; 0 if the configuration doesn't state them.
    warmup_s: float = 0.0
    warmup_per_s: float = 0.0


@frozen(kw_only=True)
class CallerLimits:
    """Limits on the size and duration of callers' requests and on idle connections."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


def _prefixes(path: str) -> Iterator[str]:
    """Yield every prefix of a path that ends with a slash, longest first."""
    end = path.rfind("/")
    while end >= 0:
        yield path[: end + 1]
        end = path.rfind("/", 0, end)


@frozen(kw_only=True)
class RouteTable:
    """Routes and services of one configuration version."""

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
        """Return the host's route with the longest prefix that matches the path."""
        routes = self._by_host.get(host)
        if routes is None:
            return None
        for prefix in _prefixes(path):
            route = routes.get(prefix)
            if route is not None:
                return route
        return None


class RouteTables:
    """Hold the newest configuration of this process; an older one never replaces it."""

    def __init__(self) -> None:
        self._current: RouteTable | None = None

    @property
    def current(self) -> RouteTable | None:
        """Return the configuration in force, or None before the first one."""
        return self._current

    def offer(self, table: RouteTable) -> bool:
        """Apply a configuration if it is newer; return whether it was."""
        if self._current is not None and table.version <= self._current.version:
            return False
        self._current = table
        return True
