"""Numbered log events and the configuration of loguru."""

from __future__ import annotations

import json
import os
import sys
from enum import Enum
from typing import Any

from attrs import frozen
from loguru import logger


@frozen
class EventSpec:
    """Describe one kind of event: number, level and message."""

    number: int
    level: str
    message: str


class Event(Enum):
    """Every event that the package logs; docs/events.md lists the same numbers.

    Numbers by area: 100 process, 200 log and state, 300 membership and authority, 400 ownership,
    500 requests, 600 peers, 700 input.
    """

    STARTED = EventSpec(100, "INFO", "started")
    READY = EventSpec(101, "INFO", "ready")
    NOT_READY = EventSpec(102, "WARNING", "not ready")
    SHUTDOWN_STARTED = EventSpec(103, "INFO", "shutdown started")
    STOPPED = EventSpec(104, "INFO", "stopped")
    TASK_FAILED = EventSpec(105, "ERROR", "task failed and will be restarted")
    CLOCK_JUMPED = EventSpec(106, "WARNING", "process was paused")

    LOG_UNAVAILABLE = EventSpec(200, "WARNING", "log is unavailable")
    LOG_RECOVERED = EventSpec(201, "INFO", "log has recovered")
    RECORD_REJECTED = EventSpec(202, "WARNING", "record was rejected")
    TICKET_ACCEPTED = EventSpec(203, "INFO", "ticket is in force")
    TICKET_REJECTED = EventSpec(204, "WARNING", "ticket was rejected")
    CHECKPOINT_WRITTEN = EventSpec(205, "INFO", "checkpoint was written")
    CHECKPOINT_LOADED = EventSpec(206, "INFO", "started from a checkpoint")
    APPEND_RETRIED = EventSpec(207, "WARNING", "append is retried with the same record id")
    CHECKPOINT_FAILED = EventSpec(208, "WARNING", "checkpoint was not written")
    SUBSCRIBER_BEHIND = EventSpec(209, "WARNING", "subscriber fell behind the change stream")

    JOINED = EventSpec(300, "INFO", "instance joined")
    LEFT = EventSpec(301, "INFO", "instance left")
    FENCED = EventSpec(302, "WARNING", "instance was fenced")
    AUTHORITY_LOST = EventSpec(303, "WARNING", "authority was lost")
    AUTHORITY_GAINED = EventSpec(304, "INFO", "authority was gained")
    PLANNER_CLAIMED = EventSpec(305, "INFO", "planner epoch was claimed")
    VOTERS_CHANGED = EventSpec(306, "INFO", "voters changed")
    FENCE_ATTESTED = EventSpec(311, "INFO", "fence of an instance was attested")
    PLANNER_PAUSED = EventSpec(307, "WARNING", "planner is paused until the log recovers")
    MEMBER_SUSPECTED = EventSpec(308, "WARNING", "instance does not respond")
    INSTANCE_LIST_IGNORED = EventSpec(309, "WARNING", "platform's instance list is unusable")
    INCARNATION_LOST = EventSpec(310, "WARNING", "own incarnation is no longer a member")

    SESSION_OPENED = EventSpec(400, "INFO", "session with backend server was opened")
    SESSION_LOST = EventSpec(401, "WARNING", "session with backend server failed")
    LEASE_LAPSED = EventSpec(402, "WARNING", "lease of backend server has expired")
    PARTITION_GRANTED = EventSpec(403, "INFO", "partition was granted")
    PARTITION_RELEASED = EventSpec(404, "INFO", "partition was released")
    MOVE_DEFERRED = EventSpec(405, "INFO", "move is deferred by a long request")
    HOT_KEY_ISOLATED = EventSpec(406, "INFO", "hot key was isolated in its own partition")
    COORDINATOR_CHANGED = EventSpec(407, "INFO", "coordinator changed")
    SERVER_RESTARTED = EventSpec(408, "WARNING", "backend server has a new incarnation")
    SERVER_TAKEN_OVER = EventSpec(409, "INFO", "backend server was taken over")
    SERVER_HANDED_OVER = EventSpec(410, "INFO", "backend server was handed over")
    PARTITION_FROZEN = EventSpec(411, "DEBUG", "permits for a partition are suspended")
    GRANT_UNCERTAIN = EventSpec(412, "WARNING", "answer to a grant was lost")
    PLAN_WRITTEN = EventSpec(413, "INFO", "plan was written")
    APPEND_BUDGET_SPENT = EventSpec(414, "WARNING", "planner exhausted its append budget")
    OUTAGE_MOVED = EventSpec(415, "WARNING", "partitions were moved during a log outage")

    CONFIGURATION_TAKEN = EventSpec(210, "INFO", "configuration is in force")
    STORE_RESTORED = EventSpec(213, "WARNING", "store was restored from an older copy")
    CONFIGURATION_READ_DIRECTLY = EventSpec(214, "INFO", "configurations are read from the store")
    CONFIGURATION_LEFT_TO_LEADER = EventSpec(
        215, "INFO", "leader announces configurations in place of own reads"
    )
    STORE_CALL_ENDED = EventSpec(216, "WARNING", "call to the store ended without a whole answer")
    PLAN_TAKEN = EventSpec(211, "INFO", "newer plan was adopted")
    SERVER_CHANGED = EventSpec(212, "INFO", "registration of a backend server changed")
    EVACUATION_LEARNED = EventSpec(220, "WARNING", "failure domain is evacuated")
    EVACUATION_LIFTED = EventSpec(221, "WARNING", "evacuation of a failure domain was lifted")
    EVACUATION_REJECTED = EventSpec(222, "WARNING", "record of an evacuation is invalid")
    EVACUATION_REACH = EventSpec(223, "INFO", "servers that evacuations affect have changed")
    EVACUATION_MISSING = EventSpec(224, "WARNING", "restored store lacks an evacuation")
    LEADERSHIP_HANDED_OVER = EventSpec(
        313, "WARNING", "leader reaches no backend server of a service and resigned"
    )
    CLAIM_LOST = EventSpec(312, "INFO", "another instance claimed the plan first")
    GRANT_FENCED = EventSpec(416, "WARNING", "server has seen a higher fencing token")
    RANGE_RELEASED = EventSpec(417, "INFO", "owner released a key range")
    RENEWAL_FAILED = EventSpec(418, "WARNING", "renewal of leases failed")
    RENEWAL_RECOVERED = EventSpec(419, "INFO", "renewals succeed again")
    RENEWAL_SUSPENDED = EventSpec(421, "WARNING", "leases can't be renewed over a new connection")
    MOVE_ABANDONED = EventSpec(422, "INFO", "key range stays with its owner, which is back")
    SERVER_REPLACED = EventSpec(420, "INFO", "another server answers at a server's address")
    REQUEST_ANSWERED = EventSpec(508, "INFO", "request was answered")
    SERVER_SUSPECTED = EventSpec(509, "WARNING", "backend server is temporarily avoided")
    CALLER_REFUSED = EventSpec(510, "INFO", "caller's input was rejected")
    SERVER_BACKED_OFF = EventSpec(511, "INFO", "backend server asked for a back-off")
    SERVER_LIMIT_NAMED = EventSpec(512, "INFO", "backend server named a request limit")
    SERVER_LIMIT_ENDED = EventSpec(513, "INFO", "request limit of backend server ended")
    SERVERS_UNREACHABLE = EventSpec(
        514, "WARNING", "no backend server of a service can be connected to"
    )
    SERVERS_REACHABLE = EventSpec(
        515, "INFO", "backend servers of a service can be connected to again"
    )
    REQUEST_REPEATED = EventSpec(516, "INFO", "request is sent once more")
    RELAY_ENDED = EventSpec(517, "INFO", "relayed connection ended within an exchange")
    SERVER_COLD = EventSpec(520, "INFO", "backend server is cold and its requests are limited")
    SERVER_WARM = EventSpec(521, "INFO", "backend server is no longer cold")
    COLD_SERVER_FULL = EventSpec(522, "INFO", "cold backend server can take no more requests now")
    COLD_SERVER_CLOSED = EventSpec(
        523, "WARNING", "another queue or keeper may send to a cold backend server"
    )
    COLD_ADMISSION_LATE = EventSpec(
        524, "INFO", "admission to a cold backend server was too old to be used"
    )
    ROUTE_COSTS_DIFFER = EventSpec(
        525, "INFO", "routes of a service began or ceased to differ in cost"
    )
    ROUTE_COST_CHANGED = EventSpec(526, "INFO", "expected cost of a route's requests changed")
    ROUTE_COST_DROPPED = EventSpec(
        527, "INFO", "expected costs of routes were dropped for newer ones"
    )
    MEMORY_SHORT = EventSpec(530, "WARNING", "requests are refused for lack of memory")
    MEMORY_RECOVERED = EventSpec(531, "INFO", "no request is refused for lack of memory any more")
    CONNECTIONS_SHORT = EventSpec(532, "WARNING", "callers' connections have reached their bound")
    CONNECTIONS_RECOVERED = EventSpec(
        533, "INFO", "callers' connections are below their bound again"
    )
    CALLER_THROTTLED = EventSpec(534, "INFO", "caller's small pieces are read in turns")
    SETTINGS_RELOADED = EventSpec(108, "INFO", "settings were reloaded")

    REQUEST_REFUSED = EventSpec(500, "INFO", "request was refused")
    REQUEST_UNKNOWN = EventSpec(501, "WARNING", "outcome of request is unknown")
    ANSWER_MISMATCHED = EventSpec(502, "ERROR", "answer belongs to another request")
    ANSWER_CUT = EventSpec(503, "WARNING", "answer was incomplete")
    CONNECTION_SILENT = EventSpec(504, "WARNING", "unresponsive connection was closed")
    POISON_SUSPECTED = EventSpec(505, "WARNING", "request was running when its server crashed")
    POISON_REFUSED = EventSpec(506, "WARNING", "request is quarantined")
    LOAD_REPORT_IGNORED = EventSpec(507, "INFO", "load report contradicts local counts")

    PEER_CONNECTED = EventSpec(600, "DEBUG", "peer connected")
    PEER_LOST = EventSpec(601, "INFO", "peer connection was lost")
    PEER_REJECTED = EventSpec(602, "WARNING", "peer sent malformed bytes")
    PEER_SILENT = EventSpec(603, "WARNING", "unresponsive peer connection was replaced")
    HANDLER_FAILED = EventSpec(604, "ERROR", "handler of a peer message failed")
    QUEUE_KEEPER_SILENT = EventSpec(605, "WARNING", "keeper of a queue does not respond")
    LEADER_TOLD = EventSpec(606, "INFO", "following a leader that announced itself")

    BAD_SETTINGS = EventSpec(700, "ERROR", "settings are malformed")
    BAD_REQUEST = EventSpec(701, "INFO", "caller sent a malformed request")
    BAD_ANSWER = EventSpec(702, "WARNING", "backend server sent a malformed answer")


def emit(event: Event, **fields: Any) -> None:
    """Log an event with its fields."""
    spec = event.value
    pairs = " ".join(f"{name}={value}" for name, value in fields.items())
    bound = logger.bind(event=spec.number, name=event.name, fields=fields)
    # Field values are passed as arguments, so that loguru doesn't format braces in them.
    bound.log(spec.level, "{} {} {}", f"E{spec.number:03d}", spec.message, pairs)


class JsonLineSink:
    """Write events to a descriptor as one JSON object a line, without blocking on its reader.

    While part of an earlier line is still unwritten, new lines are dropped and counted.
    """

    def __init__(self, descriptor: int, instance: str) -> None:
        self._descriptor = descriptor
        self._instance = instance
        self._unwritten = b""
        self._dropped_lines = 0
        self._reported_drops = 0
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Return the number of dropped lines."""
        return self._dropped_lines

    def write(self, message: Any) -> None:
        """Write one line, or drop it while part of an earlier one is still unwritten."""
        record = message.record
        line = {
            "time": record["time"].timestamp(),
            "level": record["level"].name,
            "event": record["extra"].get("event"),
            "name": record["extra"].get("name"),
            "instance": self._instance,
            **{
                name: _json_value(value)
                for name, value in record["extra"].get("fields", {}).items()
            },
        }
        if record["extra"].get("event") is None:
            line["message"] = record["message"]
        if self._unwritten and not self._write_available(self._unwritten):
            self._dropped_lines += 1
            return
        if self._dropped_lines > self._reported_drops:
            line["dropped_before"] = self._dropped_lines - self._reported_drops
            self._reported_drops = self._dropped_lines
        self._write_available(json.dumps(line, separators=(",", ":")).encode() + b"\n")

    def _write_available(self, data: bytes) -> bool:
        """Write as much as the descriptor accepts; return whether that was all."""
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader has closed its end; requests continue without logs.
            written = len(data)
            self._dropped_lines += 1
        self._unwritten = data[written:]
        return not self._unwritten


def _json_value(value: Any) -> Any:
    if value is None or isinstance(value, bool | int | float | str):
        return value
    if isinstance(value, bytes):
        return value.decode("latin-1")
    return str(value)


def set_up_json_logging(level: str, instance: str) -> JsonLineSink:
    """Send events to standard output, one JSON object a line."""
    sink = JsonLineSink(sys.stdout.fileno(), instance)
    logger.remove()
    logger.add(sink.write, level=level, format="{message}", backtrace=False)
    return sink


def set_up_logging(level: str = "INFO", as_json: bool = False) -> None:
    """Send events to standard error, as text or as one JSON object a line."""
    logger.remove()
    layout = "{time:YYYY-MM-DDTHH:mm:ss.SSS} {level: <7} {message}"
    logger.add(sys.stderr, level=level, format=layout, serialize=as_json, backtrace=False)
