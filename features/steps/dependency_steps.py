"""Steps for the directions of imports."""

import ast
from pathlib import Path

from behave import given, then

SOURCE = Path(__file__).parent.parent.parent / "src"


def _imports(path):
    """Yield the modules that a module imports when it is loaded."""
    for node in ast.parse(path.read_text()).body:
        if isinstance(node, ast.ImportFrom) and node.module and not node.level:
            yield node.module
        elif isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)


@given("the modules of the package and their imports")
def step_modules(context):
    context.imports = {}
    for path in SOURCE.rglob("*.py"):
        name = ".".join(path.relative_to(SOURCE).with_suffix("").parts).removesuffix(".__init__")
        context.imports[name] = set(_imports(path))
    assert len(context.imports) > 100
    assert "hyssopwood.gateway.dispatcher" in context.imports["hyssopwood.gateway.daemon"]


@then("no chain of imports leads back to where it began")
def step_acyclic(context):
    done = set()

    def visit(name, chain):
        if name in done or name not in context.imports:
            return
        assert name not in chain, [*chain[chain.index(name) :], name]
        for other in sorted(context.imports[name]):
            visit(other, [*chain, name])
        done.add(name)

    for name in sorted(context.imports):
        visit(name, [])


def _in(name, room):
    return name == room or name.startswith(f"{room}.")


@then('no module of "{room}" imports from "{above}"')
def step_one_way(context, room, above):
    room, _, but = room.partition(" but ")
    rooms = above.split(",")
    assert any(_in(name, item) for item in rooms for name in context.imports)
    for name, imported in context.imports.items():
        if not _in(name, room) or (but and _in(name, f"{room}.{but}")):
            continue
        wrong = [item for item in imported if any(_in(item, other) for other in rooms)]
        assert not wrong, (name, wrong)
