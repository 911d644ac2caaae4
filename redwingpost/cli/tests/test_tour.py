"""Runs the commands of the README's tour on free ports.

New users run these commands first, so each of them must work.
"""

from json import dumps, loads
from pathlib import Path
from re import DOTALL, findall
from shlex import split
from signal import SIGTERM
from subprocess import DEVNULL, PIPE, Popen, run
from sys import executable
from tempfile import TemporaryDirectory
from unittest import TestCase

from redwingpost.bench.ports import find_free_port

ROOT = Path(__file__).resolve().parents[3]
TIMEOUT_S = 60

#: Console scripts of the tour as modules, which need no installation.
MODULES_BY_SCRIPT = {
    ".venv/bin/redwing-standin": ["-m", "redwingpost.cli.standin"],
    ".venv/bin/redwing-proxy": ["-m", "redwingpost.cli.proxy"],
    ".venv/bin/python": [],
}


def tour_commands():
    """Return the lines of the tour's first block in the README."""
    text = (ROOT / "README.md").read_text()
    tour = text[text.index("## 60-second tour") :]
    block = findall(r"```sh\n(.*?)```", tour, DOTALL)[0]
    return block.strip().splitlines()


def write_examples(directory):
    """Copy the examples with free ports; return the callers' port."""
    ports_by_old = {
        old: str(find_free_port("127.0.0.1"))
        for old in ("13306", "17001", "19101", "18090")
    }
    for source in (ROOT / "examples").iterdir():
        if not source.is_file():
            continue
        text = source.read_text().replace("examples/", f"{directory}/")
        for old, new in ports_by_old.items():
            text = text.replace(old, new)
        (directory / source.name).write_text(text)
    return ports_by_old["13306"]


class TourTest(TestCase):
    def test_every_command_of_the_tour(self):
        children = []
        with TemporaryDirectory() as name:
            directory = Path(name)
            port = write_examples(directory)
            try:
                for line in tour_commands():
                    command = self.as_module(line, directory)
                    if line.rstrip().endswith("&"):
                        children.append(self.start(command))
                    else:
                        output = self.finish([*command, "127.1.1.99", port])
            finally:
                codes = [self.stop(child) for child in reversed(children)]
        self.assertIn("orders: 1\n", output)
        self.assertIn("read elsewhere: [(12,)]", output)
        self.assertEqual(codes, [0, 0])

    def as_module(self, line, directory):
        words = split(line.rstrip(" &"))
        module = MODULES_BY_SCRIPT[words[0]]
        rest = [w.replace("examples", str(directory)) for w in words[1:]]
        return [executable, *module, *rest]

    def start(self, command):
        return Popen(command, cwd=ROOT, stdout=DEVNULL, stderr=DEVNULL)

    def finish(self, command):
        done = run(
            command, cwd=ROOT, stdout=PIPE, stderr=PIPE, timeout=TIMEOUT_S
        )
        self.assertEqual(done.returncode, 0, done.stderr.decode())
        return done.stdout.decode()

    def stop(self, child):
        child.send_signal(SIGTERM)
        try:
            return child.wait(TIMEOUT_S)
        except Exception:
            child.kill()
            child.wait()
            raise


class ExamplesTest(TestCase):
    def test_configuration_is_json(self):
        text = (ROOT / "examples" / "configuration.json").read_text()
        self.assertEqual(loads(dumps(loads(text))), loads(text))
