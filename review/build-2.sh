#!/bin/sh
# Builds what the cases of the second review start beside the deploy file's build.
# The stand-ins are Python programs; the store's is the project's own and uses
# target/deps. This checks that all of them can be compiled and started.
set -e
cd "$(dirname "$0")/.."
if [ ! -d target/deps ]; then
  python3 -m pip install -q -U --target target/deps -r requirements.txt
fi
python3 - review/rig_2.py review/6/case.py review/7/case.py \
  review/8/case.py review/9/case.py review/10/case.py \
  review/10/callers.py review/10/endless.py <<'PY'
import pathlib
import sys

for name in sys.argv[1:]:
    compile(pathlib.Path(name).read_text(), name, "exec")
PY
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=src:target/deps \
  python3 -c "import bramleyworks_standins.kv_store"
