"""Parse JSON with comments into attrs classes and report every fault."""

from __future__ import annotations

import json
import re
from collections.abc import Iterator
from typing import Any, TypeVar

import json5
from attrs import Attribute, fields, has
from cattrs import Converter
from cattrs.errors import (
    AttributeValidationNote,
    BaseValidationError,
    ForbiddenExtraKeysError,
    IterableValidationNote,
)
from cattrs.gen import make_dict_structure_fn, override

from hyssopwood.errors import InputError, InputFault
from hyssopwood.validation import FieldError

T = TypeVar("T")

MAX_VALUE_CHARACTERS = 60
MAX_NESTING_DEPTH = 32
MAX_JSON5_CHARACTERS = 131_072


class DuplicateKeyError(ValueError):
    """Raised when an object contains the same key twice."""


def _strict_hook(kind: type) -> Any:
    def structure_scalar(value: object, _: type) -> object:
        if kind is float and type(value) is int:
            return float(value)
        if type(value) is not kind:
            raise FieldError(value, _TYPE_NAMES[kind])
        return value

    return structure_scalar


_TYPE_NAMES = {int: "an integer", float: "a number", str: "a string", bool: "true or false"}


def make_converter() -> Converter:
    """Return a converter that rejects unknown keys and only coerces integers to floats."""
    converter = Converter(forbid_extra_keys=True, detailed_validation=True)
    for kind in _TYPE_NAMES:
        converter.register_structure_hook(kind, _strict_hook(kind))
    converter.register_structure_hook_factory(
        has, lambda kind: _class_structure_hook(converter, kind)
    )
    return converter


def _class_structure_hook(converter: Converter, kind: type) -> Any:
    # A validator that fails in __init__ hides the faults of other fields and omits its own field's
    # name, so each field is also validated while it is structured.
    overrides = {
        attribute.name: override(struct_hook=_validating_hook(converter, attribute))
        for attribute in fields(kind)
        if attribute.validator is not None
    }
    structure_fields = make_dict_structure_fn(
        kind,
        converter,
        _cattrs_forbid_extra_keys=True,
        _cattrs_detailed_validation=True,
        **overrides,
    )

    def structure_object(value: Any, _: type) -> Any:
        if not isinstance(value, dict):
            raise FieldError(value, "an object with named fields")
        return structure_fields(value, kind)

    return structure_object


def _validating_hook(converter: Converter, attribute: Attribute[Any]) -> Any:
    def structure_field(value: object, kind: Any) -> object:
        structured = converter.structure(value, kind)
        if attribute.validator is not None:
            attribute.validator(None, attribute, structured)
        return structured

    return structure_field


_CONVERTER = make_converter()


def _shorten(value: object) -> str:
    text = repr(value)
    if len(text) <= MAX_VALUE_CHARACTERS:
        return text
    return text[:MAX_VALUE_CHARACTERS] + "..."


def _path_from_notes(error: BaseException) -> str:
    for note in getattr(error, "__notes__", ()):
        if isinstance(note, AttributeValidationNote):
            return f".{note.name}"
        if isinstance(note, IterableValidationNote):
            return f"[{note.index!r}]"
    return ""


def _faults_of(error: BaseException, path: str) -> Iterator[InputFault]:
    path += _path_from_notes(error)
    if isinstance(error, BaseValidationError):
        for inner in error.exceptions:
            yield from _faults_of(inner, path)
    elif isinstance(error, ForbiddenExtraKeysError):
        for name in sorted(error.extra_fields):
            yield InputFault(f"{path}.{name}", "an unknown key", "no such key")
    elif isinstance(error, FieldError):
        yield InputFault(path, _shorten(error.value), error.expected)
    elif isinstance(error, KeyError):
        yield InputFault(path, "nothing", "a value")
    elif isinstance(error, AttributeError):
        yield InputFault(path, "another type", "an object with named fields")
    else:
        yield InputFault(path, _shorten(str(error)), "a valid value")


_JSON_STRING = re.compile(r'"[^"\\]*(?:\\.[^"\\]*)*"', re.DOTALL)
_NON_BRACKETS = re.compile(r"[^{}\[\]]+")


def exceeds_nesting_limit(text: str) -> bool:
    """Return whether plain JSON nests more than MAX_NESTING_DEPTH levels.

    The parser's own limit depends on the depth of the call stack, so two instances could accept
    and reject the same text.
    """
    if text.count("{") + text.count("[") <= MAX_NESTING_DEPTH:
        return False
    return _nests_deeper_than(_JSON_STRING.sub("", text), MAX_NESTING_DEPTH)


def _nests_deeper_than(text: str, limit: int) -> bool:
    depth = 0
    for character in _NON_BRACKETS.sub("", text):
        if character in "{[":
            depth += 1
            if depth > limit:
                return True
        else:
            depth -= 1
    return False


def parse_json(source: str, text: str) -> Any:
    """Parse JSON with comments; raise InputError if it is malformed."""
    try:
        return parse_plain_json(text)
    except DuplicateKeyError as error:
        raise InputError(
            source, (InputFault("$", _shorten(str(error)), "each key once"),)
        ) from error
    except ValueError:
        return _parse_with_comments(source, text)


def _parse_with_comments(source: str, text: str) -> Any:
    # json5 is pure Python and parses about 40 KB/s, so parse_json tries plain JSON first.
    if len(text) > MAX_JSON5_CHARACTERS:
        expected = f"plain JSON, or at most {MAX_JSON5_CHARACTERS} characters with comments"
        raise InputError(source, (InputFault("$", f"{len(text)} characters", expected),))
    # The json5 parser recurses once per level.
    if _nests_deeper_than(text, MAX_NESTING_DEPTH):
        raise InputError(source, (InputFault("$", "deep nesting", f"{MAX_NESTING_DEPTH} levels"),))
    try:
        return json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as error:
        fault = InputFault("$", _shorten(str(error)), "JSON with comments")
        raise InputError(source, (fault,)) from error


def parse_plain_json(text: str) -> Any:
    """Parse strict JSON; raise ValueError if it is malformed or repeats a key."""
    if exceeds_nesting_limit(text):
        raise ValueError(f"nesting exceeds {MAX_NESTING_DEPTH} levels")
    return json.loads(text, object_pairs_hook=_unique_keys, parse_constant=_reject_constant)


def _unique_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    unique = dict(pairs)
    if len(unique) != len(pairs):
        names = [name for name, _ in pairs]
        raise DuplicateKeyError(next(name for name in names if names.count(name) > 1))
    return unique


def _reject_constant(name: str) -> Any:
    raise ValueError(f"{name} is not a JSON number")


def structure(source: str, data: Any, kind: type[T]) -> T:
    """Structure parsed JSON into an attrs class; raise InputError listing every fault."""
    try:
        return _CONVERTER.structure(data, kind)
    except (BaseValidationError, TypeError, ValueError, KeyError, AttributeError) as error:
        raise InputError(source, tuple(_faults_of(error, "$"))) from error


def unstructure(value: Any) -> Any:
    """Return plain JSON data for an attrs value."""
    return _CONVERTER.unstructure(value)


def parse_as(source: str, text: str, kind: type[T]) -> T:
    """Parse JSON with comments and structure it into an attrs class."""
    return structure(source, parse_json(source, text), kind)
