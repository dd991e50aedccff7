"""Run one seed: an emulated deployment under faults, in a single event loop."""

import asyncio
import random
from pathlib import Path

from crocusbay_standins.emulator.faults import EmulatedFaults
from crocusbay_standins.emulator.hosts import EmulatedHost
from crocusbay_standins.emulator.loop import VirtualLoop
from crocusbay_standins.soak.checks import Broken
from crocusbay_standins.soak.run import Plan, Report, Soak


class EmulatedSoak(Soak):
    """Soak that also checks the membership that each host sees."""

    def check_end(self) -> list[Broken]:
        """Return a violation for each host whose membership misses another host."""
        violations = []
        for host in self._hosts:
            live = {status.name for status in host.gateway.membership.live}
            others = {other.name for other in self._hosts if other is not host}
            if live != others:
                detail = f"{host.name} misses {sorted(others - live)}"
                violations.append(Broken("membership complete", "", detail))
        return violations


def play(plan: Plan, folder: Path) -> Report:
    """Run a plan in the emulator and return its report; hosts log to the folder."""
    random_state = random.getstate()
    random.seed(plan.seed)
    loop = VirtualLoop(plan.seed)
    asyncio.set_event_loop(loop)
    try:
        report = loop.run_until_complete(
            EmulatedSoak(plan, folder, EmulatedHost, EmulatedFaults).run()
        )
    finally:
        asyncio.set_event_loop(None)
        loop.close()
        random.setstate(random_state)
    if loop.errors:
        raise RuntimeError(f"unhandled errors in the event loop: {loop.errors[:3]}")
    return report
