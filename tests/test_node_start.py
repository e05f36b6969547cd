"""Signals that reach a node before it serves."""

import subprocess
import sys

import pytest

from scripts.platform_testbed import NODE_PROGRAM

SIGNAL_AT_IMPORT = """
import importlib.abc, os, runpy, signal, sys

class Finder(importlib.abc.MetaPathFinder):
    def find_spec(self, name, path, target=None):
        if name == "arbutuspulley.programs.node":
            os.kill(os.getpid(), signal.{signal})
            print("survived", flush=True)
            os._exit(7)

sys.meta_path.insert(0, Finder())
runpy.run_path(sys.argv[1], run_name="__main__")
"""


@pytest.mark.parametrize(
    ("signal", "code", "output"),
    [("SIGTERM", 0, b""), ("SIGINT", 0, b""), ("SIGHUP", 7, b"survived\n")],
)
def test_a_node_that_is_told_to_stop_while_it_is_imported_exits_with_0(
    signal, code, output
):
    """Guards against seed 110: a node that was told to stop 1.5 s after its start ended
    with -15, which counts as a crash, as its modules were still being imported."""
    ended = subprocess.run(
        [sys.executable, "-c", SIGNAL_AT_IMPORT.format(signal=signal), NODE_PROGRAM],
        capture_output=True,
        timeout=20,
    )
    assert (ended.returncode, ended.stdout) == (code, output), ended.stderr
