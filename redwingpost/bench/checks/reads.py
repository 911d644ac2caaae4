"""Checks of what sessions read."""

from collections import defaultdict
from collections.abc import Iterator

from redwingpost.bench.checks.registry import CHECKS, CLOCK_TOLERANCE_S
from redwingpost.bench.history import Attempt, Operation, Run, Verdict
from redwingpost.core import Code


def _by_document(run: Run) -> dict[tuple, list[Attempt]]:
    """Group the attempts on documents by organisation and document."""
    attempts_by_document = defaultdict(list)
    for attempt in run.attempts:
        if attempt.document:
            key = (attempt.organisation, attempt.group, attempt.document)
            attempts_by_document[key].append(attempt)
    return attempts_by_document


def _acknowledged_edits(attempts: list[Attempt]) -> list[Attempt]:
    return [
        a
        for a in attempts
        if a.operation.writes and a.verdict is Verdict.ANSWERED
    ]


def _answered_reads(attempts: list[Attempt]) -> list[Attempt]:
    reads = (a for a in attempts if a.operation.reads and a.seen)
    return [a for a in reads if a.verdict is Verdict.ANSWERED]


def _newest(edits: list[Attempt], before: float) -> int:
    """Return the highest revision acknowledged by ``before``."""
    revisions = (e.revision for e in edits if e.received_at <= before)
    return max(revisions, default=0)


@CHECKS.register("read-your-writes")
def check_read_your_writes(run: Run) -> Iterator[str]:
    """A session's read shows every edit it was acknowledged before."""
    for attempts in _by_document(run).values():
        edits = _acknowledged_edits(attempts)
        for read in _answered_reads(attempts):
            if read.operation is Operation.READ_TOLERANT:
                continue
            own = [e for e in edits if e.session == read.session]
            expected = _newest(own, read.sent_at)
            if read.seen.revision < expected:
                yield (
                    f"{read.request} by {read.session} through "
                    f"{read.proxy} saw revision {read.seen.revision} of "
                    f"{read.document}, acknowledged was {expected}"
                )


@CHECKS.register("monotone-reads")
def check_monotone_reads(run: Run) -> Iterator[str]:
    """A session never sees a document go back.

    A caller told "position lost" knows that it has to start afresh, so
    that what it saw before counts no more.
    """
    last_reset = {}
    for attempt in run.attempts:
        if attempt.code == Code.POSITION_LOST.number:
            key = (attempt.organisation, attempt.session)
            last_reset.setdefault(key, []).append(attempt.received_at)
    for (organisation, _, document), attempts in _by_document(run).items():
        reads_by_session = defaultdict(list)
        for read in _answered_reads(attempts):
            if read.operation is not Operation.READ_TOLERANT:
                reads_by_session[read.session].append(read)
        for session, reads in reads_by_session.items():
            resets = last_reset.get((organisation, session), [])
            yield from _backward_reads(reads, resets, document)


def _backward_reads(
    reads: list[Attempt], resets: list[float], document: str
) -> Iterator[str]:
    """Yield the reads that saw less than an earlier one of theirs."""
    highest: Attempt | None = None
    for read in sorted(reads, key=lambda r: r.sent_at):
        if highest is None or any(
            highest.received_at <= reset <= read.sent_at for reset in resets
        ):
            highest = read
            continue
        follows = read.sent_at >= highest.received_at
        if follows and read.seen.revision < highest.seen.revision:
            yield (
                f"{read.request} by {read.session} saw revision "
                f"{read.seen.revision} of {document}, "
                f"{highest.request} had seen {highest.seen.revision}"
            )
        elif read.seen.revision >= highest.seen.revision:
            highest = read


@CHECKS.register("stated-age")
def check_stated_age(run: Run) -> Iterator[str]:
    """A tolerant read shows what was acknowledged longer ago than that."""
    for attempts in _by_document(run).values():
        edits = _acknowledged_edits(attempts)
        for read in _answered_reads(attempts):
            if read.operation is not Operation.READ_TOLERANT:
                continue
            age_s = read.max_staleness_ms / 1000.0 + CLOCK_TOLERANCE_S
            expected = _newest(edits, read.sent_at - age_s)
            if read.seen.revision < expected:
                yield (
                    f"{read.request} saw revision {read.seen.revision} of "
                    f"{read.document}; {expected} was older than "
                    f"{read.max_staleness_ms} ms"
                )
