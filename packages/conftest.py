import pytest


@pytest.fixture
def anyio_backend():
    # The loop that the programs run on.
    return "asyncio", {"use_uvloop": True}
