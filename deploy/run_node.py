"""Starts ``arbutus-node`` from a checkout, with the package in ``src``."""

import os
import signal
import sys
from pathlib import Path
from types import FrameType

# Until the program has installed its handler, the default action would end the
# process. It reads the settings later, so a change before that is not missed.
signal.signal(signal.SIGHUP, signal.SIG_IGN)


def _exit_unstarted(_signal: int, _frame: FrameType | None) -> None:
    os._exit(0)


# Likewise, a node that is told to stop before it serves has nothing to finish. Imports
# take a second and more on a busy machine; the default action would count as a crash.
signal.signal(signal.SIGTERM, _exit_unstarted)
signal.signal(signal.SIGINT, _exit_unstarted)

# The node does not use TLS. The HTTP library loads the machine's certificates when it
# is imported, which takes a quarter of the start-up time.
os.environ.setdefault("SSL_CERT_FILE", os.devnull)

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "src"))

from arbutuspulley.programs.node import main  # noqa: E402

if __name__ == "__main__":
    main()
