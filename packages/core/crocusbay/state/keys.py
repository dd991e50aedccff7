"""Keys of the platform objects that hosts read and write."""

CONFIG_PREFIX = "config/"
UPSTREAMS_PREFIX = "status/upstreams/"
INDEX_PREFIX = "status/index/"
ORDER_PREFIX = "orders/"
REPLICATED_PREFIXES = (CONFIG_PREFIX, UPSTREAMS_PREFIX, INDEX_PREFIX)


def config_key(deployment: str) -> str:
    """Return the key of a deployment's configuration."""
    return CONFIG_PREFIX + deployment


def upstreams_key(deployment: str) -> str:
    """Return the key of a deployment's list of servers."""
    return UPSTREAMS_PREFIX + deployment


def index_key(deployment: str) -> str:
    """Return the key of a deployment's index status."""
    return INDEX_PREFIX + deployment


def order_key(deployment: str, order_id: str) -> str:
    """Return the key of the record of one order."""
    return f"{ORDER_PREFIX}{deployment}/{order_id}"
