"""Tests of order planning, simulated over whole rollouts with lost orders and late vetoes."""

import random
from dataclasses import dataclass, field, replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mangosaddle._identifiers import EndpointId, ModelName, RegionName, VersionId, ZoneName
from mangosaddle.configuration import (
    Configuration,
    Endpoint,
    EndpointKind,
    ModelVersion,
    RolloutPlan,
)
from mangosaddle.daemon._order_plan import EngineOrder, EngineReading, plan_orders
from mangosaddle.daemon._reported_versions import ReportedVersions, loaded_capacity, parse_versions
from mangosaddle.providers import EngineOrderKind
from mangosaddle.rollouts import LoadCost

OLD, NEW = VersionId("v1"), VersionId("v2")
PLAN = RolloutPlan(ModelName("m"), OLD, NEW, 100.0, 400.0)
COST = LoadCost(1.0, 1.0, 2.0)
ROUNDS = 600


def _endpoint(name: str, region: str, versions: tuple[str, ...] = ("v1",)) -> Endpoint:
    served = frozenset(ModelVersion(PLAN.model, VersionId(v)) for v in versions)
    place = (RegionName(region), ZoneName(region))
    return Endpoint(EndpointId(name), EndpointKind.ENGINE, *place, "http://e", 4, served)


@dataclass
class SimulatedEngine:
    """A simulated engine; ``unloads_while_loading`` makes it serve nothing during a load."""

    endpoint: Endpoint
    unloads_while_loading: bool
    versions: set[VersionId] = field(default_factory=lambda: {OLD})
    loading: VersionId | None = None
    ready_at_s: float = 0.0

    def reading(self) -> EngineReading:
        """Return the state that the engine reports."""
        loading = frozenset() if self.loading is None else frozenset({self.loading})
        return EngineReading(self.endpoint, frozenset(self.versions), loading)

    def order(self, order: EngineOrder, now: float, load_s: float) -> None:
        """Carry out an order; a load takes ``load_s`` seconds."""
        if order.kind is EngineOrderKind.UNLOAD:
            self.versions.discard(order.version)
            return
        self.loading, self.ready_at_s = order.version, now + load_s
        if self.unloads_while_loading:
            self.versions.clear()

    def advance(self, now: float) -> None:
        """Finish the current load if it is due."""
        if self.loading is not None and now >= self.ready_at_s:
            self.versions.add(self.loading)
            self.loading = None


@settings(derandomize=True, deadline=None, max_examples=60)
@given(
    st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), min_size=1, max_size=8),
    st.one_of(st.none(), st.integers(50, 500)),
    st.integers(1, 12),
    st.integers(0, 1 << 30),
)
def test_a_region_never_has_two_engines_out_of_service_at_once(
    rows: list[tuple[str, bool]], veto_round: int | None, load_s: int, seed: int
) -> None:
    """Guards against loads that stop the old version on two engines of a region at once.

    Orders get lost, regions are unread at times, and a veto may arrive at any time. In the end all
    engines must serve only the right version.
    """
    rng = random.Random(seed)
    engines = [
        SimulatedEngine(_endpoint(f"e{n}", region), unloads_while_loading)
        for n, (region, unloads_while_loading) in enumerate(rows)
    ]
    engines_by_id = {engine.endpoint.id: engine for engine in engines}
    for now in range(ROUNDS):
        for engine in engines:
            engine.advance(float(now))
        vetoed = veto_round is not None and now >= veto_round
        unread = frozenset(RegionName(r) for r in "abc" if rng.random() < 0.1)
        orders = plan_orders(
            PLAN,
            [engine.reading() for engine in engines],
            unread,
            COST,
            float(now),
            allowed_share=0.0 if vetoed else 1.0,
            vetoed=vetoed,
            unload_allowed=now > 480 if not vetoed else now > (veto_round or 0) + 30,
        )
        for order in orders:
            engine = engines_by_id[order.endpoint]
            assert engine.endpoint.region not in unread
            assert engine.loading is None
            if rng.random() < 0.8:
                engine.order(order, float(now), float(load_s))
        for region in "abc":
            region_engines = [e for e in engines if e.endpoint.region == region]
            loading = [e for e in region_engines if e.loading is not None]
            assert len(loading) <= 1
            if not vetoed:
                unserving = [e for e in region_engines if not e.versions and e not in loading]
                assert not unserving
    wanted = OLD if veto_round is not None else NEW
    if load_s <= 6:
        assert all(engine.versions == {wanted} for engine in engines)


@pytest.mark.parametrize(
    ("versions", "vetoed", "unload_allowed", "expected"),
    [
        ([("v1", "v2"), ("v1", "v2")], False, True, [("e0", "unload", "v1")]),
        ([("v1", "v2"), ("v1", "v2")], False, False, []),
        ([("v1", "v2"), ("v1",)], False, True, [("e1", "load", "v2")]),
        ([("v2",), ("v1", "v2")], True, True, [("e0", "load", "v1")]),
        ([("v1",), ("v1", "v2")], True, True, [("e1", "unload", "v2")]),
        ([("v1",), ("v1", "v2")], True, False, []),
        ([("v2",), ("v2",)], False, True, []),
        ([(), ("v1",)], False, False, [("e0", "load", "v2")]),
        ([(), ("v1",)], True, False, [("e0", "load", "v1")]),
        ([("v1",), ()], False, False, [("e1", "load", "v2")]),
    ],
)
def test_orders_after_the_deadline(
    versions: list[tuple[str, ...]],
    vetoed: bool,
    unload_allowed: bool,
    expected: list[tuple[str, str, str]],
) -> None:
    """Guards against an unload while an engine still lacks the other version."""
    engines = [
        EngineReading(_endpoint(f"e{n}", "a"), frozenset(VersionId(v) for v in names))
        for n, names in enumerate(versions)
    ]
    orders = plan_orders(
        PLAN,
        engines,
        frozenset(),
        COST,
        401.0,
        allowed_share=1.0,
        vetoed=vetoed,
        unload_allowed=unload_allowed,
    )
    assert [(o.endpoint, o.kind.value, o.version) for o in orders] == expected


@pytest.mark.parametrize(
    ("allowed_share", "unread", "unloads"),
    [(0.3, "", 0), (1.0, "b", 0), (1.0, "", 0), (1.0, "all new", 2)],
)
def test_no_unload_before_all_engines_are_known_to_serve_the_new_version(
    allowed_share: float, unread: str, unloads: int
) -> None:
    """Guards against an unload while an engine of another region may need the old version."""
    other = ("v1", "v2") if unread in ("b", "all new") else ("v1",)
    rows = [_endpoint("e0", "a", ("v1", "v2")), _endpoint("e1", "b", other)]
    engines = [EngineReading(e, frozenset(v.version for v in e.versions)) for e in rows]
    regions = frozenset({RegionName("b")}) if unread == "b" else frozenset[RegionName]()
    orders = plan_orders(
        PLAN,
        engines,
        regions,
        COST,
        401.0,
        allowed_share=allowed_share,
        vetoed=False,
        unload_allowed=True,
    )
    assert sum(order.kind is EngineOrderKind.UNLOAD for order in orders) == unloads


@pytest.mark.parametrize(
    ("rows", "expected"),
    [
        ([("a", ("v1",)), ("a", ("v1", "v2"))], (4.0, 4.0)),
        ([("a", ("v1", "v2")), ("b", ("v1",))], (4.0, 0.0)),
        ([("b", ("v1",)), ("c", ("v2",))], (4.0, 4.0)),
        ([("a", ("v3",)), ("b", ("v1",))], (0.0, 4.0)),
        ([], (0.0, 0.0)),
    ],
)
def test_loaded_capacity(
    rows: list[tuple[str, tuple[str, ...]]], expected: tuple[float, float]
) -> None:
    """Guards against a traffic share above the loaded capacity of the region, or else the fleet."""
    endpoints = [_endpoint(f"e{n}", region, names) for n, (region, names) in enumerate(rows)]
    new, old = ModelVersion(PLAN.model, NEW), ModelVersion(PLAN.model, OLD)
    assert loaded_capacity(endpoints, RegionName("a"), new, old) == expected


def test_reported_versions_override_the_inventory_until_the_url_changes() -> None:
    """Guards against routing requests to a version that an engine does not serve."""
    endpoint = _endpoint("e0", "a", ("v1", "v2"))
    models: dict[ModelName, tuple[VersionId, ...]] = {PLAN.model: (OLD, NEW)}
    configuration = Configuration(2, endpoints_by_id={endpoint.id: endpoint})
    configuration = replace(configuration, versions_by_model=models)
    reported = ReportedVersions()
    reported.apply_configuration(configuration)
    versions = parse_versions(["m@v1", "unknown@v9"])
    assert versions is not None
    assert reported.record(endpoint.id, versions)
    assert not reported.record(endpoint.id, versions)
    assert not reported.record(EndpointId("other"), versions)
    assert reported.version_names(endpoint.id) == ["m@v1"]
    row = reported.apply_to(configuration).endpoints_by_id[endpoint.id]
    assert row.versions == frozenset({ModelVersion(PLAN.model, OLD)})
    moved = replace(endpoint, url="http://other")
    reported.apply_configuration(replace(configuration, endpoints_by_id={moved.id: moved}))
    assert reported.versions_of(moved) == endpoint.versions
