"""Scenarios in which operators change the configuration under load."""

from asyncio import gather
from copy import deepcopy
from typing import Any

from redwingpost.bench.callers import Credential
from redwingpost.bench.oracle import Violation
from redwingpost.bench.probes import is_accepted, wait_in_force
from redwingpost.bench.scenario import (
    NORMAL_LOAD_SHARE,
    SCENARIOS,
    Scenario,
    ScenarioContext,
)
from redwingpost.bench.schedule import FORMER_KEY, Stream, site_streams
from redwingpost.bench.sites import Site
from redwingpost.configuration.keys import hash_key
from redwingpost.core import Code

#: Maximum requests per second that use the key that is withdrawn.
_FORMER_KEY_RATE_PER_S = 60.0

#: Index of the organisation whose key is withdrawn.
_ROTATING_INDEX = 3

_PROMISE = "configuration"


def _with_key(
    configuration: dict[str, Any], credential: Credential
) -> dict[str, Any]:
    """Return the configuration with one more key."""
    changed = deepcopy(configuration)
    organisation = changed["organisations"][credential.organisation]
    organisation["keys"].append(
        {"name": credential.name, "hash": hash_key(credential.key)}
    )
    return changed


def _new_key(context: ScenarioContext, index: int, name: str) -> Credential:
    organisation = context.site.organisations[index].name
    return Credential(organisation, name, f"{name}-key-{organisation}")


async def _record_time_in_force(
    context: ScenarioContext, credential: Credential, since: float
) -> None:
    """Record how long a new key takes to be in force at every proxy."""
    proxies = [vm.proxy for vm in context.fleet.layout.vms_by_name.values()]
    group = context.site.groups[0]
    in_force_at = await wait_in_force(proxies, credential, group)
    if in_force_at is None:
        detail = f"key {credential.name} is not in force everywhere"
        context.violations.append(Violation(_PROMISE, detail))
        return
    took_s = round(in_force_at - since, 3)
    context.config_in_force_s = max(context.config_in_force_s or 0.0, took_s)


async def _check_still_accepted(
    context: ScenarioContext, credentials: list[Credential]
) -> None:
    """Check that no proxy went back to an older configuration."""
    group = context.site.groups[0]
    for vm in context.fleet.layout.vms_by_name.values():
        for credential in credentials:
            if not await is_accepted(vm.proxy, credential, group):
                detail = f"{vm.name} no longer accepts key {credential.name}"
                context.violations.append(Violation(_PROMISE, detail))


@SCENARIOS.register("config-conflict")
class ConfigConflict(Scenario):
    """Two operators submit conflicting changes of the same version."""

    summary = "two operators submit at once; the refused one rebases"

    async def run_events(self, context: ScenarioContext) -> None:
        """Submit two changes of one version, then resubmit the refused one."""
        keys = [_new_key(context, 0, "by-ana"), _new_key(context, 1, "by-bo")]
        operators = [context.operator("ana"), context.operator("bo")]
        base = context.fleet.configuration
        await context.wait_until(4.0)
        submissions = await gather(
            *(
                operator.submit(_with_key(base, key), base=1)
                for operator, key in zip(operators, keys)
            )
        )
        winners = [index for index in (0, 1) if submissions[index].accepted]
        if len(winners) != 1:
            detail = f"{len(winners)} of two conflicting changes accepted"
            context.violations.append(Violation(_PROMISE, detail))
            return
        winner, loser = winners[0], 1 - winners[0]
        code = submissions[loser].result.error.code
        if code is not Code.CONFIG_CONFLICT:
            detail = f"the conflicting change was refused with {code.name}"
            context.violations.append(Violation(_PROMISE, detail))
        await _record_time_in_force(
            context, keys[winner], submissions[winner].at
        )
        both = _with_key(_with_key(base, keys[winner]), keys[loser])
        again = await operators[loser].submit(both, base=2)
        await _record_time_in_force(context, keys[loser], again.at)
        await context.wait_until(self.load_s)
        await _check_still_accepted(context, keys)


@SCENARIOS.register("lost-store-answer")
class LostStoreAnswer(Scenario):
    """The store applies writes but its answers are lost."""

    summary = "the store loses answers to a change and during a failover"

    async def run_events(self, context: ScenarioContext) -> None:
        """Lose the answers to a change, then those during a failover."""
        key = _new_key(context, 0, "by-ana")
        operator = context.operator("ana")
        group = context.choose_group()
        primary = await context.find_primary(group)
        await context.wait_until(3.0)
        await context.fleet.platform_fault("lose-answer", count=3)
        changed = _with_key(context.fleet.configuration, key)
        submission = await operator.submit(changed, base=1)
        if submission.accepted:
            await _record_time_in_force(context, key, submission.at)
        else:
            code = submission.result.error.code
            detail = (
                f"after lost answers the change was refused with {code.name}"
            )
            context.violations.append(Violation(_PROMISE, detail))
        await context.wait_until(8.0)
        await context.fleet.platform_fault("lose-answer", count=20)
        await context.fleet.member_fault(primary, "die")
        context.record_primary_loss(group)
        await context.wait_until(12.0)
        await context.fleet.platform_fault("lose-answer", count=0)
        await context.fleet.member_fault(primary, "restart")
        await context.wait_until(self.load_s)
        await _check_still_accepted(context, [key])


@SCENARIOS.register("key-withdrawal")
class KeyWithdrawal(Scenario):
    """A key is withdrawn while its callers are connected."""

    summary = "a key is withdrawn under load; then the store is unavailable"

    def streams(self, site: Site) -> tuple[Stream, ...]:
        """Return normal load plus callers that use a second key."""
        rotating = site.organisations[_ROTATING_INDEX]
        base_streams = site_streams(site, NORMAL_LOAD_SHARE, self.load_s)
        former = base_streams[_ROTATING_INDEX]._replace(
            rate=min(_FORMER_KEY_RATE_PER_S, 0.4 * rotating.rate),
            credential=FORMER_KEY,
        )
        return (*base_streams, former)

    async def run_events(self, context: ScenarioContext) -> None:
        """Withdraw the key, then make the store unavailable."""
        organisation = context.site.organisations[_ROTATING_INDEX].name
        name = (organisation, FORMER_KEY)
        credential = context.fleet.layout.credentials_by_name[name]
        operator = context.operator("ana")
        await context.wait_until(5.0)
        submission = await operator.withdraw(credential)
        if not submission.accepted:
            detail = (
                f"withdrawal refused: {submission.result.error.describe()}"
            )
            context.violations.append(Violation("withdrawn-keys", detail))
            return
        context.withdrawn_at[name] = submission.at
        await context.wait_until(8.0)
        await context.fleet.platform_fault("outage", kind="refuse")
        await context.wait_until(self.load_s)
        await context.fleet.platform_fault("recover")
