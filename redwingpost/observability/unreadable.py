"""Counts and logs what could not be decoded."""

from collections import Counter as Counts
from collections.abc import Iterator

from prometheus_client.core import CounterMetricFamily

from redwingpost.observability.journal import log_event

#: Number of entries and messages that could not be decoded, by their kind.
counts_by_kind: Counts[str] = Counts()


def note_unreadable(kind: str, key: str, reason: object) -> None:
    """Log and count an entry that is left out; ``kind`` is the line's."""
    counts_by_kind[kind.removesuffix("-unreadable")] += 1
    log_event(kind, key=key, detail=str(reason))


class UnreadableCollector:
    """Exports the counts to a metrics registry."""

    def collect(self) -> Iterator[CounterMetricFamily]:
        """Yield the counter."""
        family = CounterMetricFamily(
            "redwing_unreadable_total",
            "Entries and messages that could not be decoded, by kind",
            labels=("kind",),
        )
        for kind, count in sorted(counts_by_kind.items()):
            family.add_metric((kind,), count)
        yield family
