"""Sessions and what a pooled connection must be told."""

from unittest import TestCase

from redwingpost.core.positions import Position
from redwingpost.core.statements import Shape, Statement, StatementKind
from redwingpost.statements import (
    Discard,
    LinkContents,
    Prepare,
    SessionState,
    SetValue,
    missing_shape,
    setup_count,
    shared_name,
    steps_to,
)
from redwingpost.statements.session import MAX_NAMES
from redwingpost.statements.setup import MAX_PREPARED

READS = Shape(False, "q1")
WRITES = Shape(True, "q1")


class StepsTest(TestCase):
    def test_a_connection_is_told_just_what_is_missing(self) -> None:
        """A connection keeps what an earlier session left on it.

        One value too many, or another value under the same name, and the
        caller would get rows that it never asked for.
        """
        cases = (
            ("nothing needed", {}, {}, ()),
            ("same values", {"a": "1"}, {"a": "1"}, ()),
            ("new value", {}, {"a": "1"}, (SetValue("a", "1"),)),
            ("other value", {"a": "1"}, {"a": "2"}, None),
            ("left over", {"a": "1"}, {}, (Discard(),)),
        )
        for name, held, wanted, expected in cases:
            with self.subTest(name):
                contents = LinkContents()
                contents.values_by_name.update(held)
                steps = steps_to(contents, wanted)
                if expected is not None:
                    self.assertEqual(expected, steps)
                for step in steps:
                    contents.apply(step)
                self.assertEqual(wanted, contents.values_by_name)
                self.assertEqual((), steps_to(contents, wanted))

    def test_a_shape_is_prepared_once(self) -> None:
        contents = LinkContents()
        prepare = Prepare(shared_name(READS), READS)
        self.assertEqual(prepare, missing_shape(contents, READS))
        contents.apply(prepare)
        self.assertIsNone(missing_shape(contents, READS))
        self.assertIsNone(missing_shape(contents, None))
        self.assertIsNotNone(missing_shape(contents, WRITES))

    def test_a_reset_brings_prepared_statements_back(self) -> None:
        contents = LinkContents()
        contents.apply(SetValue("a", "1"))
        contents.apply(Prepare(shared_name(READS), READS))
        steps = steps_to(contents, {})
        self.assertEqual((Discard(),), steps)
        contents.apply(steps[0])
        self.assertIsNotNone(missing_shape(contents, READS))

    def test_what_a_connection_lacks_is_counted(self) -> None:
        held = LinkContents()
        held.apply(SetValue("a", "1"))
        held.apply(Prepare(shared_name(READS), READS))
        cases = (
            ("nothing", {"a": "1"}, READS, 0),
            ("a value", {"a": "1", "b": "2"}, READS, 1),
            ("a shape", {"a": "1"}, WRITES, 1),
            ("a reset", {}, None, 1),
        )
        for name, wanted, shape, expected in cases:
            with self.subTest(name):
                self.assertEqual(expected, setup_count(held, wanted, shape))

    def test_names_differ_where_what_runs_differs(self) -> None:
        names = {
            shared_name(shape) for shape in (READS, WRITES, Shape(False, "q2"))
        }
        self.assertEqual(3, len(names))

    def test_prepared_statements_are_bounded(self) -> None:
        contents = LinkContents()
        for number in range(MAX_PREPARED + 1):
            contents.prepared.add(f"p{number}")
        self.assertIn(Discard(), steps_to(contents, {}))


class SessionStateTest(TestCase):
    def test_what_writes(self) -> None:
        state = SessionState()
        state.prepare("r", READS)
        state.prepare("w", WRITES)
        cases = (
            (StatementKind.READ, "", False),
            (StatementKind.WRITE, "", True),
            (StatementKind.EXECUTE, "r", False),
            (StatementKind.EXECUTE, "w", True),
            (StatementKind.EXECUTE, "unknown", None),
        )
        for kind, name, expected in cases:
            with self.subTest(kind=kind, name=name):
                statement = Statement("1", kind, "text", name)
                self.assertEqual(expected, state.writes(statement))

    def test_names_are_bounded(self) -> None:
        state = SessionState()
        kept = [state.set_value(f"v{n}", "1") for n in range(MAX_NAMES + 1)]
        self.assertTrue(all(kept[:-1]))
        self.assertFalse(kept[-1])
        self.assertTrue(state.set_value("v0", "2"))

    def test_a_commit_never_moves_back(self) -> None:
        state = SessionState()
        for position in (Position(2, 5), Position(1, 9), None):
            state.note_commit(position)
        self.assertEqual(Position(2, 5), state.written)
