"""Command-line interface for operators."""

import datetime
import getpass
import sys
from pathlib import Path

import anyio
import click

from crocusbay.coordination.config_change import (
    Accepted,
    ChangeResult,
    Conflict,
    CurrentConfig,
    NotWritten,
    PlatformReadError,
    Unconfirmed,
    apply_change,
    make_change,
    read_config,
)
from crocusbay.state import HybridClock
from crocusbay.state.questionnaire import (
    Questionnaire,
    compare_deployments,
    parse_questionnaire,
    set_revision,
)
from crocusbay.state.template import QUESTIONNAIRE_TEMPLATE
from crocusbay.transport import PlatformClient
from crocusbay_command.collect import (
    ProcessUnreachableError,
    collect_events,
    collect_statuses,
)
from crocusbay_command.explain import trace_request
from crocusbay_command.formatting import format_event, format_statuses, render_timeline

EXIT_INVALID_INPUT = 2
EXIT_REFUSED = 3
EXIT_OUTCOME_UNKNOWN = 4
EXIT_UNREACHABLE = 5

_platform_option = click.option(
    "--platform",
    required=True,
    envvar="CROCUSBAY_PLATFORM",
    help="ip:port of the platform's object API.",
)
_host_option = click.option(
    "--host", required=True, envvar="CROCUSBAY_HOST", help="ip:port of any host."
)


@click.group()
@click.version_option(package_name="crocusbay-command")
def main() -> None:
    """Operate crocusbay: plan and apply changes, inspect hosts and events."""


@main.group()
def questionnaire() -> None:
    """Create questionnaires, or print the one in force."""


@questionnaire.command("new")
@click.argument("name", default="my-deployment")
def questionnaire_new(name: str) -> None:
    """Print an annotated questionnaire for a new deployment."""
    click.echo(QUESTIONNAIRE_TEMPLATE.format(name=name), nl=False)


@questionnaire.command("show")
@click.argument("name")
@_platform_option
def questionnaire_show(name: str, platform: str) -> None:
    """Print the questionnaire in force, for editing and applying again."""
    current = _read_current_config(platform, name)
    if current.deployment is None:
        _exit_with_error(f"there is no deployment {name}", EXIT_INVALID_INPUT)
    text = set_revision(current.deployment.questionnaire, current.revision)
    click.echo(text, nl=False)


@main.command()
@click.argument("file", type=click.Path(path_type=Path))
@_platform_option
def plan(file: Path, platform: str) -> None:
    """Show the configuration generated from FILE and its changes."""
    desired = _load_questionnaire(file)
    current = _read_current_config(platform, desired.deployment.name)
    policy = desired.deployment.policy
    click.echo(f"deployment {desired.deployment.name}")
    for name in policy.__dataclass_fields__:
        click.echo(f"  policy.{name} = {getattr(policy, name)}")
    click.echo(f"  {len(desired.deployment.services)} services")
    click.echo(
        f"in force: revision {current.revision}; FILE revises it from "
        f"revision {desired.revision}"
    )
    if current.revision != desired.revision:
        click.echo("another change came between: applying this would be refused")
    for line in compare_deployments(current.deployment, desired.deployment):
        click.echo(f"  {line}")


@main.command()
@click.argument("file", type=click.Path(path_type=Path))
@_platform_option
@click.option("--author", default=getpass.getuser, help="Author of the change.")
@click.option("--note", default="", help="Reason for the change.")
def apply(file: Path, platform: str, author: str, note: str) -> None:
    """Apply the configuration generated from FILE.

    Exit status: 0 if accepted, 2 if FILE is invalid, 3 if refused, 4 if the outcome
    is unknown, 5 if the platform was unreachable and nothing was written.
    """
    desired = _load_questionnaire(file)
    time = datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds")
    change = make_change(desired.deployment, desired.revision, author, note, time)

    async def run() -> ChangeResult:
        client = PlatformClient(platform, HybridClock())
        try:
            return await apply_change(
                client, desired.deployment, desired.revision, change
            )
        except PlatformReadError as error:
            return NotWritten(str(error))
        finally:
            await client.close()

    result = anyio.run(run)
    if isinstance(result, Accepted):
        text = set_revision(desired.deployment.questionnaire, result.revision)
        file.write_text(text, encoding="utf-8")
    sys.exit(_print_result(result))


def _print_result(result: ChangeResult) -> int:
    match result:
        case Accepted(revision, was_confirmed):
            suffix = (
                " (an answer was lost; read back and found)" if was_confirmed else ""
            )
            click.echo(f"accepted as revision {revision}{suffix}")
            return 0
        case Conflict(revision, changes):
            click.echo(
                f"refused: revision {revision} was accepted in the meantime", err=True
            )
            for change in changes:
                click.echo(
                    f"  {change.time} by {change.author}: {change.note}", err=True
                )
                for line in change.summary:
                    click.echo(f"    {line}", err=True)
            return EXIT_REFUSED
        case Unconfirmed(reason):
            click.echo(f"unknown: {reason}; apply the same file again", err=True)
            return EXIT_OUTCOME_UNKNOWN
        case NotWritten(reason):
            click.echo(f"not written: {reason}", err=True)
            return EXIT_UNREACHABLE


@main.command()
@click.argument("name")
@_platform_option
def history(name: str, platform: str) -> None:
    """Show the accepted changes of a deployment, newest first."""
    current = _read_current_config(platform, name)
    if current.deployment is None:
        _exit_with_error(f"there is no deployment {name}", EXIT_INVALID_INPUT)
    click.echo(f"{name}: revision {current.revision} is in force")
    for change in reversed(current.deployment.history):
        click.echo(f"{change.time} by {change.author}: {change.note}")
        for line in change.summary:
            click.echo(f"  {line}")


@main.command()
@_host_option
def status(host: str) -> None:
    """Show the revision in force, load and state of each host."""
    try:
        statuses, unreachable = collect_statuses(host)
    except ProcessUnreachableError as error:
        _exit_with_error(str(error), EXIT_UNREACHABLE)
    for line in format_statuses(statuses, unreachable):
        click.echo(line)


@main.command()
@_host_option
@click.option(
    "--request", default="", help="Show only the events of the request with this id."
)
@click.option(
    "--also", multiple=True, help="ip:port of a further process to read events from."
)
@click.option(
    "--html", type=click.Path(path_type=Path), help="Write an HTML page to this file."
)
def timeline(host: str, request: str, also: tuple[str, ...], html: Path) -> None:
    """Show the events of all processes, merged in causal order."""
    try:
        events, unreachable = collect_events(host, also, request)
    except ProcessUnreachableError as error:
        _exit_with_error(str(error), EXIT_UNREACHABLE)
    for address in unreachable:
        click.echo(f"{address} can't be reached; its events are missing", err=True)
    if html:
        html.write_text(render_timeline(events), encoding="utf-8")
        click.echo(f"{len(events)} events written to {html}")
        return
    for event in events:
        click.echo(format_event(event))


@main.command()
@click.argument("request")
@click.argument("logs", nargs=-1, required=True, type=click.File(errors="replace"))
def explain(request: str, logs: tuple) -> None:
    """Trace REQUEST, an id, through the LOGS of hosts; - is standard input."""
    trace = trace_request((line for log in logs for line in log), request)
    if not trace.lines:
        _exit_with_error(f"{request}: no log line has this request id", EXIT_REFUSED)
    for title, lines in (
        ("Before, on its hosts:", trace.context),
        ("The request:", trace.lines),
    ):
        if lines:
            click.echo(title)
        for line in lines:
            click.echo(f"  {line}")


@main.command()
@click.argument("logs", nargs=-1, required=True, type=click.File(errors="replace"))
@click.option(
    "--html",
    type=click.Path(path_type=Path, dir_okay=False, writable=True),
    required=True,
    help="Write the HTML page to this file.",
)
def report(logs: tuple, html: Path) -> None:
    """Chart the requests in the LOGS of hosts on one page; - is standard input."""
    # Importing plotly takes longer than most commands run.
    from crocusbay_command.report import NoRequestsError, parse_logs, render_report

    try:
        log_report = parse_logs(line for log in logs for line in log)
    except NoRequestsError as error:
        _exit_with_error(str(error), EXIT_REFUSED)
    html.write_text(render_report(log_report), encoding="utf-8")
    click.echo(f"{len(log_report.requests)} requests drawn in {html}")


def _load_questionnaire(file: Path) -> Questionnaire:
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        _exit_with_error(f"{file}: {error}", EXIT_INVALID_INPUT)
    parsed = parse_questionnaire(text)
    if parsed.is_error():
        _exit_with_error(
            "\n".join(f"{file}: {error}" for error in parsed.error), EXIT_INVALID_INPUT
        )
    return parsed.ok


def _read_current_config(platform: str, name: str) -> CurrentConfig:
    async def run() -> CurrentConfig:
        client = PlatformClient(platform, HybridClock())
        try:
            return await read_config(client, name)
        finally:
            await client.close()

    try:
        return anyio.run(run)
    except PlatformReadError as error:
        _exit_with_error(f"cannot read from the platform: {error}", EXIT_UNREACHABLE)


def _exit_with_error(message: str, code: int) -> None:
    click.echo(message, err=True)
    sys.exit(code)
