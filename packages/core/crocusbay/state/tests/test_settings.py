import pytest

from crocusbay.state.inifile import InvalidValue
from crocusbay.state.settings import Settings, parse_settings

VALID = """
[host]
name = host-1
place = trebic
[callers]
address = 10.0.0.1:8000
[peers]
address = 10.0.0.1:8001
seeds = 10.0.0.2:8001, 10.0.0.3:8001
[platform]
address = 10.0.9.9:80
"""


def test_settings_with_defaults():
    assert parse_settings(VALID).ok == Settings(
        name="host-1",
        place="trebic",
        caller_address="10.0.0.1:8000",
        peer_address="10.0.0.1:8001",
        platform_address="10.0.9.9:80",
        seeds=("10.0.0.2:8001", "10.0.0.3:8001"),
        entry_lifetime=5.0,
        drain_limit=30.0,
        log_level="info",
    )


@pytest.mark.parametrize(
    ("old", "new", "section", "key", "value"),
    [
        ("name = host-1", "", "host", "name", ""),
        ("name = host-1", "name = a b", "host", "name", "a b"),
        ("place = trebic", "place = trebic\ncolour = red", "host", "colour", "red"),
        ("[platform]", "[plattform]", "plattform", "", ""),
        ("10.0.9.9:80", "10.0.9.9", "platform", "address", "10.0.9.9"),
        ("10.0.9.9:80", "10.0.9.9:99999", "platform", "address", "10.0.9.9:99999"),
        ("[peers]", "entry_lifetime = -1\n[peers]", "callers", "entry_lifetime", "-1"),
        (
            "[peers]",
            "entry_lifetime = nan\n[peers]",
            "callers",
            "entry_lifetime",
            "nan",
        ),
        ("place = trebic", "place = x\nlog_level = loud", "host", "log_level", "loud"),
        ("10.0.0.3:8001", "seed", "peers", "seeds", "10.0.0.2:8001, seed"),
    ],
)
def test_error_names_section_key_and_value(old, new, section, key, value):
    errors = parse_settings(VALID.replace(old, new)).error
    assert (section, key, value) in [(f.section, f.key, f.value) for f in errors]
    assert all(error.expected for error in errors)


def test_every_error_is_reported_at_once():
    text = VALID.replace("host-1", "a b").replace("10.0.9.9:80", "?")
    assert len(parse_settings(text).error) == 2


@pytest.mark.parametrize("text", ["name = 1", "[host\nname = 1", "[a]\n[a]\n", "\0"])
def test_text_that_is_not_ini_is_one_error(text):
    (error,) = parse_settings(text).error
    assert isinstance(error, InvalidValue)
    assert error.expected == "an INI file"
