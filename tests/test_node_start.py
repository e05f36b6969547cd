"""Signals that reach a node before it serves."""

import os
import subprocess
import sys

import pytest

from scripts.platform_testbed import NODE_PROGRAM
from tests.cut_fleet import CUT_PROGRAM
from tests.cut_node import CUT_VARIABLE

SIGNAL_AT_IMPORT = """
import importlib.abc, os, runpy, signal, sys

class Finder(importlib.abc.MetaPathFinder):
    def find_spec(self, name, path, target=None):
        if name == "arbutuspulley":
            os.kill(os.getpid(), signal.{signal})
            print("survived", flush=True)
            os._exit(7)

sys.meta_path.insert(0, Finder())
runpy.run_path(sys.argv[1], run_name="__main__")
"""


@pytest.mark.parametrize("program", [NODE_PROGRAM, CUT_PROGRAM])
@pytest.mark.parametrize(
    ("signal", "code", "output"),
    [("SIGTERM", 0, b""), ("SIGINT", 0, b""), ("SIGHUP", 7, b"survived\n")],
)
def test_a_node_that_is_told_to_stop_while_it_is_imported_exits_with_0(
    tmp_path, program, signal, code, output
):
    """Guards against seeds 110, 134 and 200: a node, or one that tests cut off, that
    was told to stop while its modules were still being imported ended with -15."""
    ended = subprocess.run(
        [sys.executable, "-c", SIGNAL_AT_IMPORT.format(signal=signal), program],
        env={**os.environ, CUT_VARIABLE: str(tmp_path / "cut")},
        capture_output=True,
        timeout=20,
    )
    assert (ended.returncode, ended.stdout) == (code, output), ended.stderr
