"""Checks that imports are acyclic and that the documentation names only files and classes that exist."""

from __future__ import annotations

import ast
import re
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGE = "sidecar_balancer"
INPUT_OUTPUT_MODULES = {"asyncio", "logging", "os", "pathlib", "selectors", "socket", "subprocess", "time"}
PAGES = ("docs/ARCHITECTURE.md", "docs/GLOSSARY.md")

Graph = dict[str, set[str]]


def module_name(path: Path) -> str:
    """Return the dotted module name of a source file; for an __init__.py that of its package."""
    parts = list(path.relative_to(ROOT).with_suffix("").parts)
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


SOURCES = {module_name(path): path for path in sorted((ROOT / PACKAGE).rglob("*.py"))}


def imported_modules(path: Path) -> set[str]:
    """Return the package's modules that a file imports, including local and type-checking imports."""
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module is not None:
            for alias in node.names:
                submodule = f"{node.module}.{alias.name}"
                found.add(submodule if submodule in SOURCES else node.module)
    return found & set(SOURCES)


def package_of(module: str) -> str:
    """Return the subpackage of a module, or the module itself if it is at the top level."""
    return ".".join(module.split(".")[:2])


def module_graph() -> Graph:
    return {name: imported_modules(path) - {name} for name, path in SOURCES.items()}


def package_graph() -> Graph:
    graph: Graph = {}
    for module, imported in module_graph().items():
        graph.setdefault(package_of(module), set()).update(package_of(each) for each in imported)
    return {package: imported - {package} for package, imported in graph.items()}


def find_cycle(graph: Graph) -> list[str]:
    """Return the nodes of a cycle, empty if there is none."""
    try:
        TopologicalSorter(graph).prepare()
    except CycleError as error:
        cycle: list[str] = error.args[1]
        return cycle
    return []


@pytest.mark.parametrize("graph", [module_graph(), package_graph()], ids=["modules", "packages"])
def test_imports_have_no_cycle(graph: Graph) -> None:
    assert find_cycle(graph) == []


def test_a_cycle_is_found() -> None:
    assert find_cycle({"a": {"b"}, "b": {"c"}, "c": {"a"}, "d": set()})


def test_policy_imports_no_other_package() -> None:
    assert package_graph()[f"{PACKAGE}.policy"] == set()


def test_policy_uses_no_input_or_output_of_the_standard_library() -> None:
    for name, path in SOURCES.items():
        if not name.startswith(f"{PACKAGE}.policy"):
            continue
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            names = [alias.name for alias in node.names] if isinstance(node, ast.Import) else []
            if isinstance(node, ast.ImportFrom):
                names = [node.module or ""]
            used = {each.split(".")[0] for each in names} & INPUT_OUTPUT_MODULES
            assert not used, f"{name} imports {used}"


def defined_names() -> set[str]:
    """Return the names of the classes and functions that the package defines."""
    names: set[str] = set()
    for path in SOURCES.values():
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(node, (ast.ClassDef, ast.FunctionDef, ast.AsyncFunctionDef)):
                names.add(node.name)
    return names


@pytest.mark.parametrize("page", PAGES)
def test_a_page_names_only_files_that_exist(page: str) -> None:
    text = (ROOT / page).read_text(encoding="utf-8")
    paths = set(re.findall(rf"`((?:{PACKAGE}|docs|tests|bench|tools|deploy)/[\w./-]*)`", text))
    assert paths
    assert sorted(path for path in paths if not (ROOT / path).exists()) == []


@pytest.mark.parametrize("page", PAGES)
def test_a_page_names_only_classes_that_exist(page: str) -> None:
    text = (ROOT / page).read_text(encoding="utf-8")
    classes = set(re.findall(r"`([A-Z][a-z]+(?:[A-Z][a-z]+)+)`", text))
    assert classes
    assert sorted(classes - defined_names()) == []
