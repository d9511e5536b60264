"""Help texts of the commands, generated from their signatures and docstrings.

They replace the help of fire, which documents conventions of its own, such as flags
for positional arguments.
"""

import inspect

POSITIONAL_PARAMETERS = ("file",)

EXIT_CODES = """\
Exit codes:
  0  success
  1  condition not met or operation not successful; see the help of the command
  2  wrong settings, arguments or input
  3  entries or the store cannot be reached
"""


def find_command(root, words):
    """Return the command or group that the leading words name, and those words."""
    component, names = root, []
    for word in words:
        member = getattr(component, word, None) if not word.startswith("_") else None
        if member is None or inspect.isroutine(component):
            break
        component = member
        names.append(word)
    return component, names


def format_help(program, component, names):
    """Return the help text of a command or of a group of commands."""
    command_line = " ".join((program, *names))
    if not inspect.isroutine(component):
        return _group_help(command_line, component)
    lines = [f"Usage: {command_line} {_format_usage(component)}".rstrip(), ""]
    text = inspect.getdoc(component) or ""
    body, _, parameters = text.partition("Parameters\n----------\n")
    lines.append(body.rstrip())
    if parameters:
        lines += ["", "Arguments:", *_argument_lines(component, parameters)]
    return "\n".join((*lines, "", EXIT_CODES))


def _group_help(command_line, group):
    lines = [
        f"Usage: {command_line} COMMAND ...",
        "",
        inspect.getdoc(group),
        "",
        "Commands:",
    ]
    for name, member in sorted(vars(type(group)).items() | vars(group).items()):
        if not name.startswith("_"):
            summary = (inspect.getdoc(member) or "").partition("\n")[0]
            lines.append(f"  {name:8} {summary}")
    lines += [
        "",
        f"'{command_line} COMMAND --help' describes a command.",
        "",
        EXIT_CODES,
    ]
    return "\n".join(lines)


def _format_usage(command):
    words = []
    for name, parameter in inspect.signature(command).parameters.items():
        is_optional = parameter.default is not parameter.empty
        word = _format_parameter(name, parameter)
        words.append(f"[{word}]" if is_optional else word)
    return " ".join(words)


def _format_parameter(name, parameter):
    if parameter.kind is parameter.VAR_POSITIONAL:
        return f"{name.upper()} ..."
    if name in POSITIONAL_PARAMETERS or parameter.kind is parameter.POSITIONAL_ONLY:
        return name.upper()
    flag = f"--{name.replace('_', '-')}"
    if parameter.default is False:
        return flag
    is_named = parameter.default in (parameter.empty, "")
    return f"{flag} {name.upper() if is_named else parameter.default}"


def _argument_lines(command, text):
    signature = inspect.signature(command).parameters
    for line in text.splitlines():
        name = line.partition(" : ")[0]
        if name in signature:
            yield f"  {_format_parameter(name, signature[name])}"
        else:
            yield f"  {line}".rstrip()
