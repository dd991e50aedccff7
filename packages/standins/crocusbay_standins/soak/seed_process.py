"""Run of one seed in a process of its own, so that any end has a reason."""

import multiprocessing
import signal
import traceback
from collections.abc import Callable
from dataclasses import dataclass
from multiprocessing.connection import Connection

from crocusbay_standins.soak.run import SoakReport

ENDING_SIGNALS = (signal.SIGTERM, signal.SIGHUP, signal.SIGINT)


@dataclass(frozen=True, slots=True)
class Aborted:
    """Reason why a seed ended without a report."""

    reason: str


class Interrupted(SystemExit):
    """Signal that the process was told to end; the exit code is the shell's."""

    def __init__(self, number: signal.Signals) -> None:
        super().__init__(128 + number)
        self.reason = number.name


def raise_on_ending_signals() -> None:
    """Raise Interrupted on each signal that asks the process to end."""
    for number in ENDING_SIGNALS:
        signal.signal(number, _raise_interrupted)


def run_in_process(run: Callable[[], SoakReport]) -> SoakReport | Aborted:
    """Run a seed in a forked process; memory and descriptors end with it."""
    context = multiprocessing.get_context("fork")
    receiver, sender = context.Pipe(duplex=False)
    # Daemons are terminated when this process exits.
    process = context.Process(target=_send_result, args=(run, sender), daemon=True)
    # A signal meanwhile is handled after the start: at a fork, Python calls functions
    # whose errors it ignores.
    signal.pthread_sigmask(signal.SIG_BLOCK, ENDING_SIGNALS)
    try:
        process.start()
    finally:
        signal.pthread_sigmask(signal.SIG_UNBLOCK, ENDING_SIGNALS)
    sender.close()
    try:
        result = receiver.recv()
    except (EOFError, OSError):
        result = None
    process.join()
    return result or Aborted(_describe_exit(process.exitcode))


def _send_result(run: Callable[[], SoakReport], sender: Connection) -> None:
    signal.pthread_sigmask(signal.SIG_UNBLOCK, ENDING_SIGNALS)
    try:
        result = run()
    except Exception:
        result = Aborted(traceback.format_exc().rstrip())
    sender.send(result)


def _describe_exit(code: int) -> str:
    if code < 0:
        return f"{signal.Signals(-code).name} without a report"
    return f"exit code {code} without a report"


def _raise_interrupted(number: int, _) -> None:
    raise Interrupted(signal.Signals(number))
