#!/usr/bin/env bash
# Builds what the scripts start beside the entry VMs. The stand-ins are Python
# programs: this checks that they compile, and that the project's stand-in for
# the store finds its libraries in the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
for file in review/*.py review/[1-5]/*.py src/bramleyworks_standins/kv_store.py; do
  [ -e "$file" ] || continue
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=src:target/deps \
  python3 -c 'import bramleyworks_standins.kv_store'
