"""Play a seed: a deployment under faults, all of it in one loop."""

import asyncio
import random
from pathlib import Path

from crocusbay_standins.emulator.faults import EmulatedFaults
from crocusbay_standins.emulator.hosts import EmulatedHost
from crocusbay_standins.emulator.loop import VirtualLoop
from crocusbay_standins.soak.checks import Broken
from crocusbay_standins.soak.run import Plan, Report, Soak


class EmulatedSoak(Soak):
    """Check also what only the hosts themselves know."""

    def check_end(self) -> list[Broken]:
        """Return each host that does not hear all others."""
        broken = []
        for host in self._hosts:
            heard = {status.name for status in host.gateway.membership.live}
            others = {other.name for other in self._hosts if other is not host}
            if heard != others:
                detail = f"{host.name} does not hear {sorted(others - heard)}"
                broken.append(Broken("hosts hear each other", "", detail))
        return broken


def play(plan: Plan, folder: Path) -> Report:
    """Return what one seed shows; the hosts' logs go to the folder."""
    state = random.getstate()
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
        random.setstate(state)
    if loop.errors:
        raise RuntimeError(f"errors in the loop: {loop.errors[:3]}")
    return report
