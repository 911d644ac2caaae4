"""Tests of gossip: changes reach all VMs with a bounded load for each."""

from collections import Counter, deque
from unittest import TestCase

from redwingpost.membership.beats import Beat, BeatSource
from redwingpost.membership.dissemination import (
    BeatCursors,
    ChangeOrigin,
    select_recipients,
)
from redwingpost.membership.dissemination import MAX_CHANGES, MAX_ROUND_ROBIN
from redwingpost.membership.ranking import rank_vms
from redwingpost.membership.table import MemberTable


def fleet(data_centres, per_data_centre):
    """Return heartbeats of a fleet whose relays are the first by rank."""
    beats = {}
    for number in range(data_centres):
        centre = f"dc-{number}"
        vms = [f"vm-{number}-{index}" for index in range(per_data_centre)]
        relay = rank_vms(centre, vms)[0]
        for vm in vms:
            beats[vm] = Beat(
                vm=vm,
                data_centre=centre,
                ip="127.1.1.1",
                agent_port=1,
                proxy_port=2,
                incarnation=1,
                sequence=1,
                relay=vm == relay,
            )
    return beats


def table_of(vm, beats):
    """Return a VM's table with all members; "" for no VM's."""
    table = MemberTable(vm)
    if vm:
        table.set_own(beats[vm], 0.0)
    for beat in beats.values():
        table.merge(beat, 0.0, BeatSource.RELAYED)
    return table


def spread(beats, origin, dead=frozenset()):
    """Return the hops to each VM reached and the messages of each VM.

    Calls to dead VMs fail, and the sender then selects recipients again.
    """
    hops = {origin: 0}
    sent = Counter()
    queue = deque([(origin, ChangeOrigin.LOCAL, "")])
    table = table_of("", beats)
    while queue:
        vm, change_origin, source = queue.popleft()
        avoid, tried = frozenset(), set()
        while True:
            recipients = select_recipients(
                table, vm, beats[vm].relay, change_origin, source, avoid
            )
            untried = [name for name in recipients if name not in tried]
            if not untried:
                break
            tried.update(untried)
            sent[vm] += len(untried)
            avoid |= dead.intersection(untried)
            for name in untried:
                if name in dead or name in hops:
                    continue
                hops[name] = hops[vm] + 1
                same = beats[name].data_centre == beats[vm].data_centre
                how = (
                    ChangeOrigin.OWN_DATA_CENTRE
                    if same
                    else ChangeOrigin.OTHER_DATA_CENTRE
                )
                queue.append((name, how, vm))
    return hops, sent


class SelectRecipientsTest(TestCase):
    def test_a_change_reaches_all_vms(self):
        for size in ((1, 1), (1, 3), (4, 1), (4, 2), (14, 5)):
            beats = fleet(*size)
            for origin in beats:
                with self.subTest(size=size, origin=origin):
                    hops, _ = spread(beats, origin)
                    self.assertEqual(set(hops), set(beats))
                    self.assertLessEqual(max(hops.values()), 3)

    def test_a_change_reaches_all_vms_despite_dead_relays(self):
        # Relays are paused when a key is withdrawn. The withdrawal must
        # reach their data centres all the same, or the caller is still
        # served there until another VM has taken the relay role.
        beats = fleet(4, 3)
        relays = [vm for vm, beat in beats.items() if beat.relay]
        for origin in sorted(set(beats) - set(relays)):
            for dead in (relays[:1], relays[1:3], relays):
                with self.subTest(origin=origin, dead=dead):
                    hops, _ = spread(beats, origin, frozenset(dead))
                    self.assertEqual(set(hops), set(beats) - set(dead))

    def test_messages_at_a_thousand_vms(self):
        # If each VM sent it to each other, a change would cost a million
        # messages. Here a VM that isn't a relay sends at most one, a
        # relay as many as its data centre has VMs and the fleet has data
        # centres.
        beats = fleet(14, 72)
        plain = next(vm for vm, beat in beats.items() if not beat.relay)
        hops, sent = spread(beats, plain)
        self.assertEqual(len(hops), 1008)
        for vm, count in sent.items():
            most = 72 + 13 if beats[vm].relay else 1
            self.assertLessEqual(count, most)
        self.assertLessEqual(sum(sent.values()), 1008 + 14)


class BeatCursorsTest(TestCase):
    def test_bounded_messages_deliver_all_heartbeats(self):
        beats = fleet(14, 72)
        table = table_of("vm-0-0", beats)
        cursors, received, messages = BeatCursors(), set(), 0
        while len(received) < len(beats) - 1:
            message = cursors.next_beats(table, "vm-0-1", own=["vm-0-0"])
            self.assertLessEqual(
                len(message), 1 + MAX_CHANGES + MAX_ROUND_ROBIN
            )
            received.update(beat.vm for beat in message)
            messages += 1
        self.assertLessEqual(messages, 16)

    def test_heartbeats_of_a_lost_message_are_sent_again(self):
        beats = fleet(1, 6)
        table, cursors = table_of("vm-0-0", beats), BeatCursors()
        cursors.next_beats(table, "vm-0-1")
        received = set()
        for _ in range(2):
            received.update(b.vm for b in cursors.next_beats(table, "vm-0-1"))
        self.assertEqual(received, set(beats) - {"vm-0-1"})

    def test_a_replaced_peer_is_sent_everything_again(self):
        table, cursors = table_of("vm-0-0", fleet(2, 6)), BeatCursors()
        cursors.next_beats(table, "vm-0-1")
        self.assertLessEqual(
            len(cursors.next_beats(table, "vm-0-1")), MAX_ROUND_ROBIN
        )
        cursors.rewind("vm-0-1")
        self.assertEqual(len(cursors.next_beats(table, "vm-0-1")), 11)
