"""Lines of the log about odd values."""

from json import loads
from typing import Any
from unittest import TestCase
from unittest.mock import patch

from redwingpost.observability.journal import MAX_LINE_BYTES, log_event
from redwingpost.observability.unreadable import note_unreadable


class OddLineTest(TestCase):
    """Guards against a line that is no JSON, or joined with the next."""

    def _log(self, kind: str, **fields: Any) -> dict[str, Any]:
        with patch("redwingpost.observability.journal.logger") as logger:
            log_event(kind, **fields)
        (text,) = logger.opt.return_value.info.call_args.args
        self.assertEqual("\n", text[-1])
        self.assertEqual(1, text.count("\n"))
        self.assertLessEqual(len(text.encode()), MAX_LINE_BYTES)
        return loads(text)

    def test_odd_fields(self) -> None:
        cases = (
            ("a long text", "x" * 9000),
            ("many bytes a character", "\u6559" * 3000),
            ("escapes", "\0" * 3000),
            ("quotes", '"' * 3000),
            ("a number of many bits", 2**70),
            ("a number of many digits", 10**4000),
            ("no number", float("nan")),
            ("half a character", "\ud800"),
            ("a long list", ["member"] * 2000),
            ("nested", {"a": {"b": ["x" * 5000]}}),
            ("bytes", b"\xff" * 5000),
            ("an object", object()),
        )
        for number, (name, value) in enumerate(cases):
            with self.subTest(name):
                kind = f"odd-{number}"
                line = self._log(kind, key="k", detail=value, count=3)
                self.assertEqual((kind, "k"), (line["kind"], line["key"]))
                self.assertEqual("3", str(line["count"]))

    def test_an_unreadable_entry(self) -> None:
        with patch("redwingpost.observability.journal.logger") as logger:
            note_unreadable("test-unreadable", "k" * 200, "9" * 9000)
        (text,) = logger.opt.return_value.info.call_args.args
        self.assertEqual("k" * 200, loads(text)["key"])
