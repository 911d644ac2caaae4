"""Scenarios in which a group loses its primary, or seems to."""

from redwingpost.bench.layout import delay_rules
from redwingpost.bench.orders import LinkRule
from redwingpost.bench.scenario import SCENARIOS, Scenario, Stage

#: Seconds of load before the loss.
LOST_AT_S = 5.0

#: Seconds of load at which what was lost comes back.
BACK_AT_S = 11.0


@SCENARIOS.register("primary-loss")
class PrimaryLoss(Scenario):
    """A primary dies and comes back later with its old data."""

    summary = "a group's primary dies, and comes back 6 s later"

    async def disturb(self, stage: Stage) -> None:
        """Kill a primary, later restart it."""
        group = stage.choose_group()
        primary = await stage.find_primary(group)
        await stage.until(LOST_AT_S)
        await stage.fleet.member_fault(primary, "die")
        stage.lost_primary(group)
        await stage.until(BACK_AT_S)
        await stage.fleet.member_fault(primary, "restart")


@SCENARIOS.register("cut-primary")
class CutPrimary(Scenario):
    """A primary is cut off from the other data centres.

    It still believes that it leads, and the VMs of its own data centre
    still reach it.
    """

    summary = "a primary is cut off from all other data centres"

    async def disturb(self, stage: Stage) -> None:
        """Cut one member off from the networks that aren't its own."""
        group = stage.choose_group()
        primary = await stage.find_primary(group)
        networks = {
            vm.network for vm in stage.fleet.layout.vms_by_name.values()
        }
        rules = delay_rules(stage.site)
        for network in sorted(networks - {primary.network}):
            rules.append(LinkRule(network, f"{primary.ip}/32", "cut"))
            rules.append(LinkRule(f"{primary.ip}/32", network, "cut"))
        await stage.until(LOST_AT_S)
        await stage.fleet.set_links(rules)
        stage.lost_primary(group)
        await stage.until(BACK_AT_S)
        await stage.fleet.set_links(delay_rules(stage.site))
