"""A short play of node processes around takeovers."""

from pathlib import Path
from tempfile import mkdtemp
from unittest import IsolatedAsyncioTestCase

from redwingpost.bench.plays import play_seeds
from redwingpost.bench.takeovers import TakeoverPlay

_SEED = 7

#: Seconds of load and faults: the test suite is short.
_PLAY_S = 6.0


class TakeoversTest(IsolatedAsyncioTestCase):
    async def test_one_seed(self) -> None:
        """Guards against commits lost while takeovers overlap."""
        plays: list[TakeoverPlay] = []

        def make(seed: int) -> TakeoverPlay:
            folder = Path(mkdtemp(prefix="redwing-takeovers-"))
            return TakeoverPlay(seed, None, folder, _PLAY_S)

        seeds = range(_SEED, _SEED + 1)
        await play_seeds(make, seeds, 1, lambda _, play: plays.append(play))
        self.assertEqual([], plays[0].violations)
        self.assertTrue(plays[0].site.standins.orders)
        self.assertGreater(plays[0].codes[""], 100)
