#!/bin/sh
# Checks the stand-ins of the scripts. They are Python programs without dependencies, so there is
# nothing to compile; `primrosestep-node` comes from the build of the deploy file.
set -e
cd "$(dirname "$0")"
python3 - <<'CHECK'
import glob, sys

if sys.version_info < (3, 9):
    sys.exit("the stand-ins need Python 3.9 or later")
for path in ["standin/small_site.py", *sorted(glob.glob("[0-9]/case.py"))]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
    print(path, "ok")
CHECK
if [ ! -x ../target/release/primrosestep-node ]; then
  echo "build the programs first, as the deploy file says" >&2
  exit 1
fi
