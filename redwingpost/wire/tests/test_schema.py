"""Tests of the wire schema."""

from unittest import TestCase

from redwingpost.wire.schema import SCHEMA


class SchemaTest(TestCase):
    def test_round_trip(self):
        beat = SCHEMA.Beat.new_message(vm="vm-1", sequence=7)
        with SCHEMA.Beat.from_bytes(beat.to_bytes()) as read:
            self.assertEqual(read.vm, "vm-1")
            self.assertEqual(read.sequence, 7)

    def test_interfaces(self):
        for name in ("Node", "Fleet", "Watch", "Local", "Lending"):
            with self.subTest(name=name):
                self.assertTrue(hasattr(SCHEMA, name))
