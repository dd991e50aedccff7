"""Command line: play soaks and print what broke."""

import asyncio
import sys
import tempfile
from pathlib import Path

import click

from crocusbay_standins.emulator.play import play
from crocusbay_standins.soak.run import Plan, Soak


@click.command()
@click.option("--first-seed", default=1, help="The first seed to play.")
@click.option("--seeds", default=1, help="How many seeds to play.")
@click.option("--hosts", default=4, help="Host processes.")
@click.option("--callers", default=6, help="Callers, each with kept connections.")
@click.option("--seconds", default=10.0, help="How long faults go on.")
@click.option("--logs", type=click.Path(path_type=Path), help="Keep the logs here.")
@click.option("--emulated", is_flag=True, help="One process, on a virtual clock.")
def main(
    first_seed: int,
    seeds: int,
    hosts: int,
    callers: int,
    seconds: float,
    logs: Path | None,
    emulated: bool,
) -> None:
    """Run hosts under random faults and check their promises."""
    has_broken = False
    for seed in range(first_seed, first_seed + seeds):
        folder = (logs or Path(tempfile.mkdtemp())) / str(seed)
        folder.mkdir(parents=True, exist_ok=True)
        plan = Plan(seed, hosts, callers, seconds)
        if emulated:
            report = play(plan, folder)
        else:
            report = asyncio.run(Soak(plan, folder).run())
        click.echo(
            f"seed {seed}: {report.served} of {report.requests} served, "
            f"{len(report.faults)} faults, {len(report.broken)} broken"
        )
        if report.broken:
            has_broken = True
            click.echo(f"  logs in {folder}")
            for fault in report.faults:
                click.echo(f"  {fault}")
            for broken in report.broken[:20]:
                click.echo(
                    f"  BROKEN {broken.promise}: {broken.attempt} {broken.detail}"
                )
    sys.exit(has_broken)


if __name__ == "__main__":
    main()
