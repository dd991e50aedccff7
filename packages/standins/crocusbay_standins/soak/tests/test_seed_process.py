"""Each end of a soak prints its seed and the reason."""

import os
import signal
import subprocess
import sys

import pytest

from crocusbay_standins.soak.seed_process import run_in_process

SCRIPT = """
import os, select, signal, sys
from crocusbay_standins.soak import __main__
from crocusbay_standins.soak.run import SoakReport

{preparation}

def run(plan, folder):
    if plan.seed == 7:
        {ending}
    return SoakReport(plan, (), 1, 1, ())

__main__.run_emulated_soak = run
__main__.main()
"""

# Ends when standard input is closed.
WAIT = "select.select([0], [], [], 20)"


def start_soak(ending, preparation="pass"):
    options = ["--emulated", "--first-seed", "7", "--seeds", "2"]
    return subprocess.Popen(
        [
            sys.executable,
            "-c",
            SCRIPT.format(ending=ending, preparation=preparation),
            *options,
        ],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


@pytest.mark.parametrize(
    ("ending", "reason"),
    [
        ("os._exit(0)", "exit code 0 without a report"),
        ("os._exit(3)", "exit code 3 without a report"),
        ("sys.exit()", "exit code 0 without a report"),
        ("os.kill(os.getpid(), signal.SIGKILL)", "SIGKILL without a report"),
        ("os.kill(os.getpid(), signal.SIGSEGV)", "SIGSEGV without a report"),
        ("os.kill(os.getpid(), signal.SIGTERM)", "exit code 143 without a report"),
        ("os.abort()", "SIGABRT without a report"),
        ("raise KeyboardInterrupt", "exit code 1 without a report"),
        ("bytearray(1 << 60)", "MemoryError"),
    ],
)
def test_seed_without_a_report_is_printed_and_others_run(ending, reason):
    soak = start_soak(ending)
    output, _ = soak.communicate(timeout=60)
    assert "seed 7: started" in output
    assert "seed 7: ended by" in output
    assert reason in output
    assert "seed 8: 1 of 1 served" in output
    assert soak.returncode == 1


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP, signal.SIGINT])
def test_signal_that_ends_the_soak_is_printed(number):
    soak = start_soak(WAIT)
    assert soak.stdout.readline() == "seed 7: started\n"
    soak.send_signal(number)
    output, _ = soak.communicate(timeout=60)
    assert output == f"seed 7: ended by {number.name}\n"
    assert soak.returncode == 128 + number


def test_signal_while_a_seed_is_started_ends_the_soak():
    """Python ignores what a signal's handler raises in a function called at a fork."""
    hook = "os.register_at_fork(after_in_parent=lambda: os.kill(os.getpid(), 15))"
    soak = start_soak(WAIT, hook)
    output, _ = soak.communicate(timeout=60)
    assert output == "seed 7: started\nseed 7: ended by SIGTERM\n"
    assert soak.returncode == 128 + signal.SIGTERM


def test_closed_output_is_reported_as_an_error():
    soak = start_soak(WAIT)
    assert soak.stdout.readline() == "seed 7: started\n"
    soak.stdout.close()
    soak.stdin.close()
    assert "seed 7: ended by BrokenPipeError" in soak.stderr.read()
    assert soak.wait(timeout=60) != 0


def test_seed_runs_in_a_process_of_its_own():
    assert run_in_process(os.getpid) != os.getpid()
