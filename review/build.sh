#!/bin/sh
# Compiles the stand-ins that the scripts start: those of this review, and the project's
# own. Needs target/deps, which the build command of the deploy file makes.
cd "$(dirname "$0")/.." || exit 2
test -d target/deps || { echo "target/deps is missing: build first" >&2; exit 2; }
python3 -m compileall -q src/arbutuspulley/standins review
