"""Starts ``arbutus-node`` from a checkout, with the package in ``src``."""

import os
import signal
import sys
from pathlib import Path

# Until the program has installed its handler, the default action would end the
# process. It reads the settings later, so a change before that is not missed.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# The node does not use TLS. The HTTP library loads the machine's certificates when it
# is imported, which takes a quarter of the start-up time.
os.environ.setdefault("SSL_CERT_FILE", os.devnull)

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "src"))

from arbutuspulley.programs.node import main  # noqa: E402

if __name__ == "__main__":
    main()
