"""Identifier types shared by all subpackages."""

from typing import NewType

VmId = NewType("VmId", str)
Incarnation = NewType("Incarnation", str)
OrganisationId = NewType("OrganisationId", str)
KeyId = NewType("KeyId", str)
EndpointId = NewType("EndpointId", str)
ModelName = NewType("ModelName", str)
VersionId = NewType("VersionId", str)
ServiceName = NewType("ServiceName", str)
RegionName = NewType("RegionName", str)
ZoneName = NewType("ZoneName", str)
RequestId = NewType("RequestId", str)
