"""Formatting of host status and events as text, and of events as an HTML page."""

import datetime
from html import escape
from string import Template

from crocusbay.protocol.caller import HostStatus
from crocusbay.state import Event, Stamp

REQUEST_ID_CHARS = 8

_PAGE = Template(
    """<!doctype html>
<html lang="en">
<meta charset="utf-8">
<title>crocusbay timeline</title>
<style>
body { font: 14px sans-serif; margin: 1em; }
table { border-collapse: collapse; }
th, td { border: 1px solid #ccc; padding: 2px 6px; text-align: left; }
th { position: sticky; top: 0; background: #eee; }
td.time { font-family: monospace; white-space: nowrap; }
</style>
<h1>Timeline</h1>
<p><label>Filter <input id="filter" autofocus></label> $count events</p>
<table>
<thead><tr><th>time</th>$headings</tr></thead>
<tbody>
$rows
</tbody>
</table>
<script>
const filter = document.getElementById("filter");
filter.addEventListener("input", () => {
  for (const row of document.querySelectorAll("tbody tr")) {
    row.hidden = !row.textContent.includes(filter.value);
  }
});
</script>
</html>
"""
)


def format_statuses(statuses: list[HostStatus], unreachable: list[str]) -> list[str]:
    """Return the lines of a table of hosts, then one for each unreachable address."""
    lines = [f"{'host':12} {'place':12} {'revision':>8} {'load':>9}  state"]
    for status in statuses:
        load = f"{status.running}/{status.limit}"
        state = "leaving" if status.is_leaving else "serving"
        if not status.is_platform_up:
            state += ", platform down"
        lines.append(
            f"{status.name:12} {status.place:12} {status.revision:>8} "
            f"{load:>9}  {state}"
        )
    lines += [f"{address} can't be reached" for address in unreachable]
    return lines


def format_event(event: Event) -> str:
    """Return one line for an event, with UTC time and shortened request id."""
    return (
        f"{_format_stamp(event.stamp)} {event.process:12} {event.kind:18} "
        f"{event.request[:REQUEST_ID_CHARS]:{REQUEST_ID_CHARS}} {event.deployment} "
        f"{event.detail}"
    ).rstrip()


def render_timeline(events: list[Event]) -> str:
    """Return a self-contained HTML page with a column for each process."""
    processes = sorted({event.process for event in events})
    return _PAGE.substitute(
        count=len(events),
        headings="".join(f"<th>{escape(process)}</th>" for process in processes),
        rows="\n".join(_render_row(event, processes) for event in events),
    )


def _render_row(event: Event, processes: list[str]) -> str:
    text = f"{event.kind} {event.request} {event.deployment} {event.detail}"
    cells = [
        f"<td>{escape(text)}</td>" if process == event.process else "<td></td>"
        for process in processes
    ]
    return (
        f'<tr><td class="time">{_format_stamp(event.stamp)}</td>{"".join(cells)}</tr>'
    )


def _format_stamp(stamp: Stamp) -> str:
    moment = datetime.datetime.fromtimestamp(stamp.micros / 1e6, datetime.UTC)
    return f"{moment:%H:%M:%S.%f}-{stamp.counter}"
