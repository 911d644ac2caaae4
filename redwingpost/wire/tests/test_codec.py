"""Tests of the conversion of records to and from RPC structs."""

from unittest import TestCase

from redwingpost.configuration.model import Versioned, hash_body
from redwingpost.configuration.parse import MAX_BODY_BYTES
from redwingpost.wire.schema import SCHEMA
from redwingpost.wire.codec import decode_version, encode_version


def to_reader(struct):
    """Return a configuration's struct as the receiver reads it."""
    return SCHEMA.Configuration.new_message(**struct)


class VersionTest(TestCase):
    def test_round_trip(self):
        for body in (b"", b"{}", b"x" * 100_000):
            version = Versioned(7, hash_body(body), body)
            with self.subTest(size=len(body)):
                read = decode_version(to_reader(encode_version(version)))
                self.assertEqual(read, version)

    def test_bodies_that_are_broken_or_too_large(self):
        # A faulty peer sends half a body, or one that would fill the
        # memory when inflated. Neither may be accepted or stop the
        # process.
        body = b"0" * (MAX_BODY_BYTES + 1)
        large = encode_version(Versioned(7, hash_body(body), body))
        whole = encode_version(Versioned(7, "", b"some body"))
        for data in (large["body"], whole["body"][:-6], b"no", b""):
            with self.subTest(size=len(data)):
                read = decode_version(to_reader({**large, "body": data}))
                self.assertFalse(read.is_intact())
                self.assertLessEqual(len(read.body), MAX_BODY_BYTES)
