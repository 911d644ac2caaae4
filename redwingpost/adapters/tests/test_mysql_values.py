"""Tests of the conversion of a member's text values for a driver."""

from unittest import TestCase

from mysql_mimic.types import ColumnType

from redwingpost.adapters.mysql_values import make_column
from redwingpost.ports import ColumnInfo


def _encode(column_type, value):
    column = make_column(ColumnInfo("c", column_type, 45))
    return column.binary_encode(value)


class BinaryEncodingTest(TestCase):
    def test_table(self):
        table = [
            (ColumnType.LONGLONG, "-1", b"\xff" * 8),
            (ColumnType.LONGLONG, str(2**63 - 1), b"\xff" * 7 + b"\x7f"),
            (ColumnType.LONGLONG, str(2**64 - 1), b"\xff" * 8),
            (ColumnType.NEWDECIMAL, "12.50", b"\x0512.50"),
            (ColumnType.BLOB, b"\x00\xff", b"\x02\x00\xff"),
            (ColumnType.DATE, "2026-12-02", b"\x04\xea\x07\x0c\x02"),
            (
                ColumnType.DATETIME,
                "2026-12-02 03:04:05",
                b"\x07\xea\x07\x0c\x02\x03\x04\x05",
            ),
            (
                ColumnType.TIME,
                "-01:00:00",
                b"\x08\x01\x00\x00\x00\x00\x01\x00\x00",
            ),
        ]
        for column_type, value, expected in table:
            with self.subTest(column_type=column_type, value=value):
                self.assertEqual(_encode(column_type, value), expected)
