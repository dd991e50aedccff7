"""Settings of one host, read from an INI file."""

from dataclasses import dataclass

from expression import Error, Ok, Result

from crocusbay.state.inifile import (
    Field,
    InvalidValue,
    check_section,
    choice_parser,
    number_parser,
    parse_address,
    parse_addresses,
    parse_ini,
    parse_name,
)

ENTRY_LIFETIME_SECONDS = 5.0
DRAIN_LIMIT_SECONDS = 30.0


@dataclass(frozen=True)
class Settings:
    """Settings of one host (durations in seconds)."""

    name: str
    place: str
    caller_address: str
    peer_address: str
    platform_address: str
    seeds: tuple[str, ...]
    entry_lifetime: float
    drain_limit: float
    log_level: str


_SECTIONS = {
    "host": {
        "name": Field(parse_name, "a name such as host-1"),
        "place": Field(parse_name, "the name of this host's data centre"),
        "log_level": Field(
            choice_parser("debug", "info", "warning", "error"),
            "one of debug, info, warning, error",
            default="info",
            is_required=False,
        ),
    },
    "callers": {
        "address": Field(parse_address, "ip:port to listen on, such as 10.0.0.1:8000"),
        "entry_lifetime": Field(
            number_parser(0.1, 3600),
            "seconds from 0.1 to 3600",
            default=ENTRY_LIFETIME_SECONDS,
            is_required=False,
        ),
        "drain_limit": Field(
            number_parser(0, 3600),
            "seconds from 0 to 3600",
            default=DRAIN_LIMIT_SECONDS,
            is_required=False,
        ),
    },
    "peers": {
        "address": Field(parse_address, "ip:port to listen on, such as 10.0.0.1:8001"),
        "seeds": Field(
            parse_addresses,
            "addresses ip:port of other hosts, separated by commas",
            default=(),
            is_required=False,
        ),
    },
    "platform": {
        "address": Field(parse_address, "ip:port of the platform's object API"),
    },
}


def parse_settings(text: str) -> Result[Settings, tuple[InvalidValue, ...]]:
    """Return the settings from an INI text, or all of its validation errors."""
    parsed = parse_ini(text)
    if parsed.is_error():
        return Error(parsed.error)
    parser = parsed.ok
    errors = [
        InvalidValue(section, "", "", f"one of the sections {', '.join(_SECTIONS)}")
        for section in parser.sections()
        if section not in _SECTIONS
    ]
    values_by_section = {}
    for section, table in _SECTIONS.items():
        values_by_section[section], section_errors = check_section(
            parser, section, table
        )
        errors += section_errors
    if errors:
        return Error(tuple(errors))
    return Ok(
        Settings(
            name=values_by_section["host"]["name"],
            place=values_by_section["host"]["place"],
            caller_address=values_by_section["callers"]["address"],
            peer_address=values_by_section["peers"]["address"],
            platform_address=values_by_section["platform"]["address"],
            seeds=values_by_section["peers"]["seeds"],
            entry_lifetime=values_by_section["callers"]["entry_lifetime"],
            drain_limit=values_by_section["callers"]["drain_limit"],
            log_level=values_by_section["host"]["log_level"],
        )
    )
