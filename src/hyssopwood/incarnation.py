"""One incarnation of an instance: everything that ends when the instance is fenced."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from hyssopwood.authority import Authority
from hyssopwood.backend import BackendClient
from hyssopwood.checkpoint import Checkpointer
from hyssopwood.coordinator import Coordinators
from hyssopwood.dispatch import Dispatcher
from hyssopwood.durations import Durations
from hyssopwood.entry import Readiness
from hyssopwood.log_client import LogClient
from hyssopwood.membership import Membership, new_incarnation
from hyssopwood.messages import Hello, SuspectReport
from hyssopwood.metrics import Metrics
from hyssopwood.peers import Peers
from hyssopwood.permit_client import PeerPermits
from hyssopwood.planner import Planner
from hyssopwood.poison import PoisonRegister
from hyssopwood.replica import Replica
from hyssopwood.routes import Routes
from hyssopwood.settings import Settings
from hyssopwood.supervisor import Child, Supervisor
from hyssopwood.timers import Timers
