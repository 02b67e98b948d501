"""Size and cost of the configuration at the target scale.

Run with ``python -m mangosaddle.measure.configuration``.
"""

import hashlib
import json
import random
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import TypeVar

import click

from .._identifiers import (
    EndpointId,
    KeyId,
    ModelName,
    OrganisationId,
    RegionName,
    ServiceName,
    VersionId,
    VmId,
    ZoneName,
)
from ..configuration import (
    MAX_ENCODED_BYTES,
    Configuration,
    Delta,
    Endpoint,
    EndpointKind,
    Key,
    ModelVersion,
    Organisation,
    Service,
    Vm,
    configuration_body,
    decode_configuration,
    encode_configuration,
    merge_delta,
    parse_edit,
    with_digest,
)

CHANGES_PER_DAY = 7_400
DAY_S = 86_400
HOME_SHARE = 0.27
"""Share of organisations bound to a home region."""

Value = TypeVar("Value")


@dataclass(frozen=True, slots=True)
class FleetSize:
    """Numbers of entries of a synthetic configuration."""

    organisations: int = 5_300
    endpoints: int = 10_000
    vms: int = 2_000
    models: int = 3
    regions: int = 35
    zones: int = 76
    active_keys: int = 10_600
    withdrawn_keys: int = 0


def synthetic_configuration(size: FleetSize, seed: int) -> Configuration:
    """Return a configuration of this size with random values; equal seeds give equal results."""
    rng = random.Random(seed)
    zones_by_region: dict[RegionName, tuple[ZoneName, ...]] = {}
    for number in range(size.zones):
        region = RegionName(f"region-{number % size.regions}")
        zone = ZoneName(f"{region}-{number // size.regions}")
        zones_by_region[region] = (*zones_by_region.get(region, ()), zone)
    places = [(region, zone) for region, zones in zones_by_region.items() for zone in zones]
    versions = {ModelName(f"model-{n}"): _versions() for n in range(size.models)}
    vms = [_vm(number, rng.choice(places)) for number in range(size.vms)]
    endpoints = [
        _endpoint(number, rng.choice(places), rng.choice(list(versions)), rng)
        for number in range(size.endpoints)
    ]
    regions = list(zones_by_region)
    organisations = [_organisation(n, regions, rng) for n in range(size.organisations)]
    keys = [
        _key(rng, organisations[n % len(organisations)].id, n >= size.active_keys)
        for n in range(size.active_keys + size.withdrawn_keys)
    ]
    service = Service(ServiceName("orders"), frozenset({"GET", "HEAD"}), frozenset({"GET"}))
    return with_digest(
        Configuration(
            revision=1,
            vms_by_id={vm.id: vm for vm in vms},
            endpoints_by_id={endpoint.id: endpoint for endpoint in endpoints},
            services_by_name={service.name: service},
            organisations_by_id={organisation.id: organisation for organisation in organisations},
            keys_by_id={key.id: key for key in keys},
            versions_by_model=versions,
            zones_by_region=zones_by_region,
        )
    )


def _versions() -> tuple[VersionId, ...]:
    return VersionId("v1"), VersionId("v2")


def _vm(number: int, place: tuple[RegionName, ZoneName]) -> Vm:
    host = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}"
    return Vm(VmId(f"{place[0]}-{number}"), *place, f"http://{host}:8080", f"ws://{host}:8090")


def _endpoint(
    number: int, place: tuple[RegionName, ZoneName], model: ModelName, rng: random.Random
) -> Endpoint:
    return Endpoint(
        EndpointId(f"runner-{number}"),
        EndpointKind.ENGINE,
        *place,
        f"http://10.{64 + (number >> 16)}.{number >> 8 & 255}.{number & 255}:9000",
        rng.choice((8, 16, 32, 64)),
        frozenset({ModelVersion(model, VersionId("v1"))}),
        checks_fencing=rng.random() < 0.8,
    )


def _organisation(number: int, regions: list[RegionName], rng: random.Random) -> Organisation:
    rate = float(rng.randrange(200, 50_000, 100))
    home = frozenset({rng.choice(regions)}) if rng.random() < HOME_SHARE else None
    return Organisation(OrganisationId(f"organisation-{number}"), rate, 20 * rate, home)


def _key(rng: random.Random, organisation: OrganisationId, withdrawn: bool) -> Key:
    digest = hashlib.sha256(rng.randbytes(32)).hexdigest()
    secret = "" if withdrawn else digest
    at_s = rng.randrange(DAY_S) if withdrawn else None
    return Key(KeyId(rng.randbytes(6).hex()), organisation, secret, withdrawn, at_s)


def edited(configuration: Configuration, rng: random.Random) -> Configuration:
    """Return the configuration with the rate of one organisation changed."""
    organisation = rng.choice(list(configuration.organisations_by_id.values()))
    changed = replace(organisation, rate_tokens_per_s=organisation.rate_tokens_per_s + 1)
    organisations = {**configuration.organisations_by_id, organisation.id: changed}
    return replace(
        configuration,
        revision=configuration.revision + 1,
        organisations_by_id=organisations,
        digest=b"",
    )


def _timed(action: Callable[[], Value], repeats: int) -> tuple[Value, float]:
    """Return the last result and the mean time in milliseconds."""
    begin = time.perf_counter()
    for _ in range(repeats):
        value = action()
    return value, (time.perf_counter() - begin) * 1000 / repeats


@click.command()
@click.option("--seed", default=1, show_default=True, help="Seed of the synthetic fleet.")
def main(seed: int) -> None:
    """Print the sizes and times; the exit code is 1 when the document is too large."""
    rng = random.Random(seed)
    encoded_bytes = 0
    for active, withdrawn in ((5_300, 0), (10_600, 0), (10_600, CHANGES_PER_DAY)):
        size = FleetSize(active_keys=active, withdrawn_keys=withdrawn)
        configuration = synthetic_configuration(size, seed)
        data, encode_ms = _timed(lambda c=configuration: encode_configuration(c, "n" * 32), 1)  # type: ignore[misc]
        encoded_bytes = max(encoded_bytes, len(data))
        click.echo(f"{active} active and {withdrawn} withdrawn keys: {len(data)} bytes encoded")
    tracemalloc.start()
    stored = decode_configuration(data, 1).configuration
    memory_mb = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    _, decode_ms = _timed(lambda: decode_configuration(data, 1), 3)
    result = edited(stored, rng)
    delta, between_ms = _timed(lambda: Delta.between(stored, result), 3)
    encoded_delta = delta.to_bytes()
    _, apply_ms = _timed(lambda: merge_delta(stored, Delta.from_bytes(encoded_delta)), 100)
    body = configuration_body(result)
    request = json.dumps({name: body[name] for name in ("inventory", "rules")}).encode()
    outcome, check_ms = _timed(lambda: parse_edit(stored, request, 0.0), 1)
    if outcome.configuration is None:
        raise click.ClickException(f"the edit is refused: {outcome.findings[:3]}")
    click.echo(f"body of an edit: {len(request)} bytes, parse and check {check_ms:.0f} ms")
    click.echo(f"encode {encode_ms:.0f} ms, decode {decode_ms:.0f} ms, memory {memory_mb:.1f} MB")
    click.echo(f"delta of one change: {len(encoded_delta)} bytes, compute {between_ms:.1f} ms")
    click.echo(f"decode and apply a delta: {apply_ms:.2f} ms")
    seconds = apply_ms / 1000 * CHANGES_PER_DAY
    click.echo(f"{CHANGES_PER_DAY} changes a day: {100 * seconds / DAY_S:.4f}% of a core")
    traffic = CHANGES_PER_DAY * len(encoded_delta) / DAY_S
    click.echo(f"traffic per copy received: {traffic:.1f} bytes/s")
    if encoded_bytes >= MAX_ENCODED_BYTES:
        raise SystemExit(1)


if __name__ == "__main__":
    main()
