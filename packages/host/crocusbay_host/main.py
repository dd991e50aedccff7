"""Command-line entry point of the host process."""

import json
import signal
import sys
from pathlib import Path

import anyio
import click
from anyio.abc import TaskStatus

from crocusbay.state import HybridClock
from crocusbay.state.settings import Settings, parse_settings
from crocusbay_host.app import App
from crocusbay_host.host import Host
from crocusbay_host.log import make_handler

EXIT_BAD_SETTINGS = 2


@click.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--check", is_flag=True, help="Validate FILE and exit.")
@click.version_option(package_name="crocusbay-host")
def main(file: Path, check: bool) -> None:
    """Run one host with the settings of FILE (INI) until SIGTERM or SIGINT.

    The first signal starts a planned shutdown: the host removes itself from the
    replies to /entry, keeps serving for one entry lifetime, so that cached replies
    expire, and then drains the requests in progress, for at most the drain limit.
    """
    # It ends a process by default, and the settings are read once only.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    settings = _read_settings(file)
    if check:
        click.echo(f"{file}: valid settings of host {settings.name}")
        return
    clock = HybridClock()
    with make_handler(settings.name, settings.log_level, clock).applicationbound():
        anyio.run(_run, settings, clock, backend_options={"use_uvloop": True})


def _read_settings(file: Path) -> Settings:
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        click.echo(f"{file}: {error}", err=True)
        sys.exit(EXIT_BAD_SETTINGS)
    parsed = parse_settings(text)
    if parsed.is_error():
        for message in parsed.error:
            click.echo(f"{file}: {message}", err=True)
        sys.exit(EXIT_BAD_SETTINGS)
    return parsed.ok


async def _run(settings: Settings, clock: HybridClock) -> None:
    host = Host(settings, clock)
    async with anyio.create_task_group() as tasks:
        await tasks.start(_leave_on_signal, host)
        await host.run(App(host), _print_addresses)
        tasks.cancel_scope.cancel()


async def _leave_on_signal(
    host: Host, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        task_status.started()
        async for _ in signals:
            host.leave()


def _print_addresses(caller_address: str, peer_address: str) -> None:
    """Print the bound addresses as JSON, for the process that started this one."""
    addresses = {"caller_address": caller_address, "peer_address": peer_address}
    click.echo(json.dumps(addresses))
    sys.stdout.flush()
