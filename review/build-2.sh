#!/usr/bin/env bash
# Builds what the scripts of the second review start besides the gateway. The stand-ins are Python without further
# libraries than those of the deploy file's build, so this checks that they compile and can be imported.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -e target/deps ] || { echo "run the build line of deploy/system.toml first" >&2; exit 1; }
env PYTHONPATH="review:target/deps" python3 -B -c "import rig2.http, rig2.standins, rig2.system"
