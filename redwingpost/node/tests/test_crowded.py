"""More organisations than a member has connections, with real processes."""

from asyncio import gather
from collections import Counter
from unittest import IsolatedAsyncioTestCase

from redwingpost.node.tests.line_site import NodeSite, configuration, until

_ORGANISATIONS = 12
_CALLERS_EACH = 4
_STATEMENTS = 6

#: Codes of statements that members may have run.
_UNKNOWN = ("timed-out", "outcome-unknown", "commit-unknown")


def _crowded(version: int) -> dict:
    """Return a configuration with three connections a VM and member."""
    value = configuration(version)
    value["services"][0]["maxConns"] = 10
    value["tenants"] = [
        {
            "name": f"org-{number}",
            "apiKeys": [f"key-{number}"],
            "ratePerS": 5000,
            "burst": 5000,
        }
        for number in range(_ORGANISATIONS)
    ]
    return value


class CrowdedTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.site = NodeSite()
        self.addAsyncCleanup(self.site.stop)
        await self.site.start(nodes=2)
        self.site.standins.configure(_crowded(2))
        for node in self.site.nodes:

            async def follows(node=node) -> bool:
                page = await node.metrics()
                return "redwing_configuration_version 2.0" in page

            await until(follows, "the configuration in force")

    async def test_each_organisation_is_served(self) -> None:
        """Guards against lost tickets, and against refusals that aren't true.

        48 callers share three connections a member at each VM. Only
        statements that were sent have an unknown outcome, and in the end
        nothing holds a slot.
        """
        codes_by_organisation = {
            number: Counter() for number in range(_ORGANISATIONS)
        }

        async def call(number: int, turn: int) -> None:
            node = self.site.nodes[turn % 2]
            caller = await node.caller("own", f"key-{number}")
            codes = codes_by_organisation[number]
            for statement in range(_STATEMENTS):
                texts = (f"WRITE k{number} {statement}", f"READ k{number}")
                if statement % 5 == 0:
                    texts = ("BEGIN", *texts, "COMMIT")
                for text in texts:
                    told = await caller.run(text)
                    codes[told.code] += 1
                    if told.code and told.state != "I":
                        await caller.run("ROLLBACK")
                        break
            caller.close()

        await gather(
            *(
                call(number, turn)
                for number in range(_ORGANISATIONS)
                for turn in range(_CALLERS_EACH)
            )
        )
        for number, codes in codes_by_organisation.items():
            with self.subTest(organisation=number):
                self.assertGreater(codes[""], 0, codes)
        for node in self.site.nodes:
            for line in node.log_lines():
                if line.get("code") in _UNKNOWN:
                    self.assertGreater(line["tries"], 0, line)
            page = await node.metrics()
            for metric in ("running", "waiting"):
                values = {
                    line.split()[1]
                    for line in page.splitlines()
                    if line.startswith(f"redwing_admission_{metric}{{")
                }
                self.assertEqual({"0.0"}, values)
