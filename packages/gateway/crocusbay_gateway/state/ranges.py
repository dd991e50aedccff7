"""Types of fields with the ranges that are checked where they are decoded.

Constructors don't check them.
"""

from typing import Annotated

from msgspec import Meta

MAX_ERA = 999_999
MAX_PERIOD_SECONDS = 1e9

Count = Annotated[int, Meta(ge=0, le=1_000_000)]
Era = Annotated[int, Meta(ge=0, le=MAX_ERA)]
# Infinite if what it is the age of never was.
Age = Annotated[float, Meta(ge=0.0)]
Period = Annotated[float, Meta(ge=0.0, le=MAX_PERIOD_SECONDS)]
# The time until a deadline, negative after it.
RemainingTime = Annotated[float, Meta(ge=-MAX_PERIOD_SECONDS)]
Rate = Annotated[float, Meta(ge=0.0, le=1e12)]
