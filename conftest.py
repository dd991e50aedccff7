import os
from pathlib import Path

import pytest
from hypothesis import settings

# pytest would import it as platform.run, and an empty package would replace the
# platform module of the standard library.
collect_ignore = ["platform/run.py"]

# By hand: CROCUSBAY_FUZZ=long .venv/bin/python -m pytest -k fuzzed
settings.register_profile(
    "short", derandomize=True, max_examples=150, deadline=None, database=None
)
settings.register_profile("long", max_examples=10_000, deadline=None)
settings.load_profile(os.environ.get("CROCUSBAY_FUZZ", "short"))

KNOWN_FAILURES_FILE = Path(__file__).parent / "KNOWN-RED.txt"


@pytest.fixture
def anyio_backend():
    # The event loop used by the programs.
    return "asyncio", {"use_uvloop": True}


def pytest_collection_modifyitems(items):
    """Mark the tests that KNOWN-RED.txt names, one `test: ID` line each, as xfail."""
    lines = (
        KNOWN_FAILURES_FILE.read_text().splitlines()
        if KNOWN_FAILURES_FILE.exists()
        else []
    )
    known_failures = {
        line.removeprefix("test: ") for line in lines if line.startswith("test: ")
    }
    for item in items:
        if item.nodeid in known_failures:
            item.add_marker(
                pytest.mark.xfail(reason="listed in KNOWN-RED.txt", strict=False)
            )
