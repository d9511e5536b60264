"""YAML parser that keeps the line number of each value."""

from dataclasses import dataclass

import yaml

from hornbeamshore.base.validation import Violation, short_repr

MAX_NODES = 500_000  # limits the expansion of nested aliases

_Loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


class YamlParseError(ValueError):
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
    duplicate_keys : tuple of Violation
        Duplicate keys; the YAML loader would silently keep the last one.
    """

    raw: dict
    lines: dict
    duplicate_keys: tuple

    def line_of(self, path):
        """Return the line of a path, or of its nearest parent that has one."""
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path, 1)


def parse_yaml(text):
    """Parse a text whose top level is a mapping into a `Document`.

    Raises
    ------
    YamlParseError
        If the text is not YAML or is not a single mapping.
    """
    try:
        loader = _Loader(text)
        node = loader.get_single_node()
        if not isinstance(node, yaml.MappingNode):
            raise YamlParseError("expected a mapping at the top level", 1)
        lines, duplicate_keys = _index_lines(loader, node)
        return Document(loader.construct_document(node), lines, tuple(duplicate_keys))
    except yaml.YAMLError as exc:
        mark = getattr(exc, "problem_mark", None)
        reason = getattr(exc, "problem", None) or str(exc)
        raise YamlParseError(
            f"not YAML: {reason}", mark.line + 1 if mark else 1
        ) from exc
    except (RecursionError, ValueError) as exc:
        if isinstance(exc, YamlParseError):
            raise
        raise YamlParseError(f"not YAML: {exc}", 1) from exc


def _index_lines(loader, root):
    lines, duplicate_keys, pending, node_count = {(): 1}, [], [((), root)], 0
    while pending:
        path, node = pending.pop()
        node_count += 1
        if node_count > MAX_NODES:
            raise YamlParseError(f"not YAML: more than {MAX_NODES} values", 1)
        for key, key_node, child in _children(loader, node):
            child_path = (*path, key)
            if child_path in lines:
                duplicate_keys.append(
                    Violation(child_path, short_repr(key), "duplicate key")
                )
            lines[child_path] = key_node.start_mark.line + 1
            pending.append((child_path, child))
    return lines, duplicate_keys


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
