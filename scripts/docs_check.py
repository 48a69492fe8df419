"""Check the docs against the code: links, event catalogue, settings tables and examples."""

from __future__ import annotations

import re
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

from attrs import NOTHING, fields

from hyssopwood.events import Event
from hyssopwood.gateway.gateway_settings import Bounds, GatewaySettings
from hyssopwood.settings import Limits, Settings, Timing

ROOT = Path(__file__).parent.parent
LINK = re.compile(r"\[[^\]]*\]\(([^)#\s]+)(#[^)\s]*)?\)")
EVENT_ROW = re.compile(r"^\| E(\d{3}) \| (\w+) \| ([A-Z]+) \| ([^|]+?) \|", re.MULTILINE)
EVENT_USE = re.compile(r"\bEvent\.([A-Z_]+)\b")
SETTING_ROW = re.compile(r"^\| `([\w.]+)` \| `?([^|`]*)`? \|", re.MULTILINE)


def _broken_links() -> Iterator[str]:
    pages = [ROOT / "README.md", ROOT / "CHANGES.md", *sorted((ROOT / "docs").glob("**/*.md"))]
    for page in pages:
        for match in LINK.finditer(page.read_text(encoding="utf-8")):
            target = match.group(1)
            if "://" not in target and not (page.parent / target).exists():
                yield f"{page.relative_to(ROOT)}: link target {target!r} does not exist"


def _event_faults() -> Iterator[str]:
    text = (ROOT / "docs" / "events.md").read_text(encoding="utf-8")
    documented_rows = {int(number): row for number, *row in EVENT_ROW.findall(text)}
    events_by_number = {event.value.number: event for event in Event}
    if len(events_by_number) != len(Event):
        yield "two events have the same number"
    for number, event in events_by_number.items():
        spec = event.value
        if documented_rows.get(number) != [event.name, spec.level, spec.message]:
            yield f"docs/events.md: E{number:03d} differs from the code or is missing"
    for number in sorted(documented_rows.keys() - events_by_number.keys()):
        yield f"docs/events.md: E{number:03d} is not in the code"
    yield from _unused_events()


def _unused_events() -> Iterator[str]:
    used: set[str] = set()
    for module in (ROOT / "src" / "hyssopwood").rglob("*.py"):
        if module.name != "events.py":
            used.update(EVENT_USE.findall(module.read_text(encoding="utf-8")))
    for event in Event:
        if event.name not in used:
            yield f"event {event.name} is never emitted"


def _setting_faults() -> Iterator[str]:
    text = (ROOT / "docs" / "settings.md").read_text(encoding="utf-8")
    text = text.partition("| gateway setting |")[0]
    documented_rows = dict(SETTING_ROW.findall(text))
    expected: dict[str, str] = {}
    for prefix, kind in (("", Settings), ("timing.", Timing), ("limits.", Limits)):
        for item in fields(kind):
            if item.name not in ("timing", "limits"):
                default = "required" if item.default is NOTHING else str(item.default)
                expected[prefix + item.name] = default
    for name in sorted(expected.keys() | documented_rows.keys()):
        documented, actual = documented_rows.get(name), expected.get(name)
        if documented != actual:
            yield f"docs/settings.md: {name} is {documented}, the code has {actual}"


def _gateway_setting_faults() -> Iterator[str]:
    text = (ROOT / "docs" / "settings.md").read_text(encoding="utf-8")
    section = text.partition("| gateway setting |")[2]
    documented_names = set(re.findall(r"^\| `([\w.]+)` \|", section, re.MULTILINE))
    expected = {item.name for item in fields(GatewaySettings)} - {"bounds"}
    expected |= {f"bounds.{item.name}" for item in fields(Bounds)}
    for name in sorted(documented_names ^ expected):
        yield f"docs/settings.md: gateway setting {name} differs from the code"


def _example_faults() -> Iterator[str]:
    examples = sorted((ROOT / "examples").glob("*.jsonc"))
    if not examples:
        yield "there are no examples"
    for example in examples:
        command = [sys.executable, "-m", "hyssopwood", "check", str(example)]
        result = subprocess.run(command, capture_output=True, text=True, check=False)
        if result.returncode:
            yield f"{example.relative_to(ROOT)}: {result.stderr.strip() or result.stdout.strip()}"


def main() -> int:
    """Print every fault; return 1 if there is one."""
    checks = (
        _broken_links,
        _event_faults,
        _setting_faults,
        _gateway_setting_faults,
        _example_faults,
    )
    faults = [fault for check in checks for fault in check()]
    for fault in faults:
        print(f"docs: {fault}")
    if not faults:
        print("docs: links, events, settings and examples agree with the code")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
