"""Schemas and records of earlier builds, and messages filled with values of their own."""

import itertools
import json
from pathlib import Path

import capnp

DATA = Path(__file__).parents[1] / "data" / "builds"
PRESENT = Path(__file__).parents[2] / "src" / "hyssopwood"
_INTEGERS = {"uint8", "uint16", "uint32", "uint64", "int8", "int16", "int32", "int64"}


# A parser must outlive the schemas that it has loaded.
_parsers = []


def load_schema(folder, name):
    """Load a schema on its own, as two builds' versions of it have the same identity."""
    _parsers.append(capnp.SchemaParser())
    return _parsers[-1].load(str(folder / name))


def records(build):
    """Return what a build stores and accepts."""
    return json.loads((DATA / build / "records.json").read_text(encoding="utf-8"))


def union_kinds(schema):
    """Return the names of the kinds of a message."""
    return [field.name for field in schema.node.struct.fields if field.discriminantValue != 0xFFFF]


def enumerants(schema):
    """Yield the name and the number of enumerants of each enumeration in a schema's messages."""
    seen, pending = set(), [schema]
    while pending:
        struct = pending.pop()
        for name, field in struct.fields.items():
            kind = _type(field.proto)
            inner = _inner(field, kind)
            if kind == "enum":
                yield inner.node.displayName.rpartition(".")[2], len(inner.enumerants)
            elif inner is not None and inner.node.id not in seen:
                seen.add(inner.node.id)
                pending.append(inner)
            assert name


def _type(proto):
    return proto.slot.type.which() if proto.which() == "slot" else "group"


def _inner(field, kind):
    if kind == "list":
        element = field.proto.slot.type.list.elementType.which()
        return field.schema.elementType if element == "struct" else None
    return field.schema if kind in ("struct", "group", "enum") else None


def fill(message, schema, numbers=None):
    """Set every field outside of unions to a value that no other field has."""
    numbers = numbers or itertools.count(1)
    for name, field in schema.fields.items():
        if field.proto.discriminantValue == 0xFFFF:
            _set(message, name, field, numbers)


def _set(message, name, field, numbers):
    kind = _type(field.proto)
    if kind == "struct":
        fill(message.init(name), field.schema, numbers)
    elif kind == "list":
        _set_list(message, name, field, numbers)
    elif kind == "enum":
        setattr(message, name, len(field.schema.enumerants) - 1)
    elif kind != "void":
        setattr(message, name, _value(kind, numbers))


def _set_list(message, name, field, numbers):
    element = field.proto.slot.type.list.elementType.which()
    items = message.init(name, 1)
    if element == "struct":
        fill(items[0], field.schema.elementType, numbers)
    else:
        items[0] = _value(element, numbers)


def _value(kind, numbers):
    if kind == "bool":
        return True
    number = next(numbers)
    if kind in _INTEGERS:
        return number
    if kind in ("float32", "float64"):
        return float(number)
    return f"value {number}" if kind == "text" else f"value {number}".encode()
