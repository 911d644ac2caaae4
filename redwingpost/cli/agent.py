"""``redwing-agent``: the fleet's agent on one VM."""

from pathlib import Path
from typing import Annotated

from typer import Exit, Option, Typer, echo

from redwingpost.agent import Agent
from redwingpost.cli.running import configure_logs, run_service
from redwingpost.settings import load_settings

app = Typer(
    add_completion=False,
    help=(
        "Run one VM's agent.\n\n" "Example: redwing-agent --settings vm-1.toml"
    ),
)


@app.command()
def serve(
    settings: Annotated[
        Path, Option(help="The VM's settings file (TOML).", exists=True)
    ],
) -> None:
    """Run the agent until SIGTERM, then drain and exit 0."""
    loaded = load_settings(settings)
    if loaded.is_error():
        echo(loaded.error.describe(), err=True)
        raise Exit(2)
    configure_logs(loaded.ok.log)
    run_service(lambda: Agent(loaded.ok), lambda agent: agent.drain())


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
