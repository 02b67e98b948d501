"""Decodes the operator's rollout orders; encodes and decodes the rollout states it reads."""

import json
from typing import Literal, Self

from pydantic import BaseModel, ConfigDict, Field, ValidationError, ValidationInfo, field_validator
from pydantic_core import PydanticCustomError
from returns.result import Failure, Result, Success

from .._identifiers import ServiceName, VersionId
from ..rollouts import RolloutOrder, RolloutRecord, RolloutState

ORDER_PREFIX = "op/rollout/"
STATUS_PREFIX = "status/rollout/"

STATE_BY_NAME = {
    "running": RolloutState.IN_PROGRESS,
    "completed": RolloutState.COMPLETED,
    "rolled_back": RolloutState.REVERTED,
}
NAME_BY_STATE = {state: name for name, state in STATE_BY_NAME.items()}


class _Document(BaseModel):
    model_config = ConfigDict(extra="ignore", strict=True)

    @classmethod
    def from_value(cls, value: bytes, service: str) -> Result[Self, str]:
        """Decode a value; the failure lists all errors with their fields."""
        try:
            return Success(cls.model_validate(json.loads(value), context=service))
        except ValidationError as error:
            details = (
                f"{'.'.join(map(str, detail['loc']))}: {detail['msg']}" for detail in error.errors()
            )
            return Failure("; ".join(details))
        except (ValueError, RecursionError) as error:
            return Failure(f"is not JSON: {error}")


class _Order(_Document):
    service: str
    target: str = Field(min_length=1)
    duration_s: float = Field(gt=0, allow_inf_nan=False)

    @field_validator("service")
    @classmethod
    def _matches_service_in_key(cls, service: str, info: ValidationInfo) -> str:
        if service != info.context:
            raise PydanticCustomError(
                "service", f"{service!r} does not match {info.context!r} in the key"
            )
        return service


class _Status(_Document):
    state: Literal["running", "completed", "rolled_back"]
    target: str = Field(min_length=1)
    order: int = Field(default=0, ge=0)
    began_at_s: float = Field(default=0, ge=0, allow_inf_nan=False)


def service_of_order_key(key: str) -> ServiceName | None:
    """Return the service that an order key refers to, or ``None`` for other keys."""
    return _service_of_key(key, ORDER_PREFIX)


def status_key(service: ServiceName) -> str:
    """Return the key under which the state of a service's rollout is stored."""
    return STATUS_PREFIX + service


def decode_order(key: str, value: bytes, revision: int) -> Result[RolloutOrder, str]:
    """Decode an order that was written at ``revision``; the failure lists all errors."""
    service = service_of_order_key(key)
    if service is None:
        return Failure(f"key: {key!r} names no service")

    def _to_order(document: _Order) -> RolloutOrder:
        return RolloutOrder(service, VersionId(document.target), document.duration_s, revision)

    return _Order.from_value(value, service).map(_to_order)


def encode_status(record: RolloutRecord) -> bytes:
    """Encode the state of a rollout in the operator's format."""
    document = _Status.model_validate(
        {
            "state": NAME_BY_STATE[record.state],
            "target": record.target,
            "order": record.order,
            "began_at_s": record.began_at_s,
        }
    )
    return document.model_dump_json().encode()


def decode_status(key: str, value: bytes) -> Result[RolloutRecord, str]:
    """Decode the state of a rollout; the failure lists all errors."""
    service = _service_of_key(key, STATUS_PREFIX)
    if service is None:
        return Failure(f"key: {key!r} names no service")

    def _to_record(document: _Status) -> RolloutRecord:
        return RolloutRecord(
            service,
            VersionId(document.target),
            STATE_BY_NAME[document.state],
            document.order,
            document.began_at_s,
        )

    return _Status.from_value(value, service).map(_to_record)


def _service_of_key(key: str, prefix: str) -> ServiceName | None:
    service = key.removeprefix(prefix)
    return ServiceName(service) if key.startswith(prefix) and service else None
