#!/bin/sh
# Builds what the scripts of this review start. All stand-ins are Python and use the libraries of the deploy file's
# build, so this only checks that they can be imported.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH=".:target/deps" exec python3 -B -c "import lab.standins, lab.system, lab.local_cluster, review.harness"
