"""Commands on the gateway's configuration."""

from __future__ import annotations

import argparse
import asyncio
import json
from pathlib import Path
from typing import Any

from attrs import frozen

from hyssopwood.errors import ConfigurationRejectedError, InputError
from hyssopwood.gateway.configuration_check import (
    Difference,
    Finding,
    Severity,
    check_table,
    compare_tables,
)
from hyssopwood.gateway.route_table import RouteTable
from hyssopwood.platform.configuration_check import fetch_configuration, read_configuration
from hyssopwood.settings import read_text
from hyssopwood.tables import render_table

MAX_CONFIGURATION_BYTES = 16 * 1_048_576


@frozen
class _Report:
    """The result of a check."""

    version: int
    findings: tuple[Finding, ...]
    # None if there was no version in force to compare with.
    differences: tuple[Difference, ...] | None

    @property
    def error_count(self) -> int:
        return sum(item.severity is Severity.ERROR for item in self.findings)

    def data(self) -> dict[str, Any]:
        """Return the report as plain data."""
        return {
            "version": self.version,
            "valid": not self.error_count,
            "findings": [
                {"severity": item.severity.value, "subject": item.subject, "detail": item.detail}
                for item in self.findings
            ],
            "differences": (
                None
                if self.differences is None
                else [
                    {
                        "change": item.change.value,
                        "subject": item.subject,
                        "field": item.field,
                        "old": item.old,
                        "new": item.new,
                    }
                    for item in self.differences
                ]
            ),
        }

    def text(self) -> str:
        """Return the report for people."""
        warnings = len(self.findings) - self.error_count
        parts = [f"version {self.version}: {self.error_count} errors, {warnings} warnings"]
        if self.findings:
            rows = [(item.severity.value, item.subject, item.detail) for item in self.findings]
            parts.append(render_table(("SEVERITY", "ENTRY", "DETAIL"), rows))
        if self.differences:
            changes = [
                (item.change.value, item.subject, item.field, item.old, item.new)
                for item in self.differences
            ]
            parts.append(render_table(("CHANGE", "ENTRY", "FIELD", "IN FORCE", "NEW"), changes))
        elif self.differences is not None:
            parts.append("no difference from the version in force")
        return "\n\n".join(parts)


def add_configuration_commands(commands: Any) -> None:
    """Add the commands to the parser of the program."""
    configuration = commands.add_parser(
        "configuration", help="check a configuration of the gateway"
    )
    actions = configuration.add_subparsers(required=True, metavar="ACTION")
    check = actions.add_parser(
        "check",
        help="report errors, routes that never match and what differs from the version in force",
        description="Check a configuration before it is published. Exit codes: 0 without errors, "
        "3 if the document can't be decoded, 4 if it has errors, 5 if the store can't be read.",
    )
    check.add_argument("file", type=Path, metavar="FILE")
    in_force = check.add_mutually_exclusive_group()
    in_force.add_argument("--in-force", type=Path, metavar="FILE", help="version to compare with")
    in_force.add_argument(
        "--store", metavar="HOST:PORT", help="compare with the version in this store"
    )
    check.add_argument("--json", action="store_true")
    check.set_defaults(command=_run_check)


def _run_check(options: argparse.Namespace) -> None:
    table = _load(str(options.file), _read(options.file))
    in_force = _load_in_force(options)
    differences = None if in_force is None else compare_tables(table, in_force)
    report = _Report(table.version, check_table(table, in_force), differences)
    print(json.dumps(report.data(), indent=2) if options.json else report.text())
    if report.error_count:
        raise ConfigurationRejectedError(
            f"{options.file}: the configuration has {report.error_count} errors"
        )


def _load_in_force(options: argparse.Namespace) -> RouteTable | None:
    if options.in_force is not None:
        return _load(str(options.in_force), _read(options.in_force))
    if options.store is not None:
        return _load(options.store, asyncio.run(fetch_configuration(options.store)))
    return None


def _read(path: Path) -> bytes:
    return read_text(path, MAX_CONFIGURATION_BYTES).encode()


def _load(source: str, value: bytes) -> RouteTable:
    checked = read_configuration(value)
    if checked.table is None:
        raise InputError(source, checked.faults)
    return checked.table
