"""Types of fields with the ranges that are checked where they are decoded.

Constructors don't check them.
"""

from typing import Annotated

from msgspec import Meta

# Longer names would not fit into messages between hosts and log lines.
MAX_NAME_LENGTH = 256
MAX_ERA = 999_999
# What messages between hosts can carry.
MAX_INTEGER = 2**63 - 1
MAX_PERIOD_SECONDS = 1e9

Name = Annotated[str, Meta(max_length=MAX_NAME_LENGTH)]
Count = Annotated[int, Meta(ge=0, le=1_000_000)]
Era = Annotated[int, Meta(ge=0, le=MAX_ERA)]
# Revisions, incarnations and start times.
Ordinal = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
# Infinite if what it is the age of never was.
Age = Annotated[float, Meta(ge=0.0)]
Period = Annotated[float, Meta(ge=0.0, le=MAX_PERIOD_SECONDS)]
Rate = Annotated[float, Meta(ge=0.0, le=1e12)]
Ratio = Annotated[float, Meta(ge=0.0, le=1.0)]
