"""YAML parser that keeps the line number of each value."""

from dataclasses import dataclass

import yaml

from hornbeamshore.base.faults import Fault, shown

MAX_NODES = 500_000  # limits the expansion of nested aliases

_Loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


class NotYaml(ValueError):  # noqa: N818
    """A text is not a YAML mapping; `line` is the line of the error, from 1."""

    def __init__(self, message, line):
        super().__init__(message)
        self.line = line


@dataclass(frozen=True, slots=True)
class Document:
    """Parsed YAML text.

    Attributes
    ----------
    raw : dict
        Content of the document.
    lines : dict
        Line number, from 1, by path.
    faults : tuple of Fault
        Duplicate keys; the YAML loader would silently keep the last one.
    """

    raw: dict
    lines: dict
    faults: tuple

    def line_of(self, path):
        """Return the line of a path, or of its nearest parent that has one."""
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path, 1)


def parse_yaml(text):
    """Parse a text whose top level is a mapping into a `Document`.

    Raises
    ------
    NotYaml
        If the text is not YAML or is not a single mapping.
    """
    try:
        loader = _Loader(text)
        node = loader.get_single_node()
        if not isinstance(node, yaml.MappingNode):
            raise NotYaml("expected a mapping at the top level", 1)
        lines, faults = _index(loader, node)
        return Document(loader.construct_document(node), lines, tuple(faults))
    except yaml.YAMLError as exc:
        mark = getattr(exc, "problem_mark", None)
        reason = getattr(exc, "problem", None) or str(exc)
        raise NotYaml(f"not YAML: {reason}", mark.line + 1 if mark else 1) from exc
    except (RecursionError, ValueError) as exc:
        if isinstance(exc, NotYaml):
            raise
        raise NotYaml(f"not YAML: {exc}", 1) from exc


def _index(loader, top):
    lines, faults, waiting, nodes = {(): 1}, [], [((), top)], 0
    while waiting:
        path, node = waiting.pop()
        nodes += 1
        if nodes > MAX_NODES:
            raise NotYaml(f"not YAML: more than {MAX_NODES} values", 1)
        for step, place, child in _children(loader, node):
            child_path = (*path, step)
            if child_path in lines:
                faults.append(Fault(child_path, shown(step), "duplicate key"))
            lines[child_path] = place.start_mark.line + 1
            waiting.append((child_path, child))
    return lines, faults


def _children(loader, node):
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            if (
                isinstance(key, yaml.ScalarNode)
                and key.tag != "tag:yaml.org,2002:merge"
            ):
                yield loader.construct_object(key), key, value
    elif isinstance(node, yaml.SequenceNode):
        for index, item in enumerate(node.value):
            yield index, item, item
