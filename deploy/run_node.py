"""Starts ``arbutus-node`` from a checkout, with the package in ``src``."""

import os
import sys
from pathlib import Path

# The node does not use TLS. The HTTP library loads the machine's certificates when it
# is imported, which takes a quarter of the start-up time.
os.environ.setdefault("SSL_CERT_FILE", os.devnull)

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "src"))

from arbutuspulley.programs.node import main

if __name__ == "__main__":
    main()
