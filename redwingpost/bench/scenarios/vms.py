"""Scenarios in which VMs die, pause, stop or are replaced."""

from asyncio import gather

from redwingpost.bench.scenario import SCENARIOS, Scenario, Stage


@SCENARIOS.register("proxy-death")
class ProxyDeath(Scenario):
    """Two proxies die without warning and are replaced."""

    summary = "two proxies are killed in the middle of their work"

    async def disturb(self, stage: Stage) -> None:
        """Kill one proxy, replace it, kill another."""
        first, second = stage.random.sample(
            sorted(stage.fleet.layout.vms_by_name), 2
        )
        await stage.until(4.0)
        await stage.fleet.children.end(f"proxy {first}", planned=False)
        await stage.until(6.0)
        await stage.fleet.start_proxy(first)
        await stage.until(9.0)
        await stage.fleet.children.end(f"proxy {second}", planned=False)
        await stage.until(11.0)
        await stage.fleet.start_proxy(second)


@SCENARIOS.register("paused-holder")
class PausedHolder(Scenario):
    """A VM sleeps past its leases and wakes unaware."""

    summary = "a VM's proxy and agent are paused for 5 s, then wake"

    async def disturb(self, stage: Stage) -> None:
        """Stop both processes of a VM where they stand, then go on."""
        vm = stage.random.choice(sorted(stage.fleet.layout.vms_by_name))
        children = stage.fleet.children
        held = [children[f"proxy {vm}"]]
        if f"agent {vm}" in children.names():
            held.append(children[f"agent {vm}"])
        await stage.until(4.0)
        for child in held:
            child.pause()
        await stage.until(9.0)
        for child in held:
            child.resume()


@SCENARIOS.register("rolling-replace")
class RollingReplace(Scenario):
    """Every VM is stopped as planned and replaced, one at a time."""

    summary = "all six VMs are replaced under load, one after another"
    load_s = 22.0

    async def disturb(self, stage: Stage) -> None:
        """Stop and start VM after VM."""
        await stage.until(1.0)
        for vm in sorted(stage.fleet.layout.vms_by_name):
            await stage.stop_vm(vm)
            await stage.fleet.start_vm(vm)
            await stage.fleet.wait_ready(vm)


@SCENARIOS.register("drain")
class Drain(Scenario):
    """Two VMs stop as planned while their callers are at work."""

    summary = "two VMs drain at once and stay away for a while"

    async def disturb(self, stage: Stage) -> None:
        """Stop two VMs, later start them anew."""
        vms = stage.random.sample(sorted(stage.fleet.layout.vms_by_name), 2)
        await stage.until(4.0)
        await gather(*(stage.stop_vm(vm) for vm in vms))
        await stage.until(10.0)
        await gather(*(stage.fleet.start_vm(vm) for vm in vms))
