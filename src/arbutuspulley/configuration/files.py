"""Parsing of configuration files: YAML validated against the typed schema.

All problems of a file are reported together, each with the file, the path of the key
and the reason, so that an operator can correct a file in one go.
"""

import types
import typing
from collections.abc import Iterator
from typing import Any, TypeVar

import msgspec
import yaml

from arbutuspulley.data import Document, Value
from arbutuspulley.results import Code, ConfigurationError

MAX_FILE_BYTES = 4 * 1024 * 1024
"""Maximum size of a configuration file."""

MAX_DEPTH = 16
"""Maximum nesting depth; the schema needs far less."""

MAX_PROBLEMS = 50
"""Maximum number of problems reported per file; the first ones are sufficient."""

_Document = TypeVar("_Document", bound=Document)
_ScalarLoader: type = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
_MERGE_TAG = "tag:yaml.org,2002:merge"


class SourceFile(Value, frozen=True):
    """The source text of a configuration file.

    :param name: name for error messages; no file is opened by this name.
    """

    name: str
    text: str


class FilesError(ExceptionGroup[ConfigurationError]):
    """All problems of a set of files; nothing was changed."""

    def show(self) -> str:
        """Return a readable message with one line per problem."""
        lines = [f"{self.message}:"]
        lines.extend(f"  {error.show()}" for error in self.list_errors())
        return "\n".join(lines)

    def list_errors(self) -> tuple[ConfigurationError, ...]:
        """Return the problems in the order of the files."""
        return tuple(
            error for error in self.exceptions if isinstance(error, ConfigurationError)
        )


class Problem(Value, frozen=True):
    """One invalid value in a file.

    :param key: path of the key, for example ``$.models.a.size_mib``.
    """

    key: str
    reason: str


def raise_errors(errors: list[ConfigurationError]) -> None:
    """Raise all errors as one group; do nothing if there are none.

    :raises FilesError: with the errors.
    """
    if errors:
        raise FilesError("configuration refused", errors)


def parse_document(file: SourceFile, kind: type[_Document]) -> _Document:
    """Parse one file.

    :param kind: type of the document.
    :raises FilesError: with all problems of the file, at most :data:`MAX_PROBLEMS` of
        the schema.
    """
    content = _load(file)
    problems = list(find_problems(content, kind))[:MAX_PROBLEMS]
    raise_errors(
        [
            ConfigurationError(
                code=Code.BAD_SCHEMA,
                detail=problem.reason,
                file=file.name,
                key=problem.key,
            )
            for problem in problems
        ]
    )
    return msgspec.convert(content, kind)


def find_problems(content: Any, kind: Any, key: str = "$") -> Iterator[Problem]:
    """Yield all values in ``content`` that do not match the type, at any depth.

    msgspec's conversion reports only the first problem and does not name mapping keys,
    so a failed conversion is repeated for each nested value.
    """
    try:
        msgspec.convert(content, kind)
    except msgspec.ValidationError as error:
        yield from _find_nested_problems(
            content, _strip_optional(kind), key, str(error)
        )


def _find_nested_problems(
    content: Any, kind: Any, key: str, reason: str
) -> Iterator[Problem]:
    if isinstance(content, dict) and typing.get_origin(kind) is dict:
        yield from _find_in_mapping(content, kind, key)
    elif isinstance(content, dict) and _is_struct(kind):
        yield from _find_in_struct(content, kind, key)
    else:
        yield Problem(key=key, reason=reason)


def _find_in_mapping(content: dict[Any, Any], kind: Any, key: str) -> Iterator[Problem]:
    name_kind, value_kind = typing.get_args(kind)
    for name, nested in content.items():
        for problem in find_problems(name, name_kind, f"{key}.{name}"):
            yield Problem(key=problem.key, reason=f"invalid name: {problem.reason}")
        yield from find_problems(nested, value_kind, f"{key}.{name}")


def _find_in_struct(
    content: dict[Any, Any], kind: type[msgspec.Struct], key: str
) -> Iterator[Problem]:
    fields = {field.encode_name: field for field in msgspec.structs.fields(kind)}
    for name, nested in content.items():
        if name in fields:
            yield from find_problems(nested, fields[name].type, f"{key}.{name}")
        else:
            known = ", ".join(fields)
            yield Problem(key=f"{key}.{name}", reason=f"unknown key; known: {known}")
    for name, field in fields.items():
        if field.required and name not in content:
            yield Problem(key=f"{key}.{name}", reason="required key is missing")


def _is_struct(kind: Any) -> bool:
    return isinstance(kind, type) and issubclass(kind, msgspec.Struct)


def _strip_optional(kind: Any) -> Any:
    if typing.get_origin(kind) not in (typing.Union, types.UnionType):
        return kind
    kinds = [member for member in typing.get_args(kind) if member is not type(None)]
    return kinds[0] if len(kinds) == 1 else kind


class _Loader(_ScalarLoader):
    """Loads plain YAML; rejects duplicate keys and merge keys."""

    def construct_mapping(self, node: Any, deep: bool = False) -> dict[Any, Any]:
        """Build a mapping and reject duplicate keys.

        PyYAML silently keeps the last of two equal keys: of two servers entered under
        one name, the first would be missing from the configuration.
        """
        seen = set()
        for name, _ in node.value:
            if name.tag == _MERGE_TAG:
                raise _build_yaml_error(name, "merge keys are not supported")
            if name.value in seen:
                raise _build_yaml_error(name, f"key {name.value!r} is duplicated")
            seen.add(name.value)
        return super().construct_mapping(node, deep=deep)


def _load(file: SourceFile) -> Any:
    size = len(file.text.encode())
    if size > MAX_FILE_BYTES:
        detail = f"the file has {size} bytes, the limit is {MAX_FILE_BYTES}"
        raise _build_syntax_error(file, detail, "$")
    try:
        _check_events(file.text)
        content = yaml.load(file.text, Loader=_Loader)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        where = f"line {mark.line + 1}, column {mark.column + 1}" if mark else "$"
        raise _build_syntax_error(file, str(error.problem), where) from None
    except (yaml.YAMLError, ValueError) as error:
        raise _build_syntax_error(file, str(error).splitlines()[0], "$") from None
    if not isinstance(content, dict):
        raise _build_syntax_error(file, "the file does not contain a mapping", "$")
    return content


def _check_events(text: str) -> None:
    """Reject aliases and deep nesting before any object is constructed.

    A few nested aliases can expand to billions of values, and deep nesting exhausts the
    stack: either would crash the console.
    """
    depth = 0
    for event in yaml.parse(text, Loader=_ScalarLoader):
        if isinstance(event, yaml.AliasEvent):
            raise _build_yaml_error(event, "anchors and aliases are not supported")
        if isinstance(event, yaml.CollectionStartEvent):
            depth += 1
        if isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
        if depth > MAX_DEPTH:
            raise _build_yaml_error(event, f"nested deeper than {MAX_DEPTH}")


def _build_yaml_error(node: Any, problem: str) -> yaml.MarkedYAMLError:
    return yaml.MarkedYAMLError(problem=problem, problem_mark=node.start_mark)


def _build_syntax_error(file: SourceFile, detail: str, key: str) -> FilesError:
    error = ConfigurationError(
        code=Code.BAD_SYNTAX, detail=detail, file=file.name, key=key
    )
    return FilesError("configuration refused", [error])
