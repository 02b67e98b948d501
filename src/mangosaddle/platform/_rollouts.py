"""Translates the operator's orders of roll-outs and the states that it reads."""

import json
from typing import Literal, Self

from pydantic import BaseModel, ConfigDict, Field, ValidationError, ValidationInfo, field_validator
from pydantic_core import PydanticCustomError
from returns.result import Failure, Result, Success

from .._identifiers import ServiceName, VersionId
from ..rollouts import RolloutOrder, RolloutRecord, RolloutState

ORDER_PREFIX = "op/rollout/"
STATUS_PREFIX = "status/rollout/"

STATE_BY_WORD = {
    "running": RolloutState.IN_PROGRESS,
    "completed": RolloutState.COMPLETED,
    "rolled_back": RolloutState.ROLLED_BACK,
}
WORD_BY_STATE = {state: word for word, state in STATE_BY_WORD.items()}


class _Document(BaseModel):
    model_config = ConfigDict(extra="ignore", strict=True)

    @classmethod
    def from_value(cls, value: bytes, service: str) -> Result[Self, str]:
        """Decode a value; the failure names all faults with their places."""
        try:
            return Success(cls.model_validate(json.loads(value), context=service))
        except ValidationError as error:
            faults = (f"{'.'.join(map(str, f['loc']))}: {f['msg']}" for f in error.errors())
            return Failure("; ".join(faults))
        except (ValueError, RecursionError) as error:
            return Failure(f"is not JSON: {error}")


class _Order(_Document):
    service: str
    target: str = Field(min_length=1)
    duration_s: float = Field(gt=0, allow_inf_nan=False)

    @field_validator("service")
    @classmethod
    def _is_the_service_of_the_key(cls, service: str, info: ValidationInfo) -> str:
        if service != info.context:
            raise PydanticCustomError("service", f"{service!r} is not {info.context!r} of the key")
        return service


class _Status(_Document):
    state: Literal["running", "completed", "rolled_back"]
    target: str = Field(min_length=1)
    order: int = Field(default=0, ge=0)
    began_at_s: float = Field(default=0, ge=0, allow_inf_nan=False)


def service_of_order_key(key: str) -> ServiceName | None:
    """Return the service that a key of the operator orders a roll-out of, or ``None``."""
    return _service_of_key(key, ORDER_PREFIX)


def status_key(service: ServiceName) -> str:
    """Return the key of the state of a service's roll-out."""
    return STATUS_PREFIX + service


def decode_order(key: str, value: bytes, revision: int) -> Result[RolloutOrder, str]:
    """Decode an order that was written at ``revision``; the failure names all faults."""
    service = service_of_order_key(key)
    if service is None:
        return Failure(f"key: {key!r} names no service")

    def _order(document: _Order) -> RolloutOrder:
        return RolloutOrder(service, VersionId(document.target), document.duration_s, revision)

    return _Order.from_value(value, service).map(_order)


def encode_status(record: RolloutRecord) -> bytes:
    """Encode the state of a roll-out as the operator reads it."""
    document = _Status.model_validate(
        {
            "state": WORD_BY_STATE[record.state],
            "target": record.target,
            "order": record.order,
            "began_at_s": record.began_at_s,
        }
    )
    return document.model_dump_json().encode()


def decode_status(key: str, value: bytes) -> Result[RolloutRecord, str]:
    """Decode the state of a roll-out; the failure names all faults."""
    service = _service_of_key(key, STATUS_PREFIX)
    if service is None:
        return Failure(f"key: {key!r} names no service")

    def _record(document: _Status) -> RolloutRecord:
        return RolloutRecord(
            service,
            VersionId(document.target),
            STATE_BY_WORD[document.state],
            document.order,
            document.began_at_s,
        )

    return _Status.from_value(value, service).map(_record)


def _service_of_key(key: str, prefix: str) -> ServiceName | None:
    service = key.removeprefix(prefix)
    return ServiceName(service) if key.startswith(prefix) and service else None
