"""Node: one emulated machine, which may be paused or killed."""

from dataclasses import dataclass, field


@dataclass(eq=False, slots=True)
class Node:
    """Hold what the loop and the network need to know of a machine."""

    ip: str
    is_dead: bool = False
    is_paused: bool = False
    # Callbacks that came while it was paused, with their arguments.
    held: list[tuple] = field(default_factory=list)
