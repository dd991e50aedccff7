"""Demo of a deployment on one machine, from the first search to a failed host."""

import json
import tempfile
import threading
import time
from pathlib import Path
from typing import Any

import click
import httpx
from click.testing import CliRunner

from crocusbay_command.main import main as crocusbay
from crocusbay_standins.load import load_deployment
from crocusbay_standins.local_cluster import (
    LocalCluster,
    LocalClusterConfig,
    run_local_cluster,
)

HOST_COUNT = 3
SEARCH_COUNT = 5
SEARCH_SECONDS = 5.0
READY_TIMEOUT_SECONDS = 20.0
SHOWN_KINDS = ("member-lost", "member-joined", "host-started", "object-written")


class Demo:
    """Demonstrate requests, host failure and operator commands on a local cluster."""

    def __init__(self, cluster: LocalCluster) -> None:
        self._cluster = cluster
        self._name = cluster.deployment.name
        self._replies: list[dict[str, Any]] = []
        self._failures = 0

    def run(self) -> None:
        """Run and print each step of the demo."""
        self._wait_ready()
        self._show_entry()
        self._show_searches()
        self._show_document()
        order = self._show_order()
        self._show_failed_host()
        self._show_operator_commands(order["request"])

    def _wait_ready(self) -> None:
        timeout_at = time.monotonic() + READY_TIMEOUT_SECONDS
        while len(self._entry_addresses("host-1")) < HOST_COUNT:
            if time.monotonic() > timeout_at:
                raise RuntimeError(
                    "hosts did not discover each other before the timeout"
                )
            time.sleep(0.05)

    def _entry_addresses(self, host: str) -> list[str]:
        url = f"{self._cluster.host_url(host)}/entry"
        return self._cluster.http.get(url).json()["addresses"]

    def _url(self, host: str, path: str) -> str:
        return f"{self._cluster.host_url(host)}/deployments/{self._name}{path}"

    def _show_entry(self) -> None:
        _title("Which addresses may a caller use?")
        click.echo("  ".join(self._entry_addresses("host-1")))

    def _show_searches(self) -> None:
        _title("Searches over every shard")
        for number in range(SEARCH_COUNT):
            url = self._url("host-1", f"/search?q=tank-{number}")
            _show_reply(self._cluster.http.get(url).json())

    def _show_document(self) -> None:
        _title("A document")
        url = self._url("host-2", "/services/fitter/documents/tank-17")
        click.echo(self._cluster.http.get(url).text)

    def _show_order(self) -> dict[str, Any]:
        _title("An order, and the same order sent again to another host")
        path = "/services/order-record/orders/demo-1"
        first = self._cluster.http.post(self._url("host-1", path), json={"tanks": 2})
        repeated = self._cluster.http.post(self._url("host-2", path), json={"tanks": 2})
        runs = self._cluster.call_control_on_upstreams("orders").values()
        click.echo(first.text)
        click.echo(repeated.text)
        click.echo(f"runs: {sum(each.get('demo-1', 0) for each in runs)}")
        return first.json()

    def _show_failed_host(self) -> None:
        _title("Searches while host-3 is killed")
        kill_timer = threading.Timer(
            SEARCH_SECONDS / 2, self._cluster.host_by_name["host-3"].kill
        )
        kill_timer.start()
        self._search_as_caller(time.monotonic() + SEARCH_SECONDS)
        kill_timer.join()
        del self._cluster.host_by_name["host-3"]
        complete = sum(reply["is_complete"] for reply in self._replies)
        click.echo(
            f"{len(self._replies)} answers, {complete} complete; "
            f"{self._failures} connections failed and were retried at the next address"
        )

    def _search_as_caller(self, until: float) -> None:
        """Search until a time; try the next address when one fails, as callers do."""
        number = 0
        while time.monotonic() < until:
            number += 1
            for address in self._entry_addresses("host-1")[number % 2 :]:
                path = f"/deployments/{self._name}/search?q=tank-{number}"
                try:
                    reply = self._cluster.http.get(f"http://{address}{path}")
                except httpx.HTTPError:
                    self._failures += 1
                    continue
                self._replies.append(reply.json())
                break

    def _show_operator_commands(self, request: str) -> None:
        host = self._cluster.host_by_name["host-1"].startup_info["caller_address"]
        platform = self._cluster.platform.startup_info["address"]
        event_sources = [
            platform,
            *(p.startup_info["control"] for p in self._cluster.upstreams),
        ]
        _title("crocusbay status")
        _run_command("status", "--host", host)
        self._show_change(platform)
        _title("crocusbay timeline --request (the order)")
        timeline = ["timeline", "--host", host]
        for address in event_sources:
            timeline += ["--also", address]
        _run_command(*timeline, "--request", request)
        _title("crocusbay timeline (host and configuration events)")
        _run_command(
            *timeline,
            filters=("member-lost", "member-joined", "host-started", "object-written"),
        )

    def _show_change(self, platform: str) -> None:
        """Edit the active questionnaire, then plan and apply the change."""
        _title("crocusbay plan and apply: answers within 200 ms")
        shown = ("questionnaire", "show", self._name, "--platform", platform)
        text = CliRunner().invoke(crocusbay, shown).stdout
        with tempfile.NamedTemporaryFile("w", suffix=".ini") as file:
            file.write(text.replace("answer_within_ms = 250", "answer_within_ms = 200"))
            file.flush()
            _run_command("plan", file.name, "--platform", platform)
            author = ("--author", "day shift", "--note", "crews wait less")
            _run_command("apply", file.name, "--platform", platform, *author)
        _title("crocusbay history")
        _run_command("history", self._name, "--platform", platform)


def _title(text: str) -> None:
    click.echo()
    click.secho(text, bold=True)


def _show_reply(reply: dict[str, Any]) -> None:
    coverage = reply["coverage"]
    shown = {
        "snapshot": reply["snapshot"],
        "shards": f"{coverage['shards_answered']}/{coverage['shards_total']}",
        "documents": f"{coverage['documents_answered']}/{coverage['documents_total']}",
        "missing": [each["service"] for each in coverage["missing"]],
        "hits": len(reply["hits"]),
        "elapsed_ms": reply["elapsed_ms"],
        "deadline_ms": reply["deadline_ms"],
    }
    click.echo(json.dumps(shown))


def _run_command(*arguments: str, filters: tuple[str, ...] = ("",)) -> None:
    """Run the crocusbay command and print the output lines that contain a filter."""
    for line in CliRunner().invoke(crocusbay, arguments).output.splitlines():
        if any(text in line for text in filters):
            click.echo(line)


@click.command()
@click.option(
    "--questionnaire",
    type=click.Path(path_type=Path),
    default=Path("questionnaires/destovka.ini"),
)
def main(questionnaire: Path) -> None:
    """Run a demo of a three-host deployment on this machine."""
    started = time.monotonic()
    with run_local_cluster(
        LocalClusterConfig(load_deployment(questionnaire), HOST_COUNT)
    ) as cluster:
        Demo(cluster).run()
    click.echo(f"\nended after {time.monotonic() - started:.0f} s")


if __name__ == "__main__":
    main()
