"""Settings files that the platform generates from the templates in platform/."""
import json
import os
import re
import subprocess

import pytest

from bench import BINARY

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))

# Values for the templates. A platform that scales its figures may pass a
# fraction for any number.
TEMPLATE_VALUES = {
    "node-name": "host-1", "zone": "z1", "region": "r1", "ip": "10.1.0.1",
    "zones": {"z1": "r1", "z2": "r2"}, "app": "10.1.0.9:8100",
    "service": "models", "internal-ports": [7700, 7715],
    "seed-nodes": ["10.1.0.2:8000", "10.1.0.3:8000"],
    "platform": {"address": "10.9.0.1:8007"},
    "listeners-map": {"control-plane": "10.1.0.1:8000",
                      "frontend": "10.1.0.1:8005",
                      "directory-addr": "10.1.0.1:8009",
                      "readiness": "10.1.0.1:8002"},
    "limits": {"max-fds": 4100.5, "memory-mb": 127.5, "bandwidth-mbps": 9.45},
    "bounds": {"grace-s": 8.25, "version_ms": 8000.75,
               "config-apply-ms": 2000.5, "drain-ms": 3000.25,
               "retry-budget-ratio": 0.2125, "retry-window-s": 10.5,
               "retry-allowance": 65.4},
}


def value_of(values, path):
    for key in path.split("."):
        values = values[int(key)] if isinstance(values, list) else values[key]
    return values


def text_of(value):
    return value if isinstance(value, str) else json.dumps(value)


def fill_block(match):
    rows = value_of(TEMPLATE_VALUES, match[1])
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
                  lambda m: text_of(value_of(TEMPLATE_VALUES, m[1])), text)


def check(text, path):
    path.write_text(text)
    return subprocess.run([BINARY, "check", str(path)], capture_output=True,
                          text=True)


@pytest.mark.parametrize("name", ["gateway.json", "sidecar.json"])
def test_templates_accept_fractions_in_all_figures(name, tmp_path):
    """A platform that scales limits and bounds passes fractions; a template
    that accepts only integers would yield settings that do not load."""
    with open(os.path.join(ROOT, "platform", name)) as f:
        ran = check(fill(f.read()), tmp_path / name)
    assert ran.returncode == 0, ran.stdout + ran.stderr


def test_settings_the_platform_does_not_scale_must_be_integers(tmp_path):
    """Accepting fractions for the platform's limits must not make every integer
    setting accept them: heartbeat_ms still has to be an integer."""
    with open(os.path.join(ROOT, "platform", "gateway.json")) as f:
        text = fill(f.read())
    changed = text.replace('"role"', '"heartbeat_ms": 100.5, "role"')
    ran = check(changed, tmp_path / "changed.json")
    assert ran.returncode != 0
    assert "heartbeat_ms: must be a whole number" in ran.stdout + ran.stderr
