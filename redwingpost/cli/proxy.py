"""``redwing-proxy``: serve callers on one VM."""

from pathlib import Path
from typing import Annotated

from typer import Exit, Option, Typer, echo

from redwingpost.cli.running import configure_logs, run_service
from redwingpost.proxy import Proxy
from redwingpost.settings import load_settings

app = Typer(
    add_completion=False,
    help=(
        "Serve callers on one VM.\n\n"
        "Example: redwing-proxy --settings vm-1.toml"
    ),
)


@app.command()
def serve(
    settings: Annotated[
        Path, Option(help="The VM's settings file (TOML).", exists=True)
    ],
) -> None:
    """Run the proxy until SIGTERM, then drain and exit 0."""
    loaded = load_settings(settings)
    if loaded.is_error():
        echo(loaded.error.describe(), err=True)
        raise Exit(2)
    configure_logs(loaded.ok.log)
    run_service(lambda: Proxy(loaded.ok), lambda proxy: proxy.drain())


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
