"""Builds of an earlier commit and of this one side by side: every process goes
on to this build in turn, and back, under load, with configurations and weights
meanwhile. tests/soak.py --course upgrade plays other seeds and sizes."""
import os
import subprocess
import sys

import pytest

from bench import BINARY, HERE

ROOT = os.path.dirname(HERE)
# The newest build without slots that are reserved: it closes a connection on
# which it is sent a message of a kind that it does not know.
EARLIER = "890747a"
BUILD_TIMEOUT_S = 300
SEEDS = (1, 2)


@pytest.fixture(scope="module")
def earlier(tmp_path_factory):
    """The program, built from the history of this repository."""
    folder = str(tmp_path_factory.mktemp("earlier"))
    archive = subprocess.run(["git", "-C", ROOT, "archive", EARLIER],
                             check=True, stdout=subprocess.PIPE).stdout
    subprocess.run(["tar", "-x", "-C", folder, "--exclude=journal"],
                   input=archive, check=True)
    subprocess.run(["make", "-s", "-j4", "all"], cwd=folder, check=True,
                   timeout=BUILD_TIMEOUT_S)
    return os.path.join(folder, "build", "quayring")


@pytest.mark.parametrize("seed", SEEDS)
def test_builds_side_by_side(earlier, seed):
    done = subprocess.run(
        [sys.executable, os.path.join(HERE, "soak.py"), "--course", "upgrade",
         "--before", earlier, "--seed", str(seed)],
        env=dict(os.environ, QUAYRING=BINARY), stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT, text=True, timeout=180, check=False)
    assert done.returncode == 0, done.stdout
