"""Scenarios in which VMs fail, pause, stop or are replaced."""

from asyncio import gather

from redwingpost.bench.scenario import SCENARIOS, Scenario, ScenarioContext


@SCENARIOS.register("proxy-death")
class ProxyDeath(Scenario):
    """Two proxies are killed and replaced."""

    summary = "two proxies are killed under load"

    async def run_events(self, context: ScenarioContext) -> None:
        """Kill one proxy, replace it, kill another."""
        first, second = context.random.sample(
            sorted(context.fleet.layout.vms_by_name), 2
        )
        await context.wait_until(4.0)
        await context.fleet.children.end(f"proxy {first}", planned=False)
        await context.wait_until(6.0)
        await context.fleet.start_proxy(first)
        await context.wait_until(9.0)
        await context.fleet.children.end(f"proxy {second}", planned=False)
        await context.wait_until(11.0)
        await context.fleet.start_proxy(second)


@SCENARIOS.register("paused-holder")
class PausedHolder(Scenario):
    """A VM is paused until its leases have expired, then resumed."""

    summary = "a VM's proxy and agent are paused for 5 s, then resumed"

    async def run_events(self, context: ScenarioContext) -> None:
        """Pause both processes of a VM, then resume them."""
        vm = context.random.choice(sorted(context.fleet.layout.vms_by_name))
        children = context.fleet.children
        processes = [children[f"proxy {vm}"]]
        if f"agent {vm}" in children.names():
            processes.append(children[f"agent {vm}"])
        await context.wait_until(4.0)
        for child in processes:
            child.pause()
        await context.wait_until(9.0)
        for child in processes:
            child.resume()


@SCENARIOS.register("rolling-replace")
class RollingReplace(Scenario):
    """Every VM is drained and replaced, one at a time."""

    summary = "all six VMs are replaced under load, one after another"
    load_s = 22.0

    async def run_events(self, context: ScenarioContext) -> None:
        """Stop and start one VM after another."""
        await context.wait_until(1.0)
        for vm in sorted(context.fleet.layout.vms_by_name):
            await context.stop_vm(vm)
            await context.fleet.start_vm(vm)
            await context.fleet.wait_ready(vm)


@SCENARIOS.register("drain")
class Drain(Scenario):
    """Two VMs drain under load."""

    summary = "two VMs drain at once and restart 6 s later"

    async def run_events(self, context: ScenarioContext) -> None:
        """Stop two VMs and start them again later."""
        vms = context.random.sample(
            sorted(context.fleet.layout.vms_by_name), 2
        )
        await context.wait_until(4.0)
        await gather(*(context.stop_vm(vm) for vm in vms))
        await context.wait_until(10.0)
        await gather(*(context.fleet.start_vm(vm) for vm in vms))
