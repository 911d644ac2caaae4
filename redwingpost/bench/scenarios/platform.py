"""Scenarios in which the platform or a data centre is unreachable."""

from redwingpost.bench.layout import PLATFORM_IP, cut_rules, delay_rules
from redwingpost.bench.scenario import SCENARIOS, Scenario, ScenarioContext


@SCENARIOS.register("store-outage")
class StoreOutage(Scenario):
    """A primary fails while the table service is unavailable."""

    summary = "the store is unavailable for 15 s; a primary fails meanwhile"
    load_s = 18.0

    async def run_events(self, context: ScenarioContext) -> None:
        """Stop the store, kill a primary, then restore both."""
        group = context.choose_group()
        primary = await context.find_primary(group)
        await context.wait_until(1.5)
        await context.fleet.platform_fault("outage", kind="hang")
        await context.wait_until(8.0)
        await context.fleet.member_fault(primary, "die")
        context.record_primary_loss(group)
        await context.wait_until(13.0)
        await context.fleet.member_fault(primary, "restart")
        await context.wait_until(16.5)
        await context.fleet.platform_fault("recover")


@SCENARIOS.register("split-data-centre")
class SplitDataCentre(Scenario):
    """One data centre is cut off from the others and the platform."""

    summary = "a data centre without a primary is cut off for 7 s"

    async def run_events(self, context: ScenarioContext) -> None:
        """Cut the last data centre off, then restore its links."""
        vms = context.fleet.layout.vms_by_name.values()
        networks = sorted({vm.network for vm in vms})
        lost = networks.pop()
        rules = delay_rules(context.site)
        rules += cut_rules(lost, [*networks, f"{PLATFORM_IP}/32"])
        await context.wait_until(4.0)
        await context.fleet.set_links(rules)
        await context.wait_until(11.0)
        await context.fleet.set_links(delay_rules(context.site))
