"""Run one seed: an emulated deployment under faults, in a single event loop."""

import asyncio
import random
from pathlib import Path

from crocusbay_standins.emulator.faults import EmulatedFaultInjector
from crocusbay_standins.emulator.hosts import EmulatedHost
from crocusbay_standins.emulator.loop import VirtualClockLoop
from crocusbay_standins.soak.checks import Violation
from crocusbay_standins.soak.run import Soak, SoakPlan, SoakReport


class EmulatedSoak(Soak):
    """Soak that also checks the membership that each host sees."""

    def check_final_state(self) -> list[Violation]:
        """Return a violation for each host whose membership misses another host."""
        violations = []
        for host in self._hosts:
            live = {status.name for status in host.gateway.membership.live_hosts}
            others = {other.name for other in self._hosts if other is not host}
            if live != others:
                detail = f"{host.name} misses {sorted(others - live)}"
                violations.append(Violation("membership complete", "", detail))
        return violations


def run_emulated_soak(plan: SoakPlan, folder: Path) -> SoakReport:
    """Run a plan in the emulator and return its report; hosts log to the folder."""
    random_state = random.getstate()
    random.seed(plan.seed)
    loop = VirtualClockLoop(plan.seed)
    asyncio.set_event_loop(loop)
    try:
        report = loop.run_until_complete(
            EmulatedSoak(plan, folder, EmulatedHost, EmulatedFaultInjector).run()
        )
    finally:
        asyncio.set_event_loop(None)
        loop.close()
        random.setstate(random_state)
    if loop.unhandled_errors:
        raise RuntimeError(
            f"unhandled errors in the event loop: {loop.unhandled_errors[:3]}"
        )
    return report
