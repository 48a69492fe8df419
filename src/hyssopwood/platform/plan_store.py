"""Storage of the plan in a keyed topic of the platform's store."""

from __future__ import annotations

from attrs import define

from hyssopwood.errors import AppendConflictError, InputError
from hyssopwood.events import Event, emit
from hyssopwood.keyspace.plan import Leader, Plan
from hyssopwood.keyspace.plan_codec import decode_leader, decode_plan, encode_leader, encode_plan
from hyssopwood.keyspace.plan_store import StoredPlan
from hyssopwood.keyspace.position import era_of, offset_of, position_at
from hyssopwood.platform.names import PLAN_TOPIC
from hyssopwood.platform.store_client import KeyedRecord, StoreClient

PLAN_KEY = "plan"
LEADER_KEY = "leader"


@define
class PlatformPlanStore:
    """Store the plan and the leader under two keys of the same partition."""

    _client: StoreClient

    async def load(self) -> StoredPlan:
        """Return the stored plan and leader with the position of the partition's end."""
        page = await self._client.newest(PLAN_TOPIC)
        values = {record.key: record.value for record in page.records if record.value}
        plan = leader = None
        try:
            if PLAN_KEY in values:
                plan = decode_plan(values[PLAN_KEY])
            if LEADER_KEY in values:
                leader = decode_leader(values[LEADER_KEY])
        except InputError as error:
            emit(Event.RECORD_REJECTED, source="plan", error=error)
        return StoredPlan(position_at(page.era, page.end_offset), plan, leader)

    async def write(self, at: int, plan: Plan | None, leader: Leader) -> int:
        """Append the leader, and a plan if given, at `at`; return the new end's position."""
        era = self._client.era
        if era != era_of(at):
            raise AppendConflictError(position_at(era, 0))
        records = [KeyedRecord(LEADER_KEY, encode_leader(leader))]
        if plan is not None:
            records.append(KeyedRecord(PLAN_KEY, encode_plan(plan)))
        appended = await self._client.append(PLAN_TOPIC, tuple(records), offset_of(at))
        return position_at(appended.era, appended.end_offset)
