"""Tests that KNOWN-RED.txt lists are passed over: see known_red.py."""
import os

import pytest

from known_red import entries, reason

KNOWN_RED = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..",
                         "KNOWN-RED.txt")


def pytest_collection_modifyitems(items):
    if not os.path.exists(KNOWN_RED):
        return
    with open(KNOWN_RED, encoding="utf-8") as f:
        rows = entries(f.read())
    for item in items:
        why = reason(rows, item.name)
        if why:
            item.add_marker(pytest.mark.skip(reason=why))
