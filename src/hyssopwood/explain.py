"""Explain a request's outcome from the gateway's log lines."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

from attrs import frozen

from hyssopwood.errors import NotFoundError
from hyssopwood.settings import read_text

# Earlier log lines about the instance's state or the server are shown up to this age.
CONTEXT_WINDOW_S = 10.0
MAX_LOG_BYTES = 1_073_741_824

_CAUSE_TEXTS = {
    "stopping": "the instance was shutting down",
    "no-configuration": "the instance had not received a configuration yet",
    "no-route": "no route of the configuration in force matched the host and path",
    "bad-head": "the request's headers were invalid",
    "no-owner": "no usable server owned the key: its owner was lost, leaving or suspected",
    "no-server": "no server was registered for the service",
    "evacuated": "the owner, or all servers of the service, were in evacuated failure domains",
    "server-refused": "the server said that it did not run the request",
    "server-busy": "every eligible server had asked this instance to back off",
    "cut-off": "the instance had lost its links to the service, and no other one had any",
    "server-unreachable": "no connection to the server could be made, or the server was leaving",
    "predicted-late": "the predicted wait for the server exceeded the time left",
    "deadline": "the request's deadline passed",
    "broken": "the connection broke after the request was sent",
    "bad-answer": "the server's answer was malformed, unsigned or for another request",
    "moved": "the key moved while the request waited",
}
_OUTCOME_TEXTS = {
    500: "was refused and has not run",
    501: "may have run",
    508: "was answered",
}
_INSTANCE_EVENTS = frozenset({100, 102, 103, 200, 201, 210, 211, 214, 215, 303, 305})
_REPEATED = 516
_SERVER_EVENTS = frozenset({212, 412, 416, 417, 509})


@frozen
class LogLine:
    """A parsed log line."""

    time: float
    event: int
    instance: str
    fields: dict[str, Any]

    def formatted(self) -> str:
        """Return the line in readable form."""
        hidden = ("time", "level", "event", "name", "instance")
        rest = " ".join(f"{key}={value}" for key, value in self.fields.items() if key not in hidden)
        return f"{self.time:.3f} {self.instance} {self.fields.get('name')} {rest}"


def read_lines(files: Iterable[Path]) -> Iterator[LogLine]:
    """Yield the gateway's log lines; skip other lines and text before the JSON object."""
    for file in files:
        for text in read_text(file, MAX_LOG_BYTES).splitlines():
            start = text.find("{")
            if start < 0:
                continue
            try:
                fields = json.loads(text[start:])
                yield LogLine(fields["time"], fields["event"], fields["instance"], fields)
            except (ValueError, KeyError, TypeError):
                continue


def explain(request_id: str, lines: Iterable[LogLine]) -> str:
    """Return an explanation of a request's outcome; raise NotFoundError if no line names it."""
    ordered = sorted(lines, key=lambda line: line.time)
    of_request = [line for line in ordered if line.fields.get("request") == request_id]
    outcomes = [line for line in of_request if line.event != _REPEATED] or of_request
    if not outcomes:
        raise NotFoundError(f"no log line names request {request_id}")
    parts = [_explain_outcome(outcome, ordered) for outcome in outcomes]
    return "\n\n".join(parts)


def _explain_outcome(outcome: LogLine, ordered: list[LogLine]) -> str:
    fields = outcome.fields
    cause = str(fields.get("cause", ""))
    rows = [
        f"request {fields['request']} on {outcome.instance} "
        f"{_OUTCOME_TEXTS.get(outcome.event, 'ended')}",
        f"cause: {cause or 'none'}: {_CAUSE_TEXTS.get(cause, fields.get('detail', ''))}",
        f"detail: {fields.get('detail', '')}",
        f"decided on: configuration {fields.get('configuration')}{_known(fields)}, "
        f"plan {fields.get('plan')}, key {fields.get('key')}, "
        f"server {fields.get('server') or 'none'}, {fields.get('sends')} sends, "
        f"{fields.get('elapsed_ms')} ms after it arrived",
        "before it:",
    ]
    rows += [f"  {line.formatted()}" for line in ordered if _is_context(line, outcome)]
    return "\n".join(rows)


def _known(fields: dict[str, Any]) -> str:
    """Return how old the knowledge of the newest configuration was, if the line has it."""
    if "configuration_from" not in fields:
        return ""
    age_ms = fields.get("configuration_known_ms_ago")
    return f" (the newest {age_ms} ms before, by the {fields['configuration_from']})"


def _is_context(line: LogLine, outcome: LogLine) -> bool:
    if not 0 <= outcome.time - line.time <= CONTEXT_WINDOW_S:
        return False
    if line.event == _REPEATED:
        return bool(line.fields.get("request") == outcome.fields["request"])
    if line.event in _INSTANCE_EVENTS:
        return line.instance == outcome.instance
    if line.event not in _SERVER_EVENTS:
        return False
    fields = line.fields
    server, key = outcome.fields.get("server"), outcome.fields.get("key")
    names_server = bool(server) and fields.get("server") == server
    covers_key = key is not None and "first" in fields and fields["first"] <= key <= fields["last"]
    # Events of grants and releases are logged by the leader, which may be another instance.
    applies = line.instance == outcome.instance or line.event in (412, 416, 417)
    return applies and (names_server or covers_key)
