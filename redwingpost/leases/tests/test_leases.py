"""Tests of lease arithmetic and of the lease's state machine."""

from unittest import TestCase

from redwingpost.leases.keeper import LeaseKeeper, LeaseStep
from redwingpost.ports import Row

VALID_S = 4.0


def new_keeper(vm="vm-1", incarnation=7):
    """Return a keeper for the row relays/lima-1."""
    return LeaseKeeper("relays", "lima-1", vm, incarnation, VALID_S)


def row_of(claimant, now, version):
    """Return the row that a keeper's claim writes."""
    _, (write,) = claimant.claim(now)
    return Row(write.table, write.key, version, write.value)


class LeaseKeeperTest(TestCase):
    def test_lease_expires_at_the_holder_first(self):
        # The store answers slowly: the holder's request was sent at 0,
        # the other VM sees the row at 0 at the earliest. If the holder
        # counted from its answer, both could act at the same time.
        for seen_at in (0.0, 0.5, 3.0):
            with self.subTest(seen_at=seen_at):
                holder, other = new_keeper("vm-1"), new_keeper("vm-2")
                holder.observe(None, answered_at=0.0)
                row = row_of(holder, 0.0, 1)
                holder.committed(1)
                other.observe(row, answered_at=seen_at)
                for tenth in range(100):
                    now = tenth / 10
                    step = other.next_step(now, wanted=True)
                    both = holder.is_held(now) and step is LeaseStep.CLAIM
                    self.assertFalse(both)

    def test_lease_expires_while_the_holder_is_paused(self):
        # The hypervisor pauses the VM for a minute in the middle of its
        # work. If it continued afterwards, there would be two relays.
        holder = new_keeper()
        holder.observe(None, answered_at=0.0)
        holder.claim(0.0)
        holder.committed(1)
        self.assertTrue(holder.is_held(1.0))
        self.assertFalse(holder.is_held(61.0))

    def test_renewal_keeps_the_term_and_takeover_raises_it(self):
        holder, other = new_keeper("vm-1"), new_keeper("vm-2")
        holder.observe(None, answered_at=0.0)
        row = row_of(holder, 0.0, 1)
        holder.committed(1)
        self.assertEqual(holder.next_step(1.0, True), LeaseStep.REST)
        self.assertEqual(holder.next_step(1.4, True), LeaseStep.CLAIM)
        row = row_of(holder, 1.4, 2)
        holder.committed(2)
        self.assertEqual(row.value["term"], 1)
        other.observe(row, answered_at=2.0)
        self.assertEqual(other.next_step(6.0, True), LeaseStep.READ)
        self.assertEqual(other.next_step(6.1, True), LeaseStep.CLAIM)
        self.assertEqual(row_of(other, 6.1, 3).value["term"], 2)

    def test_claim_with_a_lost_answer_is_read_back(self):
        # The claim took effect and its answer was lost. Reading the row
        # shows this; the validity counts from the request, not from the
        # read.
        holder = new_keeper()
        holder.observe(None, answered_at=0.0)
        row = row_of(holder, 0.0, 1)
        holder.outcome_unknown()
        self.assertFalse(holder.is_held(0.1))
        self.assertEqual(holder.next_step(0.1, True), LeaseStep.READ)
        holder.observe(row, answered_at=2.0)
        self.assertTrue(holder.is_held(3.9))
        self.assertFalse(holder.is_held(4.0))

    def test_a_lost_claim_takes_effect_late(self):
        # The first claim is delayed in the network and takes effect just
        # before the second, which is refused with a row of its own VM.
        # Others may have seen that row long before the second claim was
        # sent.
        holder = new_keeper()
        holder.observe(None, answered_at=0.0)
        row = row_of(holder, 0.0, 1)
        holder.outcome_unknown()
        holder.observe(None, answered_at=0.5)
        holder.claim(2.0)
        holder.refused(row, answered_at=2.1)
        self.assertTrue(holder.is_held(3.9))
        self.assertFalse(holder.is_held(4.0))

    def test_refused_claim_of_a_held_lease(self):
        first, second = new_keeper("vm-1"), new_keeper("vm-2")
        for claimant in (first, second):
            claimant.observe(None, answered_at=0.0)
        row = row_of(first, 0.0, 1)
        second.claim(0.0)
        second.refused(row, answered_at=0.2)
        self.assertFalse(second.is_held(0.2))
        self.assertEqual(second.holder, "vm-1")
        self.assertEqual(second.next_step(0.3, True), LeaseStep.READ)

    def test_lease_of_an_earlier_incarnation_must_expire(self):
        # The VM was replaced under the same name; its predecessor may
        # still be running, so the lease has to expire first.
        fresh = new_keeper(incarnation=8)
        fresh.observe(row_of(new_keeper(), 0.0, 5), answered_at=1.0)
        self.assertFalse(fresh.is_held(1.0))
        self.assertEqual(fresh.next_step(2.0, True), LeaseStep.READ)

    def test_unwanted_lease_is_not_claimed(self):
        self.assertEqual(new_keeper().next_step(0.0, False), LeaseStep.REST)
