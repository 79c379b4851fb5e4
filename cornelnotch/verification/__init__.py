"""Models of the core protocols for exhaustive state-space exploration.

The models call the production functions of a node.
"""

from cornelnotch.verification.claims import ClaimMutant, create_claim_protocol
from cornelnotch.verification.configuration import (
    ConfigurationMutant,
    create_configuration_protocol,
)
from cornelnotch.verification.duties import DutyMutant, create_duty_protocol
from cornelnotch.verification.handovers import (
    HandoverMutant,
    create_handover_protocol,
)
from cornelnotch.verification.limits import LimitMutant, create_limit_protocol
from cornelnotch.verification.order import (
    THREE_TIERS,
    OrderMutant,
    create_order_protocol,
)
from cornelnotch.verification.origins import OriginMutant, create_origin_protocol
from cornelnotch.verification.reads import ReadMutant, create_read_protocol
from cornelnotch.verification.restoration import (
    RestorationMutant,
    create_restoration_protocol,
)
from cornelnotch.verification.stops import Call, StopMutant, create_stop_protocol

__all__ = [
    "THREE_TIERS",
    "Call",
    "ClaimMutant",
    "ConfigurationMutant",
    "DutyMutant",
    "HandoverMutant",
    "LimitMutant",
    "OrderMutant",
    "OriginMutant",
    "ReadMutant",
    "RestorationMutant",
    "StopMutant",
    "create_claim_protocol",
    "create_configuration_protocol",
    "create_duty_protocol",
    "create_handover_protocol",
    "create_limit_protocol",
    "create_order_protocol",
    "create_origin_protocol",
    "create_read_protocol",
    "create_restoration_protocol",
    "create_stop_protocol",
]
