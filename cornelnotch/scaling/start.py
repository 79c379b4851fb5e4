"""Start autoscaling on a host."""

from cornelnotch.duties.api import DutyHolder
from cornelnotch.gateway.host import GatewayHost
from cornelnotch.scaling.api import OrderApi
from cornelnotch.scaling.controller import ScalingController
from cornelnotch.scaling.counter import DemandCounter
from cornelnotch.scaling.demand_exchange import DemandExchange
from cornelnotch.scaling.history import DemandHistory

__all__ = ["start_scaling"]


def start_scaling(host: GatewayHost, holder: DutyHolder, api: OrderApi) -> None:
    """Count demand on a host, and order servers while it holds the duties."""
    context = host.context
    counter = DemandCounter()
    history = DemandHistory()
    exchange = DemandExchange(
        context, host.peers, host.boot, counter, history, holder.list_recipients
    )
    controller = ScalingController(context, host.tasks, holder, api, history)
    context.demand = counter
    metrics = context.metrics
    metrics.register_state_gauge("server_cost_per_s", controller.measure_cost)
    metrics.register_state_gauge("servers_needed", controller.measure_need)
    host.tasks.start_supervised("demand", exchange.run)
    host.tasks.start_supervised("scaling", controller.run)
