from dataclasses import replace
from pathlib import Path

import pytest

from crocusbay.state import ServiceKind
from crocusbay.state.questionnaire import (
    compare_deployments,
    parse_questionnaire,
    set_revision,
)
from crocusbay.state.template import QUESTIONNAIRE_TEMPLATE

FOLDER = Path(__file__).parents[5] / "questionnaires"
TEMPLATE = QUESTIONNAIRE_TEMPLATE.format(name="shop")


@pytest.mark.parametrize(
    ("name", "services", "search_services", "servers"),
    [("destovka", 52, 50, 106), ("hemtape", 52, 50, 107)],
)
def test_shipped_questionnaires_have_expected_size(
    name, services, search_services, servers
):
    text = (FOLDER / f"{name}.ini").read_text()
    deployment = parse_questionnaire(text).ok.deployment
    kinds = [service.kind for service in deployment.services]
    assert len(kinds) == services
    assert kinds.count(ServiceKind.SEARCH) == search_services
    assert sum(service.servers for service in deployment.services) == servers


def test_template_is_a_valid_questionnaire():
    questionnaire = parse_questionnaire(TEMPLATE).ok
    assert questionnaire.revision == 0
    assert questionnaire.deployment.name == "shop"


@pytest.mark.parametrize(
    ("old", "new", "section", "key"),
    [
        ("weigh_most = latency", "weigh_most = speed", "deployment", "weigh_most"),
        ("revision = 0", "revision = -1", "deployment", "revision"),
        ("hosts = 7", "hosts = many", "deployment", "hosts"),
        (
            "answer_within_ms = 250",
            "answer_within_ms = 0",
            "deployment",
            "answer_within_ms",
        ),
        ("place-2", "place-1", "places", "names"),
        ("kind = order", "kind = orders", "service orders", "kind"),
        ("slots = 6", "slots = 0", "service orders", "slots"),
        ("[service orders]", "[service ]", "service ", ""),
        ("[service orders]", "[servic orders]", "servic orders", ""),
        ("[service orders]", "[service catalogue-01]", "service catalogue-01", ""),
    ],
)
def test_error_names_section_and_key(old, new, section, key):
    errors = parse_questionnaire(TEMPLATE.replace(old, new)).error
    assert (section, key) in [(error.section, error.key) for error in errors]


@pytest.mark.parametrize(
    ("objective", "retry_ratio"), [("latency", 0.05), ("coverage", 0.1)]
)
def test_weigh_most_selects_policy(objective, retry_ratio):
    text = TEMPLATE.replace("weigh_most = latency", f"weigh_most = {objective}")
    policy = parse_questionnaire(text).ok.deployment.policy
    assert policy.hedge_ratio == 0.05
    assert policy.retry_ratio == retry_ratio


def test_set_revision_changes_nothing_else():
    text = set_revision(TEMPLATE, 12)
    assert parse_questionnaire(text).ok.revision == 12
    assert set_revision(text, 0) == TEMPLATE


def test_compare_deployments_names_each_difference():
    old = parse_questionnaire(TEMPLATE).ok.deployment
    service = replace(old.services[-1], slots=9)
    new = replace(old, hosts=8, services=(*old.services[1:-1], service))
    assert compare_deployments(old, new) == (
        "hosts: 7 -> 8",
        "service catalogue-01: removed",
        "service orders.slots: 6 -> 9",
    )
