"""Child processes of a bench run, signalled and ended by process id."""

from asyncio import create_subprocess_exec, subprocess, wait_for
from collections.abc import Sequence
from os import sysconf
from pathlib import Path
from signal import SIGCONT, SIGKILL, SIGSTOP, SIGTERM
from sys import executable
from typing import NamedTuple

#: Limit of child processes that run at the same time.
MAX_CHILDREN = 40

#: Timeout of a planned stop, in seconds; then the child is killed.
STOP_TIMEOUT_S = 10.0

_TICKS_PER_S = sysconf("SC_CLK_TCK")

#: Indices of utime and stime after the command's closing parenthesis in
#: ``/proc/<pid>/stat`` (proc_pid_stat(5), fields 14 and 15).
_UTIME, _STIME = 11, 12


class ExitStatus(NamedTuple):
    """A child's exit code (negative: signal) and CPU seconds."""

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
        File that receives its standard output and standard error.
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
        """Return user and system CPU seconds; 0 if the process ended."""
        try:
            stat = Path(f"/proc/{self._process.pid}/stat").read_text()
        except OSError:
            return 0.0
        fields = stat.rpartition(")")[2].split()
        ticks = int(fields[_UTIME]) + int(fields[_STIME])
        return ticks / _TICKS_PER_S

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self._process.send_signal(SIGSTOP)

    def resume(self) -> None:
        """Resume a paused process with SIGCONT."""
        self._process.send_signal(SIGCONT)

    async def kill(self) -> ExitStatus:
        """End the process with SIGKILL."""
        return await self._end(SIGKILL)

    async def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> ExitStatus:
        """Stop the process with SIGTERM; kill it after the timeout."""
        return await self._end(SIGTERM, timeout_s)

    async def _end(
        self, signal_number: int, timeout_s: float = STOP_TIMEOUT_S
    ) -> ExitStatus:
        cpu_s = self.cpu_s()
        if self.running:
            self._process.send_signal(signal_number)
        try:
            await wait_for(self._process.wait(), timeout_s)
        except TimeoutError:
            self._process.kill()
            await self._process.wait()
        return ExitStatus(self._process.returncode, cpu_s)


class Children:
    """All children of a run, by name."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self._children_by_name: dict[str, Child] = {}
        self._ended_cpu_s_by_name: dict[str, float] = {}

    def __getitem__(self, name: str) -> Child:
        return self._children_by_name[name]

    def names(self, prefix: str = "") -> list[str]:
        """Return the names of running children, sorted."""
        return sorted(
            name
            for name, child in self._children_by_name.items()
            if child.running and name.startswith(prefix)
        )

    async def start(self, name: str, arguments: Sequence[str]) -> Child:
        """Start ``python -m`` with arguments and log its output to a file.

        Raises
        ------
        RuntimeError
            If too many children are running.
        """
        if len(self.names()) >= MAX_CHILDREN:
            raise RuntimeError(f"more than {MAX_CHILDREN} child processes")
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
        self._children_by_name[name] = child
        return child

    async def end(self, name: str, planned: bool) -> ExitStatus:
        """End one child and record the CPU time that it used."""
        child = self._children_by_name[name]
        status = await (child.stop() if planned else child.kill())
        spent_s = self._ended_cpu_s_by_name.get(name, 0.0)
        self._ended_cpu_s_by_name[name] = spent_s + status.cpu_s
        return status

    def cpu_s(self, prefix: str = "") -> float:
        """Return CPU seconds of all children whose name has the prefix."""
        ended_s = sum(
            spent_s
            for name, spent_s in self._ended_cpu_s_by_name.items()
            if name.startswith(prefix)
        )
        running = self.names(prefix)
        return ended_s + sum(
            self._children_by_name[n].cpu_s() for n in running
        )

    async def end_all(self) -> None:
        """Kill all running children."""
        for name in self.names():
            await self.end(name, planned=False)
