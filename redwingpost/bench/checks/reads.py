"""Checks of what sessions read: read-your-writes, order and age."""

from collections import defaultdict
from collections.abc import Iterator

from redwingpost.bench.checks.registry import CHECKS, CLOCK_TOLERANCE_S
from redwingpost.bench.history import Attempt, AttemptResult, Operation, Run
from redwingpost.core import Code


def _by_document(run: Run) -> dict[tuple, list[Attempt]]:
    """Group attempts by organisation, database group and document."""
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
        if a.operation.writes and a.verdict is AttemptResult.ANSWERED
    ]


def _answered_reads(attempts: list[Attempt]) -> list[Attempt]:
    reads = (a for a in attempts if a.operation.reads and a.seen)
    return [a for a in reads if a.verdict is AttemptResult.ANSWERED]


def _newest_revision(edits: list[Attempt], until: float) -> int:
    """Return the highest revision acknowledged up to a time."""
    revisions = (e.revision for e in edits if e.received_at <= until)
    return max(revisions, default=0)


@CHECKS.register("read-your-writes")
def check_read_your_writes(run: Run) -> Iterator[str]:
    """A read shows every edit acknowledged to its session before."""
    for attempts in _by_document(run).values():
        edits = _acknowledged_edits(attempts)
        for read in _answered_reads(attempts):
            if read.operation is Operation.READ_TOLERANT:
                continue
            own_edits = [e for e in edits if e.session == read.session]
            expected = _newest_revision(own_edits, read.sent_at)
            if read.seen.revision < expected:
                yield (
                    f"{read.request} by {read.session} through "
                    f"{read.proxy} saw revision {read.seen.revision} of "
                    f"{read.document}, acknowledged was {expected}"
                )


@CHECKS.register("monotone-reads")
def check_monotone_reads(run: Run) -> Iterator[str]:
    """A session never reads an older revision than it has read before.

    The refusal "position lost" means that the session starts again:
    earlier reads then set no lower limit for later ones.
    """
    resets_by_session = {}
    for attempt in run.attempts:
        if attempt.code == Code.POSITION_LOST.number:
            key = (attempt.organisation, attempt.session)
            resets_by_session.setdefault(key, []).append(attempt.received_at)
    for (organisation, _, document), attempts in _by_document(run).items():
        reads_by_session = defaultdict(list)
        for read in _answered_reads(attempts):
            if read.operation is not Operation.READ_TOLERANT:
                reads_by_session[read.session].append(read)
        for session, reads in reads_by_session.items():
            resets = resets_by_session.get((organisation, session), [])
            yield from _backward_reads(reads, resets, document)


def _backward_reads(
    reads: list[Attempt], resets: list[float], document: str
) -> Iterator[str]:
    """Yield the reads older than an earlier read of their session."""
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
    """A tolerant read is at most ``max_staleness_ms`` old.

    It shows every edit that was acknowledged longer ago than that.
    """
    for attempts in _by_document(run).values():
        edits = _acknowledged_edits(attempts)
        for read in _answered_reads(attempts):
            if read.operation is not Operation.READ_TOLERANT:
                continue
            age_s = read.max_staleness_ms / 1000.0 + CLOCK_TOLERANCE_S
            expected = _newest_revision(edits, read.sent_at - age_s)
            if read.seen.revision < expected:
                yield (
                    f"{read.request} saw revision {read.seen.revision} of "
                    f"{read.document}; {expected} was older than "
                    f"{read.max_staleness_ms} ms"
                )
