"""Checks of the operators' documents: every finding with its place and line."""

from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from syrupy.assertion import SnapshotAssertion

from mangosaddle.configuration import (
    DocumentFile,
    Finding,
    TomlSource,
    check_documents,
    check_sources,
    has_errors,
    inventory_to_json,
    load_configuration,
    load_sources,
    rules_to_json,
)
from mangosaddle.configuration._documents import DocumentItem
from mangosaddle.configuration._parse import ParsedDocument
from mangosaddle.measure.configuration import FleetSize, synthetic_configuration

EXAMPLES = Path(__file__).parents[2] / "examples"

NEW_REGION = '[[regions]]\nname = "axum"\nzones = ["axum-a"]\n'

# Test id, document to change, text to replace, replacement.
INVALID_EDITS = [
    ("not_toml", "inventory", 'id = "addis-1"', "id = addis-1"),
    ("unknown_field", "inventory", 'zone = "addis-a"\nurl', 'zone = "addis-a"\ncolour = 1\nurl'),
    ("unknown_table", "inventory", "[[services]]", "[[service]]"),
    ("table_not_list", "rules", "[[open_routes]]", "[open_routes]"),
    ("missing_field", "inventory", "capacity = 16\n", ""),
    ("capacity_zero", "inventory", "capacity = 16\n", "capacity = 0\n"),
    ("capacity_text", "inventory", "capacity = 16\n", 'capacity = "16"\n'),
    ("unknown_kind", "inventory", 'kind = "engine"', 'kind = "motor"'),
    ("bad_name", "inventory", 'id = "addis-2"', 'id = "addis_2"'),
    ("duplicate_id", "inventory", 'id = "addis-2"', 'id = "addis-1"'),
    ("duplicate_address", "inventory", "127.0.1.2:8080", "127.0.1.1:8080"),
    ("url_with_host_name", "inventory", "http://127.0.1.1:8080", "http://addis.example:8080"),
    ("url_with_path", "inventory", "http://127.0.1.1:8080", "http://127.0.1.1:8080/v1"),
    ("bad_port", "inventory", "ws://127.0.1.1:8090", "ws://127.0.1.1:98090"),
    ("wrong_scheme", "inventory", "ws://127.0.1.1:8090", "http://127.0.1.1:8090"),
    ("unknown_region", "inventory", 'region = "mekele"', 'region = "mekelle"'),
    ("zone_of_another_region", "inventory", 'zone = "gondar-b"', 'zone = "addis-b"'),
    ("unknown_version", "inventory", 'versions = ["v1", "v2"]', 'versions = ["v1"]'),
    ("unknown_model", "inventory", 'name = "advisor"', 'name = "adviser"'),
    ("engine_with_service", "inventory", "capacity = 16\n", 'capacity = 16\nservice = "orders"\n'),
    ("endpoint_without_service", "inventory", 'service = "orders"', ""),
    ("unknown_service", "inventory", 'service = "orders"', 'service = "order"'),
    ("no_vms", "inventory", "[[vms]]", "[[old]]"),
    ("region_without_vm", "inventory", "[[models]]", NEW_REGION + "[[models]]"),
    ("year_out_of_range", "rules", "start = 2027", "start = 0001"),
    ("no_allowance", "inventory", "[[services]]", '[[organisations]]\nid = "new"\n[[services]]'),
    ("burst_too_small", "rules", "burst_tokens = 60000", "burst_tokens = 500"),
    ("rate_infinite", "rules", "rate_tokens_per_s = 4000", "rate_tokens_per_s = inf"),
    ("unknown_organisation", "rules", '"school-clocks"', '"school-clock"'),
    ("unknown_residency_region", "rules", 'residency = ["gondar"]', 'residency = ["gonder"]'),
    ("open_route_not_idempotent", "rules", 'methods = ["GET"]', 'methods = ["GET", "POST"]'),
    ("open_route_of_unknown_service", "rules", 'service = "orders"', 'service = "stock"'),
    ("time_without_offset", "rules", "deadline = 2027-01-11T10:00:00Z", "deadline = 2027-01-11"),
    ("steps_out_of_order", "rules", "at = 2027-01-11T08:00:00Z", "at = 2027-01-11T06:30:00Z"),
    ("share_decreases", "rules", "share = 0.5", "share = 0.05"),
    ("share_above_one", "rules", "share = 0.5", "share = 5"),
    ("last_share_below_one", "rules", "share = 1.0", "share = 0.9"),
    ("step_after_deadline", "rules", "at = 2027-01-11T09:00:00Z", "at = 2027-01-11T12:00:00Z"),
    ("step_before_start", "rules", "at = 2027-01-11T06:00:00Z", "at = 2027-01-11T05:00:00Z"),
    ("deadline_before_start", "rules", "start = 2027-01-11T06", "start = 2027-01-11T16"),
    ("same_version", "rules", 'new = "v2"', 'new = "v1"'),
]


def edited_sources(document: str, old: str, new: str) -> tuple[TomlSource, TomlSource]:
    """Return the example documents with one text replaced."""
    inventory, rules = load_sources(EXAMPLES / "authority")
    changed = inventory if document == "inventory" else rules
    assert old in changed.text
    replaced = TomlSource(changed.file, changed.text.replace(old, new))
    return (replaced, rules) if document == "inventory" else (inventory, replaced)


@pytest.mark.parametrize(
    ("document", "old", "new"),
    [edit[1:] for edit in INVALID_EDITS],
    ids=[edit[0] for edit in INVALID_EDITS],
)
def test_invalid_documents_report_every_finding(
    document: str, old: str, new: str, snapshot: SnapshotAssertion
) -> None:
    """Operators lose time if a finding lacks its place or hides another one."""
    checked = check_sources(*edited_sources(document, old, new))
    assert checked.findings
    lines = [
        f"{f.severity} {f.file}:{f.line} {f.place}: {f.message} -> {f.remedy}"
        for f in checked.findings
    ]
    assert lines == snapshot


def test_faults_of_both_documents_are_reported_together() -> None:
    """Operators who see only the first fault need one attempt per fault."""
    sources = {source.file: source for source in load_sources(EXAMPLES / "authority")}
    names = {"capacity_text", "duplicate_id", "wrong_scheme", "burst_too_small", "share_decreases"}
    separate_findings: list[Finding] = []
    for name, document, old, new in INVALID_EDITS:
        if name in names:
            separate_findings += check_sources(*edited_sources(document, old, new)).findings
            file = f"{document}.toml"
            sources[file] = replace(sources[file], text=sources[file].text.replace(old, new))
    combined_findings = check_sources(
        sources[DocumentFile.INVENTORY], sources[DocumentFile.RULES]
    ).findings
    assert len(combined_findings) >= len(names)
    assert {(f.place, f.line, f.message) for f in combined_findings} == {
        (f.place, f.line, f.message) for f in separate_findings
    }


@pytest.mark.parametrize("deployment", ["authority", "division"])
def test_examples_survive_a_round_trip(deployment: str) -> None:
    """Documents returned by the admin API must give the same configuration when applied again."""
    checked = load_configuration(EXAMPLES / deployment)
    assert checked.findings == ()
    configuration = checked.to_configuration()
    assert configuration is not None
    assert (len(configuration.vms_by_id), len(configuration.endpoints_by_id)) == (6, 8)
    again = check_documents(inventory_to_json(configuration), rules_to_json(configuration))
    assert again.to_configuration() == configuration


SCALARS = st.one_of(st.none(), st.booleans(), st.integers(), st.floats(), st.text(max_size=8))
ARBITRARY_DOCUMENTS = st.recursive(
    SCALARS,
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(
            st.sampled_from(["vms", "id", "url", "versions", "rollouts", "steps", "start", "at"]),
            inner,
            max_size=4,
        ),
    ),
    max_leaves=12,
)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(inventory=ARBITRARY_DOCUMENTS, rules=ARBITRARY_DOCUMENTS, text=st.text(max_size=40))
def test_arbitrary_documents_never_crash_the_checks(
    inventory: object, rules: object, text: str
) -> None:
    """A document from the network must not crash the checks."""
    checked = check_documents(inventory, rules)
    assert all(finding.message and finding.remedy for finding in checked.findings)
    check_sources(TomlSource(DocumentFile.INVENTORY, text), TomlSource(DocumentFile.RULES, text))


def test_checks_scan_the_documents_a_fixed_number_of_times(monkeypatch: pytest.MonkeyPatch) -> None:
    """Scanning all entries once per entry would take a minute at 10,000 endpoints."""
    scans = 0
    items = ParsedDocument.items

    def counting_items(parsed: ParsedDocument, item_type: type[DocumentItem]) -> object:
        nonlocal scans
        scans += 1
        return items(parsed, item_type)

    monkeypatch.setattr(ParsedDocument, "items", counting_items)
    counts = []
    for endpoints in (20, 200):
        size = FleetSize(endpoints, endpoints, endpoints, 2, regions=3, zones=6, active_keys=1)
        configuration = synthetic_configuration(size, seed=1)
        scans = 0
        checked = check_documents(inventory_to_json(configuration), rules_to_json(configuration))
        assert not has_errors(checked.findings)
        counts.append(scans)
    assert counts[0] == counts[1]
