#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start: they
# are Python programs that need only the standard library, so this compiles
# them and checks that what the scheduler needs has been built.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review/lib-3
PYTHONPATH=target/deps python3 -c 'import chestnutstair.fleetd'
