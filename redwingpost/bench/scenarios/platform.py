"""Scenarios in which the platform or a data centre is unreachable."""

from redwingpost.bench.layout import PLATFORM_IP, cut_rules, delay_rules
from redwingpost.bench.scenario import SCENARIOS, Scenario, Stage


@SCENARIOS.register("store-outage")
class StoreOutage(Scenario):
    """The table service is away, and a primary dies meanwhile."""

    summary = "the store is away for 15 s; a primary dies in the middle"
    load_s = 18.0

    async def disturb(self, stage: Stage) -> None:
        """Take the store away, kill a primary, bring both back."""
        group = stage.choose_group()
        primary = await stage.find_primary(group)
        await stage.until(1.5)
        await stage.fleet.platform_fault("outage", kind="hang")
        await stage.until(8.0)
        await stage.fleet.member_fault(primary, "die")
        stage.lost_primary(group)
        await stage.until(13.0)
        await stage.fleet.member_fault(primary, "restart")
        await stage.until(16.5)
        await stage.fleet.platform_fault("recover")


@SCENARIOS.register("split-data-centre")
class SplitDataCentre(Scenario):
    """One data centre is cut off from the others and the platform."""

    summary = "a data centre without a primary is cut off for 7 s"

    async def disturb(self, stage: Stage) -> None:
        """Cut the last data centre off, then heal the cut."""
        vms = stage.fleet.layout.vms_by_name.values()
        networks = sorted({vm.network for vm in vms})
        lost = networks.pop()
        rules = delay_rules(stage.site)
        rules += cut_rules(lost, [*networks, f"{PLATFORM_IP}/32"])
        await stage.until(4.0)
        await stage.fleet.set_links(rules)
        await stage.until(11.0)
        await stage.fleet.set_links(delay_rules(stage.site))
