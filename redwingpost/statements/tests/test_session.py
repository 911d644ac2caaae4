"""Tests of session state and of connection set-up."""

from unittest import TestCase

from redwingpost.core.positions import ZERO_POSITION, Position
from redwingpost.core.statements import Shape, Statement, StatementKind
from redwingpost.statements import (
    Discard,
    LinkContents,
    Prepare,
    SessionState,
    SetValue,
    count_setup_steps,
    prepare_step,
    prepared_name,
    setup_steps,
)
from redwingpost.statements.session import MAX_BYTES, MAX_NAMES
from redwingpost.statements.setup import MAX_PREPARED

READS = Shape(False, "q1")
WRITES = Shape(True, "q1")


class StepsTest(TestCase):
    def test_only_missing_values_are_set(self) -> None:
        """A connection keeps the values that an earlier session set.

        With an additional value, or a different one under the same name,
        the caller would get wrong rows.
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
                steps = setup_steps(contents, wanted)
                if expected is not None:
                    self.assertEqual(expected, steps)
                for step in steps:
                    contents.apply(step)
                self.assertEqual(wanted, contents.values_by_name)
                self.assertEqual((), setup_steps(contents, wanted))

    def test_a_shape_is_prepared_once(self) -> None:
        contents = LinkContents()
        prepare = Prepare(prepared_name(READS), READS)
        self.assertEqual(prepare, prepare_step(contents, READS))
        contents.apply(prepare)
        self.assertIsNone(prepare_step(contents, READS))
        self.assertIsNone(prepare_step(contents, None))
        self.assertIsNotNone(prepare_step(contents, WRITES))

    def test_statements_are_prepared_again_after_a_reset(self) -> None:
        contents = LinkContents()
        contents.apply(SetValue("a", "1"))
        contents.apply(Prepare(prepared_name(READS), READS))
        steps = setup_steps(contents, {})
        self.assertEqual((Discard(),), steps)
        contents.apply(steps[0])
        self.assertIsNotNone(prepare_step(contents, READS))

    def test_count_of_missing_setup_steps(self) -> None:
        held = LinkContents()
        held.apply(SetValue("a", "1"))
        held.apply(Prepare(prepared_name(READS), READS))
        cases = (
            ("nothing", {"a": "1"}, READS, 0),
            ("a value", {"a": "1", "b": "2"}, READS, 1),
            ("a shape", {"a": "1"}, WRITES, 1),
            ("a reset", {}, None, 1),
        )
        for name, wanted, shape, expected in cases:
            with self.subTest(name):
                self.assertEqual(
                    expected, count_setup_steps(held, wanted, shape)
                )

    def test_different_shapes_have_different_names(self) -> None:
        names = {
            prepared_name(shape)
            for shape in (READS, WRITES, Shape(False, "q2"))
        }
        self.assertEqual(3, len(names))

    def test_prepared_statements_are_bounded(self) -> None:
        contents = LinkContents()
        for number in range(MAX_PREPARED + 1):
            contents.prepared.add(f"p{number}")
        self.assertIn(Discard(), setup_steps(contents, {}))


class SessionStateTest(TestCase):
    def test_which_statements_write(self) -> None:
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

    def test_bytes_are_bounded(self) -> None:
        """Guards against one caller that uses up the memory.

        Values that don't fit into a message would also end the connection to
        a home, with the statements of all other callers on it.
        """
        for store in (
            SessionState().set_value,
            lambda name, text, state=SessionState(): state.prepare(
                name, Shape(False, text)
            ),
        ):
            part = MAX_BYTES // 2 - 10
            self.assertTrue(store("a", "x" * part))
            self.assertTrue(store("b", "é" * (part // 2)))
            self.assertFalse(store("c", "x" * 100))
            self.assertTrue(store("b", "x" * part))
            self.assertFalse(store("d", "x" * (MAX_BYTES + 1)))

    def test_written_position_never_decreases(self) -> None:
        state = SessionState()
        for position in (Position(2, 5), Position(1, 9), None):
            state.note_commit("g1", position)
        self.assertEqual(Position(2, 5), state.written_in("g1"))

    def test_written_position_of_another_group(self) -> None:
        """Guards against reads that wait for another group's position.

        A route may change to another group, whose log never reaches it.
        """
        state = SessionState()
        state.note_commit("g1", Position(2, 5))
        self.assertEqual(ZERO_POSITION, state.written_in("g2"))
