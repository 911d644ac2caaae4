"""Which transactions may be open at a member, and which must end."""

from unittest import TestCase

from redwingpost.admission.controller import AdmissionPolicy, Arrival
from redwingpost.admission.transactions import TransactionPlaces
from redwingpost.scheduling.priorities import OrganisationWeights

_WEIGHTS = OrganisationWeights.of({"big": 30.0, "small": 10.0, "tiny": 1.0})


def _arrival(ticket, organisation, priority=1, deadline_at=99.0):
    flow = _WEIGHTS.flow(priority, organisation)
    return Arrival(ticket, flow, "", 1.0, False, deadline_at)


class PlacesTest(TestCase):
    def _serve(self, places, waiting, ends):
        """Let transactions wait, end others; return who begins."""
        organisation_by_ticket = {}
        for ticket, organisation in enumerate(waiting, start=100):
            organisation_by_ticket[ticket] = organisation
            places.arrive(0.0, _arrival(ticket, organisation))
        return [
            organisation_by_ticket[ticket]
            for ended in ends
            for ticket in places.leave(1.0, ended)
        ]

    def test_half_of_the_connections(self) -> None:
        cases = ((1, 1), (2, 1), (3, 1), (4, 2), (7, 3), (10, 5))
        for connections, expected in cases:
            with self.subTest(connections=connections):
                places = TransactionPlaces(connections, AdmissionPolicy())
                began = [
                    places.arrive(0.0, _arrival(ticket, "big")).starts
                    for ticket in range(12)
                ]
                self.assertEqual(expected, sum(began))
                self.assertEqual(expected, places.running)

    def test_shares_of_organisations(self) -> None:
        """Guards against one organisation that holds all places."""
        big, small, tiny = "big", "small", "tiny"
        cases = (
            # who holds four places, who waits, who ends, who begins then
            ([big] * 4, [big, small], [0, 1], [small, big]),
            ([big] * 4, [big, big, small], [0, 1], [small, big]),
            ([small] * 4, [small, big, big], [0, 1, 2], [big, big, small]),
            ([small, small, big, big], [tiny, small], [2], [tiny]),
            ([big] * 4, [big, big], [0, 1], [big, big]),
        )
        for held, waiting, ends, expected in cases:
            with self.subTest(held=held, waiting=waiting):
                places = TransactionPlaces(8, AdmissionPolicy())
                for ticket, organisation in enumerate(held):
                    places.arrive(0.0, _arrival(ticket, organisation))
                self.assertEqual(expected, self._serve(places, waiting, ends))

    def test_no_priority_is_starved(self) -> None:
        """Guards against transactions that wait for all higher ones."""
        places = TransactionPlaces(2, AdmissionPolicy())
        places.arrive(0.0, _arrival(0, "big", 0))
        for ticket in range(1, 41):
            places.arrive(0.0, _arrival(ticket, "big", 0))
        places.arrive(0.0, _arrival(99, "small", 3))
        order, ended = [], 0
        while 99 not in order:
            (ended,) = places.leave(1.0, ended)
            order.append(ended)
        self.assertLessEqual(len(order), 10)

    def test_which_one_is_ended(self) -> None:
        """Guards against the end of a transaction that is in use."""
        cases = (
            # rests since, now, whether others wait; the one that is ended
            ({0: 1.0, 1: 0.5}, 3.0, True, 1),
            ({0: 1.0, 1: 0.5}, 3.0, False, None),
            ({0: 1.0, 1: 0.5}, 2.4, True, None),
            ({0: 1.0, 1: None}, 3.5, True, 0),
            ({0: None, 1: None}, 9.0, True, None),
        )
        for since_by_ticket, now, is_pressed, expected in cases:
            with self.subTest(since=since_by_ticket, pressed=is_pressed):
                places = TransactionPlaces(4, AdmissionPolicy())
                for ticket, since in since_by_ticket.items():
                    places.arrive(0.0, _arrival(ticket, "big"))
                    places.rest(0.1, ticket)
                    places.resume(ticket)
                    if since is not None:
                        places.rest(since, ticket)
                resting = places.to_evict(now, 2.0, is_pressed=is_pressed)
                self.assertEqual(expected, resting and resting.ticket)

    def test_a_wait_that_is_too_long_is_refused(self) -> None:
        places = TransactionPlaces(2, AdmissionPolicy())
        now = 0.0
        places.arrive(now, _arrival(0, "big"))
        for ticket in range(1, 60):
            places.arrive(now, _arrival(ticket, "big"))
        for ticket in range(20):
            now += 0.5
            places.leave(now, ticket)
        late = _arrival(99, "big", deadline_at=now + 1.0)
        decision = places.arrive(now, late)
        self.assertFalse(decision.starts)
        self.assertIsNotNone(decision.refusal)
        self.assertGreater(decision.refusal.retry_after_ms, 10_000)
