"""Fuzz tests: any settings file is read or refused, never a crash."""

from pathlib import Path
from unittest import TestCase

from hypothesis import given
from hypothesis.strategies import dictionaries, sampled_from, text

from redwingpost.core import Code
from redwingpost.core.tests.fuzzing import JSON_VALUES, fuzz
from redwingpost.settings.load import RECORDS_BY_TABLE, parse_settings

TABLES = sampled_from((*RECORDS_BY_TABLE, "vn", "proxi"))
KEYS = sampled_from(
    sorted({key for form in RECORDS_BY_TABLE.values() for key in form._fields})
)
LITERALS = sampled_from(
    ("1", "-1", "70000", "true", '"x"', '""', "[]", "[1]", "{}", "1.5", "nan")
    + ('"127.1.1.1"', '["0123456789abcdef"]', '"http://127.0.0.1:1"')
)


class FuzzSettingsTest(TestCase):
    def check(self, body):
        read = parse_settings(body, Path("vm.toml"))
        if read.is_error():
            self.assertEqual(read.error.code, Code.SETTINGS_INVALID)
            self.assertIn("vm.toml", read.error.detail)

    @fuzz(750)
    @given(text(max_size=120))
    def test_any_text(self, body):
        self.check(body)

    @fuzz(750)
    @given(dictionaries(TABLES, dictionaries(KEYS, LITERALS, max_size=5)))
    def test_likely_tables(self, tables):
        lines = []
        for table, entries in tables.items():
            lines.append(f"[{table}]")
            lines.extend(f"{key} = {value}" for key, value in entries.items())
        self.check("\n".join(lines))

    @fuzz(250)
    @given(TABLES, JSON_VALUES)
    def test_tables_of_other_types(self, table, value):
        self.check(f"{table} = {value!r}")
