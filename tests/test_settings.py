"""The settings that the platform fills from our templates, as it may fill them."""
import json
import os
import re
import subprocess

import pytest

from bench import BINARY

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))

# Every number that a template takes, as a platform that scales its figures
# may give it.
SHEET = {
    "node-name": "host-1", "zone": "z1", "region": "r1", "ip": "10.1.0.1",
    "zones": {"z1": "r1", "z2": "r2"}, "app": "10.1.0.9:8100",
    "service": "models", "internal-ports": [7700, 7715],
    "seed-nodes": ["10.1.0.2:8000", "10.1.0.3:8000"],
    "platform": {"address": "10.9.0.1:8007"},
    "listeners-map": {"control-plane": "10.1.0.1:8000",
                      "frontend": "10.1.0.1:8005",
                      "directory-addr": "10.1.0.1:8009",
                      "readiness": "10.1.0.1:8002"},
    "limits": {"max-fds": 4100.5, "bandwidth-mbps": 9.45},
    "bounds": {"grace-s": 8.25, "version_ms": 8000.75,
               "retry-budget-ratio": 0.2125, "retry-window-s": 10.5,
               "retry-allowance": 65.4},
}


def value_of(sheet, path):
    for key in path.split("."):
        sheet = sheet[int(key)] if isinstance(sheet, list) else sheet[key]
    return sheet


def text_of(value):
    return value if isinstance(value, str) else json.dumps(value)


def fill_block(match):
    rows = value_of(SHEET, match[1])
    pairs = (list(rows.items()) if isinstance(rows, dict)
             else list(enumerate(rows)))
    out = ""
    for i, (key, value) in enumerate(pairs):
        comma = "," if i + 1 < len(pairs) else ""
        out += (match[2].replace("{{@}}", text_of(key))
                .replace("{{.}}", text_of(value)).replace("{{,}}", comma))
    return out


def fill(template):
    text = re.sub(r"\{\{#([\w.-]+)\}\}(.*?)\{\{/\1\}\}", fill_block, template,
                  flags=re.S)
    return re.sub(r"\{\{([\w.-]+)\}\}",
                  lambda m: text_of(value_of(SHEET, m[1])), text)


def check(text, path):
    path.write_text(text)
    return subprocess.run([BINARY, "check", str(path)], capture_output=True,
                          text=True)


@pytest.mark.parametrize("name", ["gateway.json", "sidecar.json"])
def test_a_template_takes_fractions_for_every_figure(name, tmp_path):
    with open(os.path.join(ROOT, "platform", name)) as f:
        ran = check(fill(f.read()), tmp_path / name)
    assert ran.returncode == 0, ran.stdout + ran.stderr


def test_what_is_no_limit_of_the_platform_stays_a_whole_number(tmp_path):
    with open(os.path.join(ROOT, "platform", "gateway.json")) as f:
        text = fill(f.read())
    odd = text.replace('"role"', '"heartbeat_ms": 100.5, "role"')
    ran = check(odd, tmp_path / "odd.json")
    assert ran.returncode != 0
    assert "heartbeat_ms: must be a whole number" in ran.stdout + ran.stderr
