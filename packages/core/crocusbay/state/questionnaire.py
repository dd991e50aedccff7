"""Questionnaires: INI files from which configurations are generated."""

import re
from configparser import ConfigParser
from dataclasses import dataclass
from typing import Any

from expression import Error, Ok, Result

from crocusbay.state.deployment import Deployment, Policy, Service, ServiceKind
from crocusbay.state.inifile import (
    Field,
    InvalidValue,
    SectionValues,
    check_section,
    choice_parser,
    integer_parser,
    number_parser,
    parse_ini,
    parse_name,
    parse_names,
)

SERVICE_SECTION_PREFIX = "service "
LATENCY_HEDGE_FLOOR_SECONDS = 0.005
COVERAGE_HEDGE_FLOOR_SECONDS = 0.010
COVERAGE_RETRY_FACTOR = 2.0


@dataclass(frozen=True, slots=True)
class LatencyFirst:
    """Prefer low tail latency: hedge early."""


@dataclass(frozen=True, slots=True)
class CoverageFirst:
    """Prefer high coverage: retry more."""


Objective = LatencyFirst | CoverageFirst
_OBJECTIVES: dict[str, Objective] = {
    "latency": LatencyFirst(),
    "coverage": CoverageFirst(),
}

_REVISION_LINE = re.compile(r"^revision\s*=.*$", re.MULTILINE)

_DEPLOYMENT_FIELDS = {
    "name": Field(parse_name, "a name such as destovka"),
    "revision": Field(
        integer_parser(0, 2**53),
        "the revision that this questionnaire revises, 0 if none",
    ),
    "hosts": Field(
        integer_parser(1, 10_000),
        "hosts that share the servers' connections, 1 to 10000",
    ),
    "weigh_most": Field(choice_parser(*_OBJECTIVES), "latency or coverage"),
    "answer_within_ms": Field(number_parser(1, 60_000), "milliseconds from 1 to 60000"),
    "extra_load_percent": Field(number_parser(0, 100), "a percentage from 0 to 100"),
    "concurrent_requests": Field(
        integer_parser(1, 10_000), "requests that one host may run, from 1 to 10000"
    ),
}
_PLACES_FIELDS = {
    "names": Field(parse_names, "names of data centres, separated by commas")
}
_SERVICE_FIELDS = {
    "kind": Field(choice_parser(*ServiceKind), "search, document or order"),
    "count": Field(integer_parser(1, 10_000), "a number of services from 1 to 10000"),
    "servers": Field(
        integer_parser(1, 1_000), "servers of each service, from 1 to 1000"
    ),
    "slots": Field(integer_parser(1, 10_000), "requests that a server runs at once"),
    "connections": Field(
        integer_parser(1, 100_000),
        "connections that a server accepts, from 1 to 100000",
    ),
    "connect_ms": Field(
        number_parser(0, 10_000), "cost of a new connection in milliseconds"
    ),
}


@dataclass(frozen=True)
class Questionnaire:
    """Requested deployment, and the revision that it is based on."""

    revision: int
    deployment: Deployment


def parse_questionnaire(text: str) -> Result[Questionnaire, tuple[InvalidValue, ...]]:
    """Return the parsed questionnaire, or all of its validation errors."""
    parsed = parse_ini(text)
    if parsed.is_error():
        return Error(parsed.error)
    parser = parsed.ok
    errors = _unknown_section_errors(parser)
    general_values, section_errors = check_section(
        parser, "deployment", _DEPLOYMENT_FIELDS
    )
    errors += section_errors
    places, section_errors = check_section(parser, "places", _PLACES_FIELDS)
    errors += section_errors
    services: list[Service] = []
    for section in parser.sections():
        if section.startswith(SERVICE_SECTION_PREFIX):
            group, section_errors = _parse_service_section(parser, section)
            services += group
            errors += section_errors
    names = [service.name for service in services]
    for name in sorted({name for name in names if names.count(name) > 1}):
        errors.append(
            InvalidValue(f"service {name}", "", name, "a unique service name")
        )
    if not services and not errors:
        errors.append(InvalidValue("service ...", "", "", "at least one service"))
    if errors:
        return Error(tuple(errors))
    deployment = Deployment(
        name=general_values["name"],
        places=places["names"],
        hosts=general_values["hosts"],
        policy=_generate_policy(general_values),
        services=tuple(services),
        questionnaire=text,
    )
    return Ok(Questionnaire(general_values["revision"], deployment))


def set_revision(text: str, revision: int) -> str:
    """Return the questionnaire with its `revision` key replaced."""
    return _REVISION_LINE.sub(f"revision = {revision}", text, count=1)


def _unknown_section_errors(parser: ConfigParser) -> list[InvalidValue]:
    expected = "one of the sections deployment, places, service NAME"
    return [
        InvalidValue(section, "", "", expected)
        for section in parser.sections()
        if section not in ("deployment", "places")
        and not section.startswith(SERVICE_SECTION_PREFIX)
    ]


def _parse_service_section(
    parser: ConfigParser, section: str
) -> tuple[list[Service], list[InvalidValue]]:
    values, errors = check_section(parser, section, _SERVICE_FIELDS)
    name = section.removeprefix(SERVICE_SECTION_PREFIX).strip()
    try:
        parse_name(name)
    except ValueError:
        errors.append(InvalidValue(section, "", name, "a name after the word service"))
    if errors:
        return [], errors
    return [_make_service(each, values) for each in _service_names(name, values)], []


def _service_names(name: str, values: SectionValues) -> list[str]:
    count = values["count"]
    if count == 1:
        return [name]
    digits = len(str(count))
    return [f"{name}-{number:0{digits}}" for number in range(1, count + 1)]


def _make_service(name: str, values: SectionValues) -> Service:
    return Service(
        name=name,
        kind=ServiceKind(values["kind"]),
        servers=values["servers"],
        slots=values["slots"],
        connections=values["connections"],
        connect_cost=values["connect_ms"] / 1000,
    )


def _generate_policy(general_values: dict[str, Any]) -> Policy:
    extra_ratio = general_values["extra_load_percent"] / 100
    common = {
        "deadline": general_values["answer_within_ms"] / 1000,
        "hedge_ratio": extra_ratio,
        "concurrent_requests": general_values["concurrent_requests"],
    }
    match _OBJECTIVES[general_values["weigh_most"]]:
        case LatencyFirst():
            return Policy(
                hedge_floor=LATENCY_HEDGE_FLOOR_SECONDS,
                retry_ratio=extra_ratio,
                **common,
            )
        case CoverageFirst():
            return Policy(
                hedge_floor=COVERAGE_HEDGE_FLOOR_SECONDS,
                retry_ratio=COVERAGE_RETRY_FACTOR * extra_ratio,
                **common,
            )


def compare_deployments(old: Deployment | None, new: Deployment) -> tuple[str, ...]:
    """Return one line for each difference between two configurations."""
    if old is None:
        return (f"new deployment {new.name} with {len(new.services)} services",)
    lines = _compare_fields("policy", old.policy, new.policy)
    if old.hosts != new.hosts:
        lines.append(f"hosts: {old.hosts} -> {new.hosts}")
    if old.places != new.places:
        lines.append(f"places: {', '.join(old.places)} -> {', '.join(new.places)}")
    for name in sorted(old.by_service.keys() - new.by_service.keys()):
        lines.append(f"service {name}: removed")
    for name in sorted(new.by_service.keys() - old.by_service.keys()):
        lines.append(f"service {name}: added")
    for name in sorted(old.by_service.keys() & new.by_service.keys()):
        lines += _compare_fields(
            f"service {name}", old.by_service[name], new.by_service[name]
        )
    return tuple(lines)


def _compare_fields(label: str, old: Any, new: Any) -> list[str]:
    names = list(old.__dataclass_fields__)
    return [
        f"{label}.{name}: {getattr(old, name)} -> {getattr(new, name)}"
        for name in names
        if getattr(old, name) != getattr(new, name)
    ]
