#!/bin/sh
# Builds the stand-ins that the scripts of cases 4 to 8 start. They are Python
# programs (the project's own in tests/, and small ones beside the cases), so
# that there is nothing to compile: each is only read once, to find what is
# missing on this machine before a case is run.
set -e
cd "$(dirname "$0")/.."
exec /usr/bin/python3 - <<'END'
import glob
for name in ["tests/bench.py", "tests/fleet.py", "tests/standin_platform.py",
             "review/rig2.py"] + sorted(glob.glob("review/[4-8]/*.py")):
    with open(name, encoding="utf-8") as f:
        compile(f.read(), name, "exec")
print("stand-ins are ready")
END
