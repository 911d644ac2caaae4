"""Child processes of a bench run: started, signalled and ended by id."""

from asyncio import create_subprocess_exec, subprocess, wait_for
from collections.abc import Sequence
from os import sysconf
from pathlib import Path
from signal import SIGCONT, SIGKILL, SIGSTOP, SIGTERM
from sys import executable
from typing import NamedTuple

#: Most children of one bench at any time.
MAX_CHILDREN = 40

#: Seconds a planned stop may take before the child is killed.
STOP_LIMIT_S = 10.0

_TICKS_PER_S = sysconf("SC_CLK_TCK")

#: Places of utime and stime after the command's closing parenthesis in
#: ``/proc/<pid>/stat`` (proc_pid_stat(5), fields 14 and 15).
_UTIME, _STIME = 11, 12


class Ended(NamedTuple):
    """How a child ended: exit code (negative: signal) and CPU seconds."""

    code: int
    cpu_s: float


class Child:
    """One running program.

    Parameters
    ----------
    name : str
        Unique in the run, such as ``proxy vm-1``.
    process : asyncio.subprocess.Process
        The started process.
    log : Path
        Where its standard error goes.
    """

    def __init__(
        self, name: str, process: subprocess.Process, log: Path
    ) -> None:
        self.name = name
        self.log = log
        self._process = process

    @property
    def running(self) -> bool:
        """Whether the process has not ended yet."""
        return self._process.returncode is None

    @property
    def pid(self) -> int:
        """The process's id."""
        return self._process.pid

    def cpu_s(self) -> float:
        """Return user and system seconds so far; 0 once it has ended."""
        try:
            stat = Path(f"/proc/{self._process.pid}/stat").read_text()
        except OSError:
            return 0.0
        fields = stat.rpartition(")")[2].split()
        ticks = int(fields[_UTIME]) + int(fields[_STIME])
        return ticks / _TICKS_PER_S

    def pause(self) -> None:
        """Stop the process where it stands."""
        self._process.send_signal(SIGSTOP)

    def resume(self) -> None:
        """Let a paused process go on, unaware."""
        self._process.send_signal(SIGCONT)

    async def kill(self) -> Ended:
        """End the process without warning."""
        return await self._end(SIGKILL)

    async def stop(self, limit_s: float = STOP_LIMIT_S) -> Ended:
        """Ask for a planned stop; kill what is not gone in time."""
        return await self._end(SIGTERM, limit_s)

    async def _end(self, number: int, limit_s: float = STOP_LIMIT_S) -> Ended:
        cpu_s = self.cpu_s()
        if self.running:
            self._process.send_signal(number)
        try:
            await wait_for(self._process.wait(), limit_s)
        except TimeoutError:
            self._process.kill()
            await self._process.wait()
        return Ended(self._process.returncode, cpu_s)


class Children:
    """All children of a run, by name."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self._by_name: dict[str, Child] = {}
        self._spent_s_by_name: dict[str, float] = {}

    def __getitem__(self, name: str) -> Child:
        return self._by_name[name]

    def names(self, prefix: str = "") -> list[str]:
        """Return the names of running children, sorted."""
        return sorted(
            name
            for name, child in self._by_name.items()
            if child.running and name.startswith(prefix)
        )

    async def start(self, name: str, arguments: Sequence[str]) -> Child:
        """Start ``python -m`` with arguments; its log is a file.

        Raises
        ------
        RuntimeError
            If too many children are running.
        """
        if len(self.names()) >= MAX_CHILDREN:
            raise RuntimeError(f"more than {MAX_CHILDREN} children")
        log = self.directory / f"{name.replace(' ', '-')}.log"
        with log.open("ab") as output:
            process = await create_subprocess_exec(
                executable,
                "-m",
                *arguments,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        child = Child(name, process, log)
        self._by_name[name] = child
        return child

    async def end(self, name: str, planned: bool) -> Ended:
        """End one child and remember the processor time it took."""
        child = self._by_name[name]
        ended = await (child.stop() if planned else child.kill())
        spent_s = self._spent_s_by_name.get(name, 0.0)
        self._spent_s_by_name[name] = spent_s + ended.cpu_s
        return ended

    def cpu_s(self, prefix: str = "") -> float:
        """Return CPU seconds of all children so called, ended or not."""
        ended_s = sum(
            spent_s
            for name, spent_s in self._spent_s_by_name.items()
            if name.startswith(prefix)
        )
        running = self.names(prefix)
        return ended_s + sum(self._by_name[n].cpu_s() for n in running)

    async def end_all(self) -> None:
        """Kill whatever still runs."""
        for name in self.names():
            await self.end(name, planned=False)
