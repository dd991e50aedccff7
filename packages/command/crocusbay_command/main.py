"""Command line for operators."""

import datetime
import getpass
import sys
from pathlib import Path

import anyio
import click

from crocusbay.coordination.change import (
    Accepted,
    ChangeResult,
    ConfigInForce,
    NotWritten,
    PlatformUnreadable,
    Refused,
    Unsettled,
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
    ServiceUnreachable,
    collect_events,
    collect_statuses,
)
from crocusbay_command.explain import tell_story
from crocusbay_command.show import format_event, format_statuses, render_page

EXIT_FAULTY_INPUT = 2
EXIT_REFUSED = 3
EXIT_UNSETTLED = 4
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
    """Operate crocusbay: plan and apply changes, see hosts and events."""


@main.group()
def questionnaire() -> None:
    """Write questionnaires."""


@questionnaire.command("new")
@click.argument("name", default="my-deployment")
def questionnaire_new(name: str) -> None:
    """Print a questionnaire with explanations for a new deployment."""
    click.echo(QUESTIONNAIRE_TEMPLATE.format(name=name), nl=False)


@questionnaire.command("show")
@click.argument("name")
@_platform_option
def questionnaire_show(name: str, platform: str) -> None:
    """Print the questionnaire in force, ready to be revised."""
    current = _read(platform, name)
    if current.deployment is None:
        _end(f"there is no deployment {name}", EXIT_FAULTY_INPUT)
    text = set_revision(current.deployment.questionnaire, current.revision)
    click.echo(text, nl=False)


@main.command()
@click.argument("file", type=click.Path(path_type=Path))
@_platform_option
def plan(file: Path, platform: str) -> None:
    """Show the configuration generated from FILE and what it changes."""
    wanted = _load(file)
    current = _read(platform, wanted.deployment.name)
    policy = wanted.deployment.policy
    click.echo(f"deployment {wanted.deployment.name}")
    for name in policy.__dataclass_fields__:
        click.echo(f"  policy.{name} = {getattr(policy, name)}")
    click.echo(f"  {len(wanted.deployment.services)} services")
    click.echo(
        f"in force: revision {current.revision}; FILE revises it from "
        f"revision {wanted.revision}"
    )
    if current.revision != wanted.revision:
        click.echo("another change came between: applying this would be refused")
    for line in compare_deployments(current.deployment, wanted.deployment):
        click.echo(f"  {line}")


@main.command()
@click.argument("file", type=click.Path(path_type=Path))
@_platform_option
@click.option("--author", default=getpass.getuser, help="Who makes the change.")
@click.option("--note", default="", help="Why the change is made.")
def apply(file: Path, platform: str, author: str, note: str) -> None:
    """Put the configuration generated from FILE in force.

    Ends with 0 if accepted, 2 if FILE is faulty, 3 if refused, 4 if unknown, 5 if
    the platform could not be reached and nothing was written.
    """
    wanted = _load(file)
    time = datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds")
    change = make_change(wanted.deployment, wanted.revision, author, note, time)

    async def run() -> ChangeResult:
        client = PlatformClient(platform, HybridClock())
        try:
            return await apply_change(
                client, wanted.deployment, wanted.revision, change
            )
        except PlatformUnreadable as error:
            return NotWritten(str(error))
        finally:
            await client.close()

    result = anyio.run(run)
    if isinstance(result, Accepted):
        text = set_revision(wanted.deployment.questionnaire, result.revision)
        file.write_text(text, encoding="utf-8")
    sys.exit(_report(result))


def _report(result: ChangeResult) -> int:
    match result:
        case Accepted(revision, was_settled):
            how = " (an answer was lost; read back and found)" if was_settled else ""
            click.echo(f"accepted as revision {revision}{how}")
            return 0
        case Refused(revision, changes):
            click.echo(f"refused: revision {revision} came between", err=True)
            for change in changes:
                click.echo(
                    f"  {change.time} by {change.author}: {change.note}", err=True
                )
                for line in change.summary:
                    click.echo(f"    {line}", err=True)
            return EXIT_REFUSED
        case Unsettled(reason):
            click.echo(f"unknown: {reason}; apply the same file again", err=True)
            return EXIT_UNSETTLED
        case NotWritten(reason):
            click.echo(f"not written: {reason}", err=True)
            return EXIT_UNREACHABLE


@main.command()
@click.argument("name")
@_platform_option
def history(name: str, platform: str) -> None:
    """Show the accepted changes of a deployment, newest first."""
    current = _read(platform, name)
    if current.deployment is None:
        _end(f"there is no deployment {name}", EXIT_FAULTY_INPUT)
    click.echo(f"{name}: revision {current.revision} is in force")
    for change in reversed(current.deployment.history):
        click.echo(f"{change.time} by {change.author}: {change.note}")
        for line in change.summary:
            click.echo(f"  {line}")


@main.command()
@_host_option
def status(host: str) -> None:
    """Show by host the revision in force, load and leaving."""
    try:
        statuses, unreachable = collect_statuses(host)
    except ServiceUnreachable as error:
        _end(str(error), EXIT_UNREACHABLE)
    for line in format_statuses(statuses, unreachable):
        click.echo(line)


@main.command()
@_host_option
@click.option("--request", default="", help="Show the events of one request.")
@click.option("--also", multiple=True, help="ip:port of another process with events.")
@click.option("--html", type=click.Path(path_type=Path), help="Write a page here.")
def timeline(host: str, request: str, also: tuple[str, ...], html: Path) -> None:
    """Show the events of all processes in causal order."""
    try:
        events, unreachable = collect_events(host, also, request)
    except ServiceUnreachable as error:
        _end(str(error), EXIT_UNREACHABLE)
    for address in unreachable:
        click.echo(f"{address} can't be reached; its events are missing", err=True)
    if html:
        html.write_text(render_page(events), encoding="utf-8")
        click.echo(f"{len(events)} events written to {html}")
        return
    for event in events:
        click.echo(format_event(event))


@main.command()
@click.argument("request")
@click.argument("logs", nargs=-1, required=True, type=click.File(errors="replace"))
def explain(request: str, logs: tuple) -> None:
    """Tell the story of REQUEST, an id, from the LOGS of hosts; - is standard input."""
    story = tell_story((line for log in logs for line in log), request)
    if not story.lines:
        _end(f"{request}: no line of these logs names it", EXIT_REFUSED)
    for title, lines in (
        ("Before, on its hosts:", story.context),
        ("The request:", story.lines),
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
    help="Write the page here.",
)
def report(logs: tuple, html: Path) -> None:
    """Draw a day from the LOGS of hosts as one page; - is standard input."""
    # Loading the charts' library takes longer than most commands.
    from crocusbay_command.report import NoRequestsError, read_day, render_day

    try:
        day = read_day(line for log in logs for line in log)
    except NoRequestsError as error:
        _end(str(error), EXIT_REFUSED)
    html.write_text(render_day(day), encoding="utf-8")
    click.echo(f"{len(day.requests)} requests drawn in {html}")


def _load(file: Path) -> Questionnaire:
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        _end(f"{file}: {error}", EXIT_FAULTY_INPUT)
    parsed = parse_questionnaire(text)
    if parsed.is_error():
        _end("\n".join(f"{file}: {f}" for f in parsed.error), EXIT_FAULTY_INPUT)
    return parsed.ok


def _read(platform: str, name: str) -> ConfigInForce:
    async def run() -> ConfigInForce:
        client = PlatformClient(platform, HybridClock())
        try:
            return await read_config(client, name)
        finally:
            await client.close()

    try:
        return anyio.run(run)
    except PlatformUnreadable as error:
        _end(f"the platform can't be read: {error}", EXIT_UNREACHABLE)


def _end(message: str, code: int) -> None:
    click.echo(message, err=True)
    sys.exit(code)
