"""Scenarios in which operators change the configuration under load."""

from asyncio import gather
from copy import deepcopy
from typing import Any

from redwingpost.bench.callers import Credential
from redwingpost.bench.oracle import Violation
from redwingpost.bench.probes import is_accepted, wait_in_force
from redwingpost.bench.scenario import CALM_SHARE, SCENARIOS, Scenario, Stage
from redwingpost.bench.schedule import FORMER, Stream, site_streams
from redwingpost.bench.sites import Site
from redwingpost.configuration.keys import hash_key
from redwingpost.core import Code

#: Requests per second under the key that is withdrawn.
_FORMER_RATE = 60.0

#: Place of the organisation whose key is withdrawn.
_ROTATING = 3

_PROMISE = "configuration"


def _with_key(
    configuration: dict[str, Any], credential: Credential
) -> dict[str, Any]:
    """Return a configuration that grants one more key."""
    changed = deepcopy(configuration)
    organisation = changed["organisations"][credential.organisation]
    organisation["keys"].append(
        {"name": credential.name, "hash": hash_key(credential.key)}
    )
    return changed


def _new_key(stage: Stage, place: int, name: str) -> Credential:
    organisation = stage.site.organisations[place].name
    return Credential(organisation, name, f"{name}-key-{organisation}")


async def _wait(stage: Stage, credential: Credential, since: float) -> None:
    """Measure how long a new key takes to work at every proxy."""
    proxies = [vm.proxy for vm in stage.fleet.layout.vms_by_name.values()]
    group = stage.site.groups[0]
    in_force_at = await wait_in_force(proxies, credential, group)
    if in_force_at is None:
        detail = f"key {credential.name} is not in force everywhere"
        stage.violations.append(Violation(_PROMISE, detail))
        return
    took_s = round(in_force_at - since, 3)
    stage.config_in_force_s = max(stage.config_in_force_s or 0.0, took_s)


async def _check_kept(stage: Stage, credentials: list[Credential]) -> None:
    """Check at the end that no proxy went back to an older version."""
    group = stage.site.groups[0]
    for vm in stage.fleet.layout.vms_by_name.values():
        for credential in credentials:
            if not await is_accepted(vm.proxy, credential, group):
                detail = f"{vm.name} forgot key {credential.name}"
                stage.violations.append(Violation(_PROMISE, detail))


@SCENARIOS.register("config-conflict")
class ConfigConflict(Scenario):
    """Two operators submit different changes of the same version."""

    summary = "two operators submit at once; the loser rebases"

    async def disturb(self, stage: Stage) -> None:
        """Submit twice from one base, then the loser's change again."""
        keys = [_new_key(stage, 0, "by-ana"), _new_key(stage, 1, "by-bo")]
        operators = [stage.operator("ana"), stage.operator("bo")]
        base = stage.fleet.configuration
        await stage.until(4.0)
        submissions = await gather(
            *(
                operator.submit(_with_key(base, key), base=1)
                for operator, key in zip(operators, keys)
            )
        )
        winners = [place for place in (0, 1) if submissions[place].accepted]
        if len(winners) != 1:
            detail = f"{len(winners)} of two conflicting changes accepted"
            stage.violations.append(Violation(_PROMISE, detail))
            return
        winner, loser = winners[0], 1 - winners[0]
        code = submissions[loser].result.error.code
        if code is not Code.CONFIG_CONFLICT:
            detail = f"the loser was told {code.name}"
            stage.violations.append(Violation(_PROMISE, detail))
        await _wait(stage, keys[winner], submissions[winner].at)
        both = _with_key(_with_key(base, keys[winner]), keys[loser])
        again = await operators[loser].submit(both, base=2)
        await _wait(stage, keys[loser], again.at)
        await stage.until(self.load_s)
        await _check_kept(stage, keys)


@SCENARIOS.register("lost-store-answer")
class LostStoreAnswer(Scenario):
    """The store applies writes and loses their answers."""

    summary = "the store loses answers: of a change, and in a failover"

    async def disturb(self, stage: Stage) -> None:
        """Lose a change's answer, then those around a primary's death."""
        key = _new_key(stage, 0, "by-ana")
        operator = stage.operator("ana")
        group = stage.choose_group()
        primary = await stage.find_primary(group)
        await stage.until(3.0)
        await stage.fleet.platform_fault("lose-answer", count=3)
        changed = _with_key(stage.fleet.configuration, key)
        submission = await operator.submit(changed, base=1)
        if submission.accepted:
            await _wait(stage, key, submission.at)
        else:
            code = submission.result.error.code
            detail = f"after lost answers the operator was told {code.name}"
            stage.violations.append(Violation(_PROMISE, detail))
        await stage.until(8.0)
        await stage.fleet.platform_fault("lose-answer", count=20)
        await stage.fleet.member_fault(primary, "die")
        stage.lost_primary(group)
        await stage.until(12.0)
        await stage.fleet.platform_fault("lose-answer", count=0)
        await stage.fleet.member_fault(primary, "restart")
        await stage.until(self.load_s)
        await _check_kept(stage, [key])


@SCENARIOS.register("key-withdrawal")
class KeyWithdrawal(Scenario):
    """A key is withdrawn while its callers are connected."""

    summary = "a key is withdrawn under load; the store goes away after"

    def streams(self, site: Site) -> tuple[Stream, ...]:
        """Return the calm site with callers under a second key."""
        rotating = site.organisations[_ROTATING]
        calm = site_streams(site, CALM_SHARE, self.load_s)
        former = calm[_ROTATING]._replace(
            rate=min(_FORMER_RATE, 0.4 * rotating.rate), credential=FORMER
        )
        return (*calm, former)

    async def disturb(self, stage: Stage) -> None:
        """Withdraw the key and take the store away."""
        organisation = stage.site.organisations[_ROTATING].name
        name = (organisation, FORMER)
        credential = stage.fleet.layout.credentials_by_name[name]
        operator = stage.operator("ana")
        await stage.until(5.0)
        submission = await operator.withdraw(credential)
        if not submission.accepted:
            detail = f"withdrawal: {submission.result.error.describe()}"
            stage.violations.append(Violation("withdrawn-keys", detail))
            return
        stage.withdrawn_at[name] = submission.at
        await stage.until(8.0)
        await stage.fleet.platform_fault("outage", kind="refuse")
        await stage.until(self.load_s)
        await stage.fleet.platform_fault("recover")
