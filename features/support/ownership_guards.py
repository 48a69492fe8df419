"""Switch single guards of the product off, to show that the checks notice."""

import contextlib
import math
from unittest import mock

from hyssopwood import server_coordinator, session
from hyssopwood.authority import Authority
from hyssopwood.inherited import InheritedWork
from hyssopwood.server_coordinator import ServerCoordinator
from hyssopwood.session import Session
from hyssopwood.voting import Voter

_LAPSED = ServerCoordinator.lapsed

GUARDS = {
    "lease-wait": ((ServerCoordinator, "lapsed", lambda self: self._failing or _LAPSED(self)),),
    "lease-margin": (
        (session, "lease_margin_s", lambda lease_s, age_s: 0.0),
        (server_coordinator, "lease_margin_s", lambda lease_s, age_s: 0.0),
    ),
    "authority": (
        (Authority, "until", lambda self: math.inf),
        (Authority, "require", lambda self: None),
    ),
    "fence-wait": (
        (ServerCoordinator, "_lapsed_at", lambda self: self.session.lapsed_at()),
        (InheritedWork, "count", lambda self, now: 0),
    ),
    "release-confirmation": (
        (ServerCoordinator, "release_if_certain", lambda self, partition: True),
    ),
    "promise-wait": ((Voter, "_promised_until", lambda self, incarnation: -math.inf),),
    "drain": ((ServerCoordinator, "_drained", lambda *_: True),),
    "grant-doubt": ((Session, "_doubt", lambda self, grant: None),),
}


@contextlib.contextmanager
def switched_off(name):
    """Replace the mechanism of one guard, or of none for None."""
    with contextlib.ExitStack() as stack:
        for owner, attribute, replacement in GUARDS.get(name, ()):
            stack.enter_context(mock.patch.object(owner, attribute, replacement))
        yield
