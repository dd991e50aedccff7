"""Start of a script: its record, its exit code, and its end on a signal."""

import asyncio
import os
import signal
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import TextIO

COULD_NOT_RUN = 2


def run_script(
    folder: Path, run: Callable[[Path, TextIO], Awaitable[int]]
) -> SystemExit:
    """Return the exit of a script that writes `record.txt` into its folder.

    `run` gets a temporary folder and the record, and returns the exit code. The hosts'
    logs are kept in the folder that KEEP_LOGS names, if it is set.
    """
    with (
        (folder / "record.txt").open("w") as record,
        tempfile.TemporaryDirectory() as temporary,
    ):
        try:
            code = asyncio.run(_run_until_signal(run(Path(temporary), record)))
        except (Exception, asyncio.CancelledError) as error:
            print(f"could not run: {error!r}", file=record)
            code = COULD_NOT_RUN
        if kept := os.environ.get("KEEP_LOGS"):
            for log in Path(temporary).glob("*.log"):
                Path(kept, log.name).write_bytes(log.read_bytes())
    return SystemExit(code)


async def _run_until_signal(run: Awaitable[int]) -> int:
    """Cancel the script on SIGTERM and SIGINT, so that it ends its processes."""
    task = asyncio.ensure_future(run)
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return await task
