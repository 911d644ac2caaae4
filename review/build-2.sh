#!/bin/sh
# Builds what the scripts of cases 4 to 8 start besides the nodes: the
# libraries of the project's own stand-ins, which the deploy file leaves out,
# in the versions of pyproject.toml. The stand-ins themselves are in the copy
# of the package that the deploy file's build makes. Run it at the repository
# root, after that build.
set -e
python3 - > target/review-2.txt <<'PY'
from pathlib import Path
from tomllib import loads

project = loads(Path("pyproject.toml").read_text())["project"]
print("\n".join(project["dependencies"]))
PY
python3 -m pip install -q -U --target target/review-2 -r target/review-2.txt
