"""Record what a build stores and accepts, for the tests of builds side by side.

Run it with `PYTHONPATH` set to the `src` folder of a checkout of that build:
`PYTHONPATH=CHECKOUT/src python scripts/record_build.py features/data/builds/COMMIT`.
"""

from __future__ import annotations

import json
import shutil
import sys
from pathlib import Path

import hyssopwood
from hyssopwood.errors import InputError
from hyssopwood.keyspace.plan import KeyRange, Leader, Plan
from hyssopwood.keyspace.plan_codec import decode_leader, encode_leader, encode_plan

SCHEMAS = (
    "keyspace/cluster.capnp",
    "gateway/queue.capnp",
    "gateway/relay.capnp",
    "gateway/limits.capnp",
)
# Leader's records with three fields, and with those that were added to them.
LEADER_ROW = ["i1", "0a1b", "10.1.0.10:7720", 4711, False, "later"]
PLAN = Plan(
    4712,
    {
        "catalogue": (
            KeyRange(0, 32767, "s1", 1_700_000_000_001, 4711),
            KeyRange(32768, 65535, "s2", 1_700_000_000_002, 4712),
        )
    },
)


def _accepts(fields: int) -> bool:
    try:
        decode_leader(json.dumps(LEADER_ROW[:fields]).encode())
    except InputError:
        return False
    return True


def main() -> None:
    """Write the schemas and records of the imported build to the folder in the arguments."""
    package, target = Path(hyssopwood.__file__).parent, Path(sys.argv[1])
    for name in SCHEMAS:
        if (package / name).exists():
            (target / name).parent.mkdir(parents=True, exist_ok=True)
            shutil.copyfile(package / name, target / name)
    records = {
        "plan": encode_plan(PLAN).decode(),
        "leader": encode_leader(Leader(*LEADER_ROW[:3])).decode(),
        "accepted_leader_fields": [count for count in range(3, 7) if _accepts(count)],
    }
    text = json.dumps(records, indent=2)
    (target / "records.json").write_text(f"{text}\n", encoding="utf-8")


if __name__ == "__main__":
    main()
