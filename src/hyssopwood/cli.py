"""Command line interface for operators."""

from __future__ import annotations

import argparse
import asyncio
import getpass
import json
import sys
from collections.abc import Awaitable, Callable, Sequence
from importlib import import_module
from importlib.metadata import entry_points
from pathlib import Path
from typing import Any
from uuid import uuid4

import aiohttp
from attrs import define

from hyssopwood.bounded_http import BoundedConnector
from hyssopwood.errors import (
    HyssopwoodError,
    InputError,
    InputFault,
    LogError,
    LogProtocolError,
    LogUnavailableError,
    NotFoundError,
    PeerUnavailableError,
    ProtocolError,
    TicketRejectedError,
    UsageError,
)
from hyssopwood.events import Event, emit, set_up_logging
from hyssopwood.explain import explain, read_lines
from hyssopwood.log_client import InstanceList, LogClient
from hyssopwood.records import TicketRecord, decode_record
from hyssopwood.replica import Replica
from hyssopwood.settings import MAX_SETTINGS_BYTES, Settings, load_settings, read_text
from hyssopwood.state import (
    ClusterState,
    Verdict,
    partition_of,
    partition_service,
)
from hyssopwood.structure import parse_json, structure, unstructure
from hyssopwood.tables import render_table
from hyssopwood.ticket import MAX_TICKET_BYTES, Rejection, Ticket
from hyssopwood.ticket_rules import ticket_rejection
from hyssopwood.timers import SystemTimers
from hyssopwood.waiting import WaitTimeoutError, within

# A ticket file may be indented or contain comments; the published text is compact JSON.
MAX_TICKET_FILE_BYTES = 4 * 1_048_576
MAX_STATUS_BYTES = 1_048_576
DEFAULT_STREAM = "hyssopwood"
DEFAULT_TIMEOUT_S = 10.0
# Keys that identify a ticket file. `limits` isn't one of them, because settings have it too.
TICKET_KEYS = frozenset({"number", "services", "servers", "ownership"})
INTERRUPTED_EXIT_CODE = 130
# Entry points of functions that add commands of an adapter, which this module can't import.
COMMANDS_GROUP = "hyssopwood.commands"


@define
class _Output:
    """Print a result either as JSON for programs or as text for people."""

    as_json: bool

    def show(self, data: Any, text: str) -> None:
        print(json.dumps(data, indent=2, default=str) if self.as_json else text)


@define
class _LogSession:
    """A log client and a replica of the log's state, for the duration of a command."""

    log: LogClient
    replica: Replica

    @property
    def state(self) -> ClusterState:
        return self.replica.state


def run(arguments: Sequence[str]) -> int:
    """Run one command and return its exit code."""
    try:
        options = _build_parser().parse_args(arguments)
    except SystemExit as exit_:
        return int(exit_.code or 0)
    set_up_logging(level="ERROR")
    try:
        options.command(options)
    except HyssopwoodError as error:
        _print_error(options, error)
        return error.exit_code
    except KeyboardInterrupt:
        return INTERRUPTED_EXIT_CODE
    except BrokenPipeError:
        # The reader has closed standard output, as `head` does.
        sys.stderr.close()
        return 0
    return 0


def _print_error(options: argparse.Namespace, error: HyssopwoodError) -> None:
    if getattr(options, "json", False):
        print(json.dumps(_error_data(error)), file=sys.stderr)
    elif isinstance(error, InputError):
        for fault in error.faults:
            print(f"{error.source}: {fault}", file=sys.stderr)
    else:
        print(f"hyssopwood: {error}", file=sys.stderr)


def _error_data(error: HyssopwoodError) -> dict[str, Any]:
    data: dict[str, Any] = {"error": type(error).__name__, "detail": str(error)}
    if isinstance(error, InputError):
        data["faults"] = [unstructure(fault) for fault in error.faults]
    if isinstance(error, TicketRejectedError):
        data |= {"number": error.number, "reason": error.reason}
    return data


# Arguments


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="hyssopwood", description="Route requests to owners.")
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    _add_entry(commands)
    _add_check(commands)
    _add_ticket(commands)
    _add_state_commands(commands)
    _add_status(commands)
    _add_explain(commands)
    for command in entry_points(group=COMMANDS_GROUP):
        command.load()(commands)
    return parser


def _add_entry(commands: Any) -> None:
    entry = commands.add_parser("entry", help="run an entry instance")
    entry.add_argument("--settings", type=Path, required=True, metavar="FILE")
    entry.set_defaults(command=_run_entry)


def _add_check(commands: Any) -> None:
    check = commands.add_parser("check", help="check a settings or ticket file")
    check.add_argument("file", type=Path, metavar="FILE")
    _add_log_options(check, required=False)
    check.set_defaults(command=_run_check)


def _add_ticket(commands: Any) -> None:
    ticket = commands.add_parser("ticket", help="publish or show tickets")
    actions = ticket.add_subparsers(required=True, metavar="ACTION")
    publish = actions.add_parser("publish", help="publish a ticket and wait until it is in force")
    publish.add_argument("file", type=Path, metavar="FILE")
    publish.add_argument("--publisher", help="name in the audit trail (default: the user)")
    _add_log_options(publish)
    publish.set_defaults(command=_run_publish)
    show = actions.add_parser("show", help="show published tickets and their outcome")
    show.add_argument("number", type=int, nargs="?", metavar="N")
    _add_log_options(show)
    show.set_defaults(command=_run_show)


def _add_state_commands(commands: Any) -> None:
    in_force = commands.add_parser("in-force", help="show the state in force")
    _add_log_options(in_force)
    in_force.set_defaults(command=_run_in_force)
    owners = commands.add_parser("owners", help="show the owner of each partition or of a key")
    owners.add_argument("key", nargs="?", metavar="KEY")
    owners.add_argument("--service", metavar="S")
    _add_log_options(owners)
    owners.set_defaults(command=_run_owners)
    instances = commands.add_parser("instances", help="show the instances and their roles")
    _add_log_options(instances)
    instances.set_defaults(command=_run_instances)
    audit = commands.add_parser("audit", help="show who changed what")
    audit.add_argument("--since", type=int, default=0, metavar="OFFSET")
    audit.add_argument("--subject", default="", metavar="TEXT")
    _add_log_options(audit)
    audit.set_defaults(command=_run_audit)


def _add_status(commands: Any) -> None:
    status = commands.add_parser("status", help="show the status of one instance")
    status.add_argument("--instance-url", required=True, metavar="URL")
    status.add_argument("--json", action="store_true")
    status.add_argument("--timeout", type=float, default=DEFAULT_TIMEOUT_S, metavar="SECONDS")
    status.set_defaults(command=_run_status)


def _add_explain(commands: Any) -> None:
    explain_ = commands.add_parser("explain", help="explain a request from the gateway's logs")
    explain_.add_argument("request", metavar="ID")
    explain_.add_argument("files", type=Path, nargs="+", metavar="FILE")
    explain_.set_defaults(command=_run_explain)


def _run_explain(options: argparse.Namespace) -> None:
    print(explain(options.request, read_lines(options.files)))


def _add_log_options(parser: argparse.ArgumentParser, required: bool = True) -> None:
    parser.add_argument("--log-url", required=required, metavar="URL")
    parser.add_argument("--stream", default=DEFAULT_STREAM)
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--timeout", type=float, default=DEFAULT_TIMEOUT_S, metavar="SECONDS")


# Log access


async def _with_log(
    options: argparse.Namespace, action: Callable[[_LogSession], Awaitable[Any]]
) -> Any:
    """Replay the log, then run an action on its state."""
    timers = SystemTimers()
    _require_url(options.log_url)
    log = LogClient(timers, options.log_url.rstrip("/"), options.stream)
    incarnation = f"cli-{uuid4().hex}"
    session = _LogSession(log, Replica(timers, log, incarnation, append_limit_s=options.timeout))
    try:
        await within(timers, options.timeout, session.replica.catch_up())
        return await action(session)
    except WaitTimeoutError as error:
        raise LogUnavailableError(f"replay took more than {options.timeout} s") from error
    finally:
        await log.close()


def _require_url(url: str) -> None:
    if not url.startswith(("http://", "https://")):
        raise UsageError(f"{url!r} is not an http or https URL")


def _replay_state(options: argparse.Namespace) -> ClusterState:
    async def action(session: _LogSession) -> ClusterState:
        return session.state

    return asyncio.run(_with_log(options, action))


# Commands


def _run_entry(options: argparse.Namespace) -> None:
    try:
        settings = load_settings(options.settings)
    except InputError as error:
        emit(Event.BAD_SETTINGS, source=error.source, faults=len(error.faults))
        raise
    daemon = import_module("hyssopwood.daemon")
    daemon.run_daemon(settings)


def _run_check(options: argparse.Namespace) -> None:
    output = _Output(options.json)
    item = _load_settings_or_ticket(options.file)
    if isinstance(item, Settings):
        output.show({"valid": True, "kind": "settings"}, f"{options.file}: valid settings")
        return
    text = f"{options.file}: ticket {item.number} is well formed"
    if options.log_url:
        _require_acceptable(_replay_state(options), item)
        text += " and would come into force now"
    output.show({"valid": True, "kind": "ticket", "number": item.number}, text)


def _load_settings_or_ticket(path: Path) -> Settings | Ticket:
    text = read_text(path, MAX_TICKET_FILE_BYTES)
    data = parse_json(str(path), text)
    if isinstance(data, dict) and TICKET_KEYS.intersection(data):
        return _structure_ticket(path, data)
    if len(text) > MAX_SETTINGS_BYTES:
        fault = InputFault("$", f"{len(text)} characters", f"at most {MAX_SETTINGS_BYTES}")
        raise InputError(str(path), (fault,))
    return structure(str(path), data, Settings)


def _load_ticket(path: Path) -> tuple[Ticket, str]:
    data = parse_json(str(path), read_text(path, MAX_TICKET_FILE_BYTES))
    return _structure_ticket(path, data), _compact_json(data)


def _structure_ticket(path: Path, data: Any) -> Ticket:
    ticket = structure(str(path), data, Ticket)
    # The record carries the text as a JSON string, which escapes every quote.
    size = len(json.dumps(_compact_json(data)))
    if size > MAX_TICKET_BYTES:
        fault = InputFault("$", f"{size} bytes", f"at most {MAX_TICKET_BYTES}")
        raise InputError(str(path), (fault,))
    return ticket


def _compact_json(data: Any) -> str:
    return json.dumps(data, separators=(",", ":"))


def _require_acceptable(state: ClusterState, ticket: Ticket) -> None:
    rejection = ticket_rejection(state, ticket)
    if isinstance(rejection, Rejection):
        raise TicketRejectedError(ticket.number, rejection.reason.value, rejection.detail)


def _run_publish(options: argparse.Namespace) -> None:
    ticket, text = _load_ticket(options.file)
    publisher = options.publisher or getpass.getuser()

    async def action(session: _LogSession) -> Verdict:
        _require_acceptable(session.state, ticket)
        return await _append_ticket(session, TicketRecord(publisher=publisher, text=text))

    verdict = asyncio.run(_with_log(options, action))
    if not verdict.accepted:
        raise TicketRejectedError(ticket.number, verdict.reason, verdict.detail)
    shown = f"ticket {verdict.number} is in force since offset {verdict.offset}"
    _Output(options.json).show(unstructure(verdict), shown)


async def _append_ticket(session: _LogSession, record: TicketRecord) -> Verdict:
    replica_task = asyncio.ensure_future(session.replica.run())
    try:
        applied = await session.replica.append(record)
    finally:
        replica_task.cancel()
        await asyncio.gather(replica_task, return_exceptions=True)
    verdict = _find_verdict(applied.state, applied.record.id if applied.record else "")
    if verdict is None:
        raise LogProtocolError(f"the record was rejected: {applied.rejected}")
    return verdict


def _find_verdict(state: ClusterState, record_id: str) -> Verdict | None:
    return next((v for v in reversed(state.verdicts) if v.record_id == record_id), None)


def _run_show(options: argparse.Namespace) -> None:
    async def action(session: _LogSession) -> tuple[list[Verdict], str | None]:
        verdicts = [
            verdict
            for verdict in session.state.verdicts
            if options.number in (None, verdict.number)
        ]
        accepted = [verdict for verdict in verdicts if verdict.accepted]
        if options.number is None or not accepted:
            return verdicts, None
        return verdicts, await _ticket_text(session.log, accepted[-1].offset)

    verdicts, text = asyncio.run(_with_log(options, action))
    if not verdicts and options.number is not None:
        raise NotFoundError(f"no verdict on ticket {options.number} was found")
    shown = _verdict_table(verdicts) + (f"\n{text}" if text else "")
    data = {"verdicts": [unstructure(verdict) for verdict in verdicts], "text": text}
    _Output(options.json).show(data, shown)


async def _ticket_text(log: LogClient, offset: int) -> str | None:
    """Return a ticket's text, or None if its record can't be read, for example once expired."""
    try:
        page = await log.read(offset, 1, 0)
        body = decode_record(page.records[0].data).body
    except (LogError, ProtocolError, IndexError):
        return None
    return body.text if isinstance(body, TicketRecord) else None


def _verdict_table(verdicts: Sequence[Verdict]) -> str:
    rows = [(v.number, v.publisher, v.offset, v.reason or "in force", v.detail) for v in verdicts]
    return render_table(("NUMBER", "PUBLISHER", "OFFSET", "OUTCOME", "DETAIL"), rows)


def _run_in_force(options: argparse.Namespace) -> None:
    state = _replay_state(options)
    data = {
        "applied": state.applied,
        "ticket_number": state.ticket_number,
        "services": unstructure(dict(state.services)),
        "servers": unstructure(dict(state.servers)),
        "removed_servers": sorted(state.removed_servers),
        "ownership": unstructure(dict(state.pins)),
        "limits": unstructure(dict(state.limits)),
        "hot_keys": dict(state.hot_keys),
        "server_status": dict(state.server_status),
    }
    _Output(options.json).show(data, _in_force_text(state))


def _in_force_text(state: ClusterState) -> str:
    services = [
        (name, item.customer, item.shards, item.path_prefix, len(item.operations))
        for name, item in state.services.items()
    ]
    servers = [
        (name, item.service, item.address, item.failure_domain, item.slots, item.state)
        for name, item in state.servers.items()
    ]
    pins = [(name, key, to) for name, keys in state.pins.items() for key, to in keys.items()]
    limits = [
        (name, item.queue, item.deadline_ms, item.body_bytes) for name, item in state.limits.items()
    ]
    server_columns = ("SERVER", "SERVICE", "ADDRESS", "DOMAIN", "SLOTS", "STATE")
    return "\n\n".join(
        (
            f"ticket {state.ticket_number} in force, log applied through {state.applied}",
            render_table(("SERVICE", "CUSTOMER", "SHARDS", "PATH", "OPERATIONS"), services),
            render_table(server_columns, servers),
            render_table(("SERVICE", "PINNED KEY", "SERVER"), pins),
            render_table(("SERVICE", "QUEUE", "DEADLINE_MS", "BODY_BYTES"), limits),
        )
    )


def _run_owners(options: argparse.Namespace) -> None:
    state = _replay_state(options)
    if options.service and options.service not in state.services:
        raise NotFoundError(f"service {options.service!r} is not in force")
    rows = [_owner_row(state, name) for name in _selected_partitions(state, options)]
    columns = ("partition", "server", "token", "awaiting", "coordinator")
    data = [dict(zip(columns, row, strict=True)) for row in rows]
    shown = [(*row[:3], ",".join(row[3]), row[4]) for row in rows]
    _Output(options.json).show(data, render_table([name.upper() for name in columns], shown))


def _selected_partitions(state: ClusterState, options: argparse.Namespace) -> list[str]:
    services = [options.service] if options.service else list(state.services)
    if options.key is not None:
        if not services:
            raise NotFoundError("no service is in force")
        return [partition_of(state, service, options.key) for service in services]
    return [name for name in state.ownerships if partition_service(name) in services]


def _owner_row(state: ClusterState, partition: str) -> tuple[str, str, int, list[str], str]:
    owner = state.ownerships.get(partition)
    if owner is None:
        return partition, "", -1, [], ""
    coordination = state.coordinations.get(owner.server)
    coordinator = coordination.incarnation if coordination else ""
    return partition, owner.server, owner.token, list(owner.awaiting), coordinator


def _run_instances(options: argparse.Namespace) -> None:
    async def action(session: _LogSession) -> tuple[ClusterState, InstanceList | None]:
        try:
            return session.state, await session.log.instances()
        except LogError:
            return session.state, None

    state, instance_list = asyncio.run(_with_log(options, action))
    platform_states = (
        {item.name: item.state for item in instance_list.instances} if instance_list else {}
    )
    data = [
        {
            **unstructure(member),
            "roles": _roles(state, member.incarnation),
            "servers": _coordinated_servers(state, member.incarnation),
            "platform": platform_states.get(
                member.instance, "absent" if instance_list else "unknown"
            ),
        }
        for member in state.members.values()
    ]
    rows = [
        (
            item["instance"],
            item["incarnation"],
            item["failure_domain"],
            ",".join(item["roles"]),
            len(item["servers"]),
            item["platform"],
        )
        for item in data
    ]
    columns = ("INSTANCE", "INCARNATION", "DOMAIN", "ROLES", "SERVERS", "PLATFORM")
    _Output(options.json).show(data, render_table(columns, rows))


def _roles(state: ClusterState, incarnation: str) -> list[str]:
    roles = {
        "planner": incarnation == state.planner,
        "voter": incarnation in state.voters,
        "pending-voter": incarnation in state.pending_voters,
        "coordinator": bool(_coordinated_servers(state, incarnation)),
    }
    return [name for name, held in roles.items() if held]


def _coordinated_servers(state: ClusterState, incarnation: str) -> list[str]:
    return [
        server for server, item in state.coordinations.items() if item.incarnation == incarnation
    ]


def _run_audit(options: argparse.Namespace) -> None:
    entries = [
        entry
        for entry in _replay_state(options).audit
        if entry.offset >= options.since and options.subject in entry.subject
    ]
    rows = [
        (entry.offset, entry.actor, entry.subject, entry.old, entry.new, entry.cause)
        for entry in entries
    ]
    columns = ("OFFSET", "ACTOR", "SUBJECT", "OLD", "NEW", "CAUSE")
    data = [unstructure(entry) for entry in entries]
    _Output(options.json).show(data, render_table(columns, rows))


def _run_status(options: argparse.Namespace) -> None:
    _require_url(options.instance_url)
    data = asyncio.run(_fetch_status(options.instance_url.rstrip("/"), options.timeout))
    rows = [(name, _cell_text(value)) for name, value in data.items()]
    _Output(options.json).show(data, render_table(("NAME", "VALUE"), rows))


def _cell_text(value: Any) -> str:
    return value if isinstance(value, str) else json.dumps(value)


async def _fetch_status(url: str, timeout_s: float) -> dict[str, Any]:
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    try:
        async with (
            aiohttp.ClientSession(connector=BoundedConnector(), timeout=timeout) as session,
            session.get(f"{url}/hyssopwood/status", allow_redirects=False) as response,
        ):
            content = await response.content.read(MAX_STATUS_BYTES + 1)
            status = response.status
    except (aiohttp.ClientError, OSError, ValueError) as error:
        raise PeerUnavailableError(f"{url} can't be reached: {error}") from error
    try:
        data = json.loads(content)
    except ValueError as error:
        raise ProtocolError(f"{url} answered {status} without JSON") from error
    if not isinstance(data, dict):
        raise ProtocolError(f"{url} answered {status} without a JSON object")
    return data
