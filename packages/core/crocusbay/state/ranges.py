"""Types of fields with the ranges that are checked where they are decoded.

Constructors don't check them.
"""

from typing import Annotated

from msgspec import Meta

# Longer names would not fit into messages between hosts and log lines.
MAX_NAME_LENGTH = 256
# What messages between hosts can carry.
MAX_INTEGER = 2**63 - 1

Name = Annotated[str, Meta(max_length=MAX_NAME_LENGTH)]
# Revisions, versions, incarnations and start times.
Ordinal = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
