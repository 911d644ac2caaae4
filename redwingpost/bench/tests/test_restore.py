"""A short play of node processes around restores of the store."""

from unittest import IsolatedAsyncioTestCase

from redwingpost.bench.plays import play_seeds
from redwingpost.bench.restore import RestorePlay

_SEED = 7


class RestoreTest(IsolatedAsyncioTestCase):
    async def test_one_seed(self) -> None:
        """Guards against what a restore loses while much else happens."""
        plays: list[RestorePlay] = []
        seeds = range(_SEED, _SEED + 1)
        await play_seeds(
            RestorePlay, seeds, 1, lambda seed, play: plays.append(play)
        )
        self.assertIn("restore", " ".join(plays[0].events))
        self.assertEqual([], plays[0].violations)
        self.assertGreater(plays[0].codes[""], 100)
