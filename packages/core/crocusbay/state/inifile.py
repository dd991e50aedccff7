"""INI files validated against a table of fields; all errors are reported together."""

from collections.abc import Callable, Mapping
from configparser import ConfigParser
from configparser import Error as ParserError
from dataclasses import dataclass
from typing import Any

from expression import Error, Ok, Result

from crocusbay.state.upstream import split_address


@dataclass(frozen=True, slots=True)
class InvalidValue:
    """Describe one validation error in a file."""

    section: str
    key: str
    value: str
    expected: str

    def __str__(self) -> str:
        return f"[{self.section}] {self.key} = {self.value!r}: expected {self.expected}"


@dataclass(frozen=True, slots=True)
class Field:
    """Describe one key: parser, text for error messages, default if optional."""

    parse: Callable[[str], Any]
    expected: str
    default: Any = None
    is_required: bool = True


def parse_text(text: str) -> str:
    """Return the text; raise ValueError if it is empty."""
    if not text:
        raise ValueError(text)
    return text


def parse_name(text: str) -> str:
    """Return a name; raise ValueError on any but letters, digits and ``._-``."""
    if not text or not all(c.isalnum() or c in "._-" for c in text):
        raise ValueError(text)
    return text


def parse_names(text: str) -> tuple[str, ...]:
    """Return names separated by commas; raise ValueError if one is repeated."""
    names = tuple(parse_name(part.strip()) for part in text.split(","))
    if len(set(names)) < len(names):
        raise ValueError(text)
    return names


def parse_address(text: str) -> str:
    """Return an address; raise ValueError unless it has the form ip:port."""
    split_address(text)
    return text


def parse_addresses(text: str) -> tuple[str, ...]:
    """Return addresses separated by commas; raise ValueError if one is malformed."""
    return tuple(
        parse_address(part.strip()) for part in text.split(",") if part.strip()
    )


def number_parser(low: float, high: float) -> Callable[[str], float]:
    """Return a parser for numbers from `low` to `high`."""

    def parse(text: str) -> float:
        number = float(text)
        if not low <= number <= high:
            raise ValueError(text)
        return number

    return parse


def integer_parser(low: int, high: int) -> Callable[[str], int]:
    """Return a parser for integers from `low` to `high`."""

    def parse(text: str) -> int:
        number = int(text)
        if not low <= number <= high:
            raise ValueError(text)
        return number

    return parse


def choice_parser(*choices: str) -> Callable[[str], str]:
    """Return a parser that accepts only the given choices."""

    def parse(text: str) -> str:
        if text not in choices:
            raise ValueError(text)
        return text

    return parse


FieldTable = Mapping[str, Field]
SectionValues = dict[str, Any]


def parse_ini(text: str) -> Result[ConfigParser, tuple[InvalidValue, ...]]:
    """Return the parsed file, or the first syntax error."""
    parser = ConfigParser(interpolation=None, inline_comment_prefixes=(";",))
    try:
        parser.read_string(text)
    except ParserError as error:
        return Error(
            (InvalidValue("file", "", str(error).splitlines()[0], "an INI file"),)
        )
    return Ok(parser)


def check_section(
    parser: ConfigParser, section: str, table: FieldTable
) -> tuple[SectionValues, list[InvalidValue]]:
    """Return the values of a section by key, and its validation errors."""
    given = dict(parser[section]) if parser.has_section(section) else {}
    errors = [
        InvalidValue(section, key, value, f"one of the keys {', '.join(table)}")
        for key, value in given.items()
        if key not in table
    ]
    values: SectionValues = {}
    for key, field in table.items():
        if key not in given:
            values[key] = field.default
            if field.is_required:
                errors.append(InvalidValue(section, key, "", field.expected))
            continue
        try:
            values[key] = field.parse(given[key])
        except ValueError:
            errors.append(InvalidValue(section, key, given[key], field.expected))
    return values, errors
