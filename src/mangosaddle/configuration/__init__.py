"""Inventory and rules: documents at the border, frozen data classes inside."""

from ._entities import (
    Configuration,
    Endpoint,
    EndpointKind,
    Key,
    ModelVersion,
    Organisation,
    RolloutPlan,
    RolloutStep,
    Service,
    Vm,
)

__all__ = [
    "Configuration",
    "Endpoint",
    "EndpointKind",
    "Key",
    "ModelVersion",
    "Organisation",
    "RolloutPlan",
    "RolloutStep",
    "Service",
    "Vm",
]
