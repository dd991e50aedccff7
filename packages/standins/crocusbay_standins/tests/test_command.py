import pytest
from click.testing import CliRunner

from crocusbay_command.main import main
from crocusbay_host.main import main as host_main
from crocusbay_standins.platform import Outage, PlatformFaults


@pytest.fixture
def run(small_cluster):
    platform = small_cluster.platform.startup_info["address"]
    host = small_cluster.host_by_name["host-1"].startup_info["caller_address"]
    environment = {"CROCUSBAY_PLATFORM": platform, "CROCUSBAY_HOST": host}

    def run(*arguments):
        return CliRunner().invoke(main, arguments, env=environment)

    return run


def write_questionnaire(run, folder, name, **changes):
    text = run("questionnaire", "new", name).stdout
    for key, value in changes.items():
        old = next(line for line in text.splitlines() if line.startswith(f"{key} ="))
        text = text.replace(old, f"{key} = {value}")
    file = folder / f"{name}.ini"
    file.write_text(text)
    return file


def test_questionnaire_is_created_planned_applied_and_shown(run, tmp_path):
    file = write_questionnaire(run, tmp_path, "shop")
    planned = run("plan", str(file))
    assert "new deployment shop with 21 services" in planned.stdout
    applied = run("apply", str(file), "--author", "day", "--note", "first")
    assert applied.exit_code == 0
    assert "accepted as revision" in applied.stdout
    shown = run("questionnaire", "show", "shop")
    assert shown.stdout == file.read_text()
    assert "by day: first" in run("history", "shop").stdout


def test_conflicting_change_is_refused_and_shown(run, tmp_path):
    file = write_questionnaire(run, tmp_path, "raced")
    run("apply", str(file), "--author", "day")
    original = file.read_text()
    file.write_text(original.replace("hosts = 7", "hosts = 8"))
    assert run("apply", str(file), "--author", "night").exit_code == 0
    file.write_text(original.replace("hosts = 7", "hosts = 9"))
    planned = run("plan", str(file))
    assert "another change came between" in planned.stdout
    refused = run("apply", str(file), "--author", "day")
    assert refused.exit_code == 3
    assert "by night" in refused.stderr
    assert "hosts: 7 -> 8" in refused.stderr


def test_lost_write_response_is_resolved(run, small_cluster, tmp_path):
    file = write_questionnaire(run, tmp_path, "settled")
    small_cluster.call_control(
        small_cluster.platform, "faults", PlatformFaults(lose_answers=1)
    )
    applied = run("apply", str(file), "--author", "day")
    assert applied.exit_code == 0
    assert "an answer was lost" in applied.stdout


def test_command_during_an_outage_exits_with_5(run, small_cluster, tmp_path):
    file = write_questionnaire(run, tmp_path, "outage")
    small_cluster.call_control(
        small_cluster.platform, "faults", PlatformFaults(outage=Outage.REFUSE)
    )
    try:
        assert run("apply", str(file)).exit_code == 5
        assert run("plan", str(file)).exit_code == 5
    finally:
        small_cluster.call_control(small_cluster.platform, "faults", PlatformFaults())


def test_invalid_questionnaire_reports_every_error(run, tmp_path):
    file = write_questionnaire(run, tmp_path, "faulty", hosts="x", kind="y")
    result = run("plan", str(file))
    assert result.exit_code == 2
    assert "[deployment] hosts = 'x': expected hosts that share" in result.stderr
    assert "[service catalogue] kind = 'y'" in result.stderr


@pytest.mark.parametrize("arguments", [("history", "none"), ("plan", "none.ini")])
def test_unknown_names_are_errors(run, arguments):
    result = run(*arguments)
    assert result.exit_code == 2
    assert "none" in result.stderr


def test_status_shows_hosts(run):
    result = run("status")
    assert "host-1" in result.stdout
    assert "serving" in result.stdout


def test_status_of_an_unreachable_host_is_an_error(run):
    result = run("status", "--host", "127.0.0.1:1")
    assert result.exit_code == 5
    assert "127.0.0.1:1 can't be reached" in result.stderr


def test_timeline_of_an_order_across_processes_is_in_causal_order(
    run, small_cluster, tmp_path
):
    url = (
        f"{small_cluster.host_url('host-1')}/deployments/hemtape"
        "/services/orders/orders/t1"
    )
    request = small_cluster.http.post(url, json={}).json()["request"]
    upstreams = small_cluster.upstreams[0].startup_info["control"]
    result = run("timeline", "--request", request, "--also", upstreams)
    lines = result.stdout.splitlines()
    found = [line.split()[1:3] for line in lines]
    started = found.index(["host-1", "request-started"])
    ran = found.index(["upstreams-1", "upstream-ran"])
    ended = found.index(["host-1", "request-ended"])
    assert started < ran < ended
    page = tmp_path / "page.html"
    run("timeline", "--also", upstreams, "--html", str(page))
    text = page.read_text()
    assert "upstream-ran" in text
    assert "src=" not in text


@pytest.mark.parametrize(
    ("old", "new", "code", "output"),
    [
        ("", "", 0, "valid settings of host host-9"),
        ("address = 127.0.0.1:2", "address = x", 2, "[callers] address = 'x'"),
        ("[host]", "[hosts]", 2, "[hosts]"),
    ],
)
def test_host_check_reports_invalid_settings(tmp_path, old, new, code, output):
    text = (
        "[host]\nname = host-9\nplace = a\n[callers]\naddress = 127.0.0.1:2\n"
        "[peers]\naddress = 127.0.0.1:3\n[platform]\naddress = 127.0.0.1:4\n"
    )
    file = tmp_path / "host.ini"
    file.write_text(text.replace(old, new, 1) if old else text)
    result = CliRunner().invoke(host_main, ["--check", str(file)])
    assert result.exit_code == code
    assert output in result.output
