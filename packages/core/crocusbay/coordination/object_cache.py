"""Replicated objects: the newest configuration and status, cached on every host.

Objects are replaced only by higher versions, so no source (watch, poll or peer) can
revert one.
"""

from collections.abc import Callable, Iterable

from crocusbay.protocol.platform import StoredObject

OnChange = Callable[[StoredObject], None]


class ObjectCache:
    """Cache the newest known version of each object."""

    def __init__(self) -> None:
        self.by_key: dict[str, StoredObject] = {}
        self.revision = 0
        self._subscribers: list[OnChange] = []

    def subscribe(self, on_change: OnChange) -> None:
        """Register a callback that runs for each newer version."""
        self._subscribers.append(on_change)

    def merge(self, objects: Iterable[StoredObject], revision: int) -> bool:
        """Merge objects complete up to a revision; return whether any was newer."""
        newer = [each for each in objects if self._is_newer(each)]
        for each in sorted(newer, key=lambda stored: stored.version):
            self.by_key[each.key] = each
            for on_change in self._subscribers:
                on_change(each)
        self.revision = max(self.revision, revision)
        return bool(newer)

    def changed_after(self, revision: int) -> tuple[StoredObject, ...]:
        """Return the objects whose version is higher than the revision."""
        return tuple(o for o in self.by_key.values() if o.version > revision)

    def _is_newer(self, offered: StoredObject) -> bool:
        current = self.by_key.get(offered.key)
        return current is None or offered.version > current.version
