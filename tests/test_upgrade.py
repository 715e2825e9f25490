"""Builds of an earlier commit and of this one side by side: every process goes
on to this build in turn, and back, under load, with configurations and weights
meanwhile. tests/soak.py --course upgrade plays other seeds and sizes."""
import os
import subprocess
import sys

import pytest

from bench import BINARY, HERE
from crashing import Run

ROOT = os.path.dirname(HERE)
# The newest build without slots that are reserved: it closes a connection on
# which it is sent a message of a kind that it does not know.
EARLIER = "890747a"
# The newest build that suspects whole requests only, and no parts of prompts.
WITHOUT_PARTS = "5861d1f"
BUILD_TIMEOUT_S = 300
SEEDS = (1, 2)


def build(commit, folder):
    """The program, built from the history of this repository."""
    archive = subprocess.run(["git", "-C", ROOT, "archive", commit],
                             check=True, stdout=subprocess.PIPE).stdout
    subprocess.run(["tar", "-x", "-C", folder, "--exclude=journal"],
                   input=archive, check=True)
    subprocess.run(["make", "-s", "-j4", "all"], cwd=folder, check=True,
                   timeout=BUILD_TIMEOUT_S)
    return os.path.join(folder, "build", "quayring")


@pytest.fixture(scope="module")
def earlier(tmp_path_factory):
    return build(EARLIER, str(tmp_path_factory.mktemp("earlier")))


@pytest.mark.parametrize("seed", SEEDS)
def test_builds_side_by_side(earlier, seed):
    done = subprocess.run(
        [sys.executable, os.path.join(HERE, "soak.py"), "--course", "upgrade",
         "--before", earlier, "--seed", str(seed)],
        env=dict(os.environ, QUAYRING=BINARY), stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT, text=True, timeout=180, check=False)
    assert done.returncode == 0, done.stdout


def test_part_is_held_beside_a_build_without_parts(tmp_path):
    """Gateways of the earlier build tell nothing of parts, and skip what they are
    told and what lies in the store."""
    run = Run(seconds=8.0, part=True, earlier=build(WITHOUT_PARTS,
                                                    str(tmp_path)))
    assert len(run.late_runs) == 0 and run.settled >= 0.95, str(run)
    assert run.held == 2, str(run)  # the gateways of this build
