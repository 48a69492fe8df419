"""Steps for the direction of imports between modules."""

import ast
from pathlib import Path

from behave import given, then

SOURCE = Path(__file__).parent.parent.parent / "src"


def _imports(path):
    """Yield the modules that a module imports at its top level."""
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


@then("the imports contain no cycle")
def step_acyclic(context):
    visited = set()

    def visit(name, chain):
        if name in visited or name not in context.imports:
            return
        assert name not in chain, [*chain[chain.index(name) :], name]
        for other in sorted(context.imports[name]):
            visit(other, [*chain, name])
        visited.add(name)

    for name in sorted(context.imports):
        visit(name, [])


def _is_within(name, package):
    return name == package or name.startswith(f"{package}.")


@then('no module of "{layer}" imports from "{upper}"')
def step_one_way(context, layer, upper):
    layer, _, exception = layer.partition(" but ")
    upper_layers = upper.split(",")
    assert any(_is_within(name, item) for item in upper_layers for name in context.imports)
    for name, imported in context.imports.items():
        if not _is_within(name, layer) or (exception and _is_within(name, f"{layer}.{exception}")):
            continue
        wrong = [
            item for item in imported if any(_is_within(item, other) for other in upper_layers)
        ]
        assert not wrong, (name, wrong)
