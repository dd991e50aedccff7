"""Command line: run soaks and print the violations."""

import asyncio
import sys
import tempfile
from pathlib import Path

import click

from crocusbay_standins.emulator.runner import run_emulated_soak
from crocusbay_standins.soak.run import Soak, SoakPlan


@click.command()
@click.option("--first-seed", default=1, help="First seed to run.")
@click.option("--seeds", default=1, help="Number of seeds to run.")
@click.option("--hosts", default=4, help="Host processes.")
@click.option("--callers", default=6, help="Callers, each with persistent connections.")
@click.option("--seconds", default=10.0, help="Time during which faults start.")
@click.option(
    "--crashing-requests",
    default=0,
    help="Requests, repeated throughout, that crash the servers that run them.",
)
@click.option(
    "--crashing-orders", default=0, help="The same with orders, which may run once."
)
@click.option(
    "--varied-crashes",
    is_flag=True,
    help="Servers also crash in silence, or while their address accepts connections.",
)
@click.option("--restores", default=0, help="Restores of the store from older copies.")
@click.option(
    "--production",
    default="",
    help="Commit of the version that hosts run until they are upgraded.",
)
@click.option(
    "--logs", type=click.Path(path_type=Path), help="Folder that keeps the logs."
)
@click.option(
    "--emulated", is_flag=True, help="Run in one process, on a virtual clock."
)
def main(
    first_seed: int,
    seeds: int,
    hosts: int,
    callers: int,
    seconds: float,
    crashing_requests: int,
    crashing_orders: int,
    varied_crashes: bool,
    restores: int,
    production: str,
    logs: Path | None,
    emulated: bool,
) -> None:
    """Run hosts under random faults and check their guarantees."""
    if emulated and production:
        raise click.UsageError("hosts of another version run as processes only")
    has_violations = False
    for seed in range(first_seed, first_seed + seeds):
        folder = (logs or Path(tempfile.mkdtemp())) / str(seed)
        folder.mkdir(parents=True, exist_ok=True)
        plan = SoakPlan(
            seed,
            hosts,
            callers,
            seconds,
            crashing_requests=crashing_requests,
            crashing_orders=crashing_orders,
            has_varied_crashes=varied_crashes,
            restores=restores,
            production=production,
        )
        if emulated:
            report = run_emulated_soak(plan, folder)
        else:
            report = asyncio.run(Soak(plan, folder).run())
        click.echo(
            f"seed {seed}: {report.served} of {report.requests} served, "
            f"{len(report.faults)} faults, {len(report.violations)} broken"
        )
        if report.violations:
            has_violations = True
            click.echo(f"  logs in {folder}")
            for fault in report.faults:
                click.echo(f"  {fault}")
            for violation in report.violations[:20]:
                click.echo(
                    f"  BROKEN {violation.guarantee}: "
                    f"{violation.attempt_id} {violation.detail}"
                )
    sys.exit(has_violations)


if __name__ == "__main__":
    main()
