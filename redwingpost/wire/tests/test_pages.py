"""Tests of the page bodies that VMs read from each other."""

from unittest import TestCase

from msgspec.json import encode

from redwingpost.wire.pages import PageError, pack_page, unpack_page

#: The slowest link, and the number of VMs to which one VM sends a page.
_LINK_MBPS = 5.0
_RECEIVERS = 20

#: Seconds for the transfer: the time within which a configuration must be
#: in force, less the time that the store, the heartbeats and the receivers
#: need.
_TRANSFER_LIMIT_S = 2.0


def _configuration(routes: int) -> dict:
    return {
        "version": 13,
        "routes": [
            {
                "database": f"lozi{n}x{n % 7}",
                "group": f"dati{n % 4}b",
                "consistency": "bounded-staleness",
                "max_staleness_ms": 1500,
                "timeout_ms": 2000 + n,
                "target_latency_ms": 400,
                "priority": n % 3,
                "is_public": False,
            }
            for n in range(routes)
        ],
    }


class PagesTest(TestCase):
    def test_a_large_configuration_fits_a_slow_link(self) -> None:
        """A configuration takes too long to reach the other VMs."""
        value = _configuration(2000)
        body = pack_page(value)
        seconds = len(body) * 8 * _RECEIVERS / (_LINK_MBPS * 1e6)
        self.assertLess(seconds, _TRANSFER_LIMIT_S)
        self.assertEqual(value, unpack_page(body))

    def test_a_body_that_cannot_be_read(self) -> None:
        body = pack_page(_configuration(9))
        cases = (
            ("cut short", body[:-5]),
            ("plain", encode({"a": 1})),
            ("empty", b""),
        )
        for name, broken in cases:
            with self.subTest(name):
                with self.assertRaises(PageError):
                    unpack_page(broken)
