"""Node: an emulated machine that can be paused or killed."""

from dataclasses import dataclass, field


@dataclass(eq=False, slots=True)
class Node:
    """State of a machine that the event loop and the network act on."""

    ip: str
    is_killed: bool = False
    is_paused: bool = False
    # Callbacks deferred while the node is paused, with their arguments.
    deferred_callbacks: list[tuple] = field(default_factory=list)
