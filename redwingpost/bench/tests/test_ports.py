"""Ports that no outgoing connection can take before a program listens."""

from socket import socket
from unittest import TestCase

from redwingpost.bench.ports import (
    FIRST_PORT,
    LAST_PORT,
    find_free_port,
    find_first_free,
)

_IP = "127.0.0.1"


class PortsTest(TestCase):
    def test_ports_are_outside_the_ephemeral_range(self) -> None:
        """Chosen ports are outside the system's ephemeral range.

        An outgoing connection that another process opens before the program
        listens could take a port of that range; the program would then fail
        to start.
        """
        range_file = "/proc/sys/net/ipv4/ip_local_port_range"
        with open(range_file, encoding="ascii") as file:
            first_ephemeral = int(file.read().split()[0])
        found = [find_free_port(_IP) for _ in range(20)]
        self.assertEqual(20, len(set(found)))
        for port in found:
            self.assertGreaterEqual(port, FIRST_PORT)
            self.assertLess(port, min(LAST_PORT, first_ephemeral))

    def test_port_in_use_is_skipped(self) -> None:
        with socket() as taken:
            taken.bind((_IP, 0))
            port = taken.getsockname()[1]
            free = find_free_port(_IP)
            self.assertEqual(free, find_first_free(_IP, [port, free]))
            with self.assertRaises(OSError):
                find_first_free(_IP, [port])
