"""Checks of an edit against the current configuration, to prevent edits that harm callers."""

from collections.abc import Iterator

from .._entities import Configuration, Endpoint, EndpointKind, ModelVersion, Organisation
from .._finding import DocumentFile, Finding, Severity
from .._identifiers import ModelName, VersionId

_INVENTORY = DocumentFile.INVENTORY
_RULES = DocumentFile.RULES


def check_edit(
    old: Configuration,
    new: Configuration,
    now: float,
    vetoed: frozenset[ModelVersion] = frozenset(),
) -> tuple[Finding, ...]:
    """Return findings about what an edit would break; any error prevents the edit.

    `now` is the wall-clock time in seconds since the epoch. `vetoed` are the versions whose rollout
    was rolled back: the old version serves their traffic, whatever the plan says. A residency
    violation, i.e. a model that the organisation's regions do not serve, is only a warning if the
    old configuration already has it, so that it does not block an unrelated edit.
    """
    return (
        *_check_residency(old, new),
        *_check_rollouts(old, new, now),
        *_check_removed_vms(old, new),
        *_check_removed_versions(old, new, now, vetoed),
        *_check_traffic_jumps(old, new, now, vetoed),
        *_check_removed_organisations(old, new),
    )


def new_version_share(configuration: Configuration, model: ModelName, now: float) -> float:
    """Return the share of traffic, from 0 to 1, of the plan's new version; 0 without a plan."""
    plan = configuration.rollouts_by_model.get(model)
    if plan is None or now < plan.start_s:
        return 0.0
    past_shares = [step.share for step in plan.steps if step.at_s <= now]
    return past_shares[-1] if past_shares else 0.0


def versions_with_traffic(
    configuration: Configuration,
    model: ModelName,
    now: float,
    vetoed: frozenset[ModelVersion] = frozenset(),
) -> frozenset[VersionId]:
    """Return the versions of a model that receive traffic according to its plan."""
    plan = configuration.rollouts_by_model.get(model)
    if plan is None:
        return frozenset(configuration.versions_by_model.get(model, ())[:1])
    if ModelVersion(model, plan.new) in vetoed:
        return frozenset({plan.old})
    share = new_version_share(configuration, model, now)
    active_versions = {plan.old} if share < 1 else set()
    return frozenset(active_versions | ({plan.new} if share > 0 else set()))


def _check_residency(old: Configuration, new: Configuration) -> Iterator[Finding]:
    new_regions_by_model = _engine_regions_by_model(new)
    old_regions_by_model = _engine_regions_by_model(old)
    for organisation in new.organisations_by_id.values():
        before = old.organisations_by_id.get(organisation.id)
        for model in sorted(new.versions_by_model):
            if _is_served(organisation, new_regions_by_model.get(model, set())):
                continue
            was_already_unserved = before is not None and not _is_served(
                before, old_regions_by_model.get(model, set())
            )
            regions = (
                "all regions"
                if organisation.regions is None
                else ", ".join(sorted(organisation.regions))
            )
            yield Finding(
                _RULES,
                f'allowances["{organisation.id}"].residency',
                f"organisation {organisation.id!r} has no endpoint of model {model!r} in "
                f"{regions} (endpoints that are leaving do not count)",
                "allow another region or add an endpoint there first",
                Severity.WARNING if was_already_unserved else Severity.ERROR,
            )


def _engine_regions_by_model(configuration: Configuration) -> dict[ModelName, set[str]]:
    regions: dict[ModelName, set[str]] = {}
    for endpoint in configuration.endpoints_by_id.values():
        if endpoint.kind is EndpointKind.ENGINE and not endpoint.leaving:
            for model_version in endpoint.versions:
                regions.setdefault(model_version.model, set()).add(endpoint.region)
    return regions


def _is_served(organisation: Organisation, engine_regions: set[str]) -> bool:
    if organisation.regions is None:
        return bool(engine_regions)
    return not organisation.regions.isdisjoint(engine_regions)


def _check_rollouts(old: Configuration, new: Configuration, now: float) -> Iterator[Finding]:
    for model, plan in new.rollouts_by_model.items():
        if plan == old.rollouts_by_model.get(model):
            continue
        path = f'rollouts["{model}"]'
        final = plan.steps[-1] if plan.steps else None
        if final is None or final.share < 1 or final.at_s > plan.deadline_s:
            yield Finding(
                _RULES,
                f"{path}.steps",
                f"the steps of model {model!r} do not reach share 1 by the deadline",
                "add a step with share 1.0 before the deadline",
            )
        if plan.deadline_s <= now:
            yield Finding(
                _RULES,
                f"{path}.deadline",
                f"the deadline of model {model!r} has passed",
                "set a deadline in the future or remove the plan",
            )
        share = new_version_share(new, model, now)
        before = old.rollouts_by_model.get(model)
        is_same_rollout = before is not None and (before.old, before.new) == (plan.old, plan.new)
        share_before = new_version_share(old, model, now) if is_same_rollout else 0.0
        if share > share_before:
            yield Finding(
                _RULES,
                f"{path}.steps",
                f"version {plan.new!r} jumps from share {share_before:g} to {share:g} at once",
                "move steps into the future unless this is intended",
                Severity.WARNING,
            )
        yield from _check_new_version_served(path, new, ModelVersion(model, plan.new))


def _check_new_version_served(
    path: str, new: Configuration, expected: ModelVersion
) -> Iterator[Finding]:
    if not _endpoints_serving(new, expected):
        yield Finding(
            _RULES,
            f"{path}.new",
            f"no endpoint serves version {expected.version!r} of model {expected.model!r} yet",
            "add the version to endpoints, or let the rollout load it onto endpoints",
            Severity.WARNING,
        )


def _check_removed_vms(old: Configuration, new: Configuration) -> Iterator[Finding]:
    kept = {vm.region for vm in new.vms_by_id.values()}
    in_use = {endpoint.region for endpoint in new.endpoints_by_id.values()}
    in_use |= {r for o in new.organisations_by_id.values() for r in o.regions or ()}
    for region in sorted({vm.region for vm in old.vms_by_id.values()} - kept):
        used = region in in_use
        yield Finding(
            _INVENTORY,
            "vms",
            f"the last entry VM of region {region!r} is removed"
            + (" while endpoints or organisations use the region" if used else ""),
            "keep an entry VM there or remove the rest of the region in the same edit",
            Severity.ERROR if used else Severity.WARNING,
        )


def _check_removed_versions(
    old: Configuration, new: Configuration, now: float, vetoed: frozenset[ModelVersion]
) -> Iterator[Finding]:
    for model in sorted(old.versions_by_model):
        for version in sorted(versions_with_traffic(old, model, now, vetoed)):
            model_version = ModelVersion(model, version)
            listed = version in new.versions_by_model.get(model, ())
            if listed and (
                _endpoints_serving(new, model_version) or not _endpoints_serving(old, model_version)
            ):
                continue
            reason = "no endpoint would serve it" if listed else "it is removed from the models"
            yield Finding(
                _INVENTORY,
                f'models["{model}"].versions',
                f"version {version!r} of model {model!r} still carries traffic, but {reason}",
                "move its traffic with a rollout plan first",
            )


def _endpoints_serving(configuration: Configuration, model_version: ModelVersion) -> list[Endpoint]:
    return [
        endpoint
        for endpoint in configuration.endpoints_by_id.values()
        if model_version in endpoint.versions and not endpoint.leaving
    ]


def _check_traffic_jumps(
    old: Configuration, new: Configuration, now: float, vetoed: frozenset[ModelVersion]
) -> Iterator[Finding]:
    for model in sorted(set(old.versions_by_model) & set(new.versions_by_model)):
        before = versions_with_traffic(old, model, now, vetoed)
        after = versions_with_traffic(new, model, now, vetoed)
        if before.isdisjoint(after):
            yield Finding(
                _INVENTORY,
                f'models["{model}"].versions',
                f"all traffic of model {model!r} moves at once from {', '.join(sorted(before))} "
                f"to {', '.join(sorted(after))}",
                "move it with a rollout plan unless this is intended",
                Severity.WARNING,
            )


def _check_removed_organisations(old: Configuration, new: Configuration) -> Iterator[Finding]:
    for organisation in sorted(set(old.organisations_by_id) - set(new.organisations_by_id)):
        active = sorted(
            key.id
            for key in old.keys_by_id.values()
            if key.organisation == organisation and not key.withdrawn
        )
        if active:
            yield Finding(
                _INVENTORY,
                "organisations",
                f"organisation {organisation!r} is removed but has active keys: "
                + ", ".join(active),
                "withdraw the keys first",
            )
