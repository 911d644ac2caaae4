"""Scenarios in which a primary fails or is cut off."""

from redwingpost.bench.control_client import LinkRule
from redwingpost.bench.layout import delay_rules
from redwingpost.bench.scenario import SCENARIOS, Scenario, ScenarioContext

#: Seconds after the start of the load at which the primary is lost.
LOST_AT_S = 5.0

#: Seconds after the start of the load at which it is restored.
RESTORED_AT_S = 11.0


@SCENARIOS.register("primary-loss")
class PrimaryLoss(Scenario):
    """A primary fails and restarts later with its old data."""

    summary = "a group's primary fails and restarts 6 s later"

    async def run_events(self, context: ScenarioContext) -> None:
        """Kill a primary and restart it later."""
        group = context.choose_group()
        primary = await context.find_primary(group)
        await context.wait_until(LOST_AT_S)
        await context.fleet.member_fault(primary, "die")
        context.record_primary_loss(group)
        await context.wait_until(RESTORED_AT_S)
        await context.fleet.member_fault(primary, "restart")


@SCENARIOS.register("cut-primary")
class CutPrimary(Scenario):
    """A primary is cut off from the other data centres.

    It still acts as primary, and the VMs of its own data centre can
    still reach it.
    """

    summary = "a primary is cut off from all other data centres"

    async def run_events(self, context: ScenarioContext) -> None:
        """Cut a primary off from all networks except its own."""
        group = context.choose_group()
        primary = await context.find_primary(group)
        networks = {
            vm.network for vm in context.fleet.layout.vms_by_name.values()
        }
        rules = delay_rules(context.site)
        for network in sorted(networks - {primary.network}):
            rules.append(LinkRule(network, f"{primary.ip}/32", "cut"))
            rules.append(LinkRule(f"{primary.ip}/32", network, "cut"))
        await context.wait_until(LOST_AT_S)
        await context.fleet.set_links(rules)
        context.record_primary_loss(group)
        await context.wait_until(RESTORED_AT_S)
        await context.fleet.set_links(delay_rules(context.site))
