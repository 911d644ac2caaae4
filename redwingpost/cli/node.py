"""``redwing-node``: serve callers on one VM of the users' platform."""

from sys import argv, exit as sys_exit

from redwingpost.cli.early_signals import EarlySignals


def main(arguments: list[str] | None = None) -> int:
    """Run the node until SIGTERM; return the exit code."""
    early = EarlySignals()
    early.install()
    # Imported here: the imports take most of a start, and a signal during
    # them must not have its default effect.
    from redwingpost.cli.node_program import run_node

    return run_node(argv[1:] if arguments is None else arguments, early)


if __name__ == "__main__":
    sys_exit(main())
