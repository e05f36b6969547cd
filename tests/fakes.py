"""An in-memory platform with fault injection, for tests of stored state."""

import msgspec

from arbutuspulley.adapters.platform_messages import TransactRequest
from arbutuspulley.configuration.files import SourceFile
from arbutuspulley.configuration.merge import FileSet, merge_files
from arbutuspulley.ports.platform import Committed, Objects, Platform, Table
from arbutuspulley.results import OutcomeUnknownError, PlatformUnavailableError
from arbutuspulley.standins import platform_state


class FakePlatform:
    """The state of the platform stand-in behind the port, without a network.

    Faults are set as attributes: ``down``; ``lost_replies`` and ``lost_requests``, each
    the number of next transactions that lose their reply or request;
    ``down_after_lost_reply``; ``before_transact``, called once before the next
    transaction.
    """

    def __init__(self):
        self.reset()
        self.platform = Platform(
            table=Table(read=self._read, scan=self._scan, transact=self._transact),
            objects=Objects(get=self._get, put_if_absent=self._put),
            list_instances=lambda: (),
        )

    def reset(self):
        """Remove all rows, objects and faults."""
        self.state = platform_state.TableState(name="fake")
        self.stored = {}
        self.tokens = {}
        self.down = False
        self.lost_replies = 0
        self.lost_requests = 0
        self.down_after_lost_reply = False
        self.before_transact = None

    def _check_up(self):
        if self.down:
            raise PlatformUnavailableError(detail="down")

    def _seal(self, row):
        token, replaced = self.tokens.get((row.key, row.revision), ("", None))
        return msgspec.structs.replace(row, token=token, replaces=replaced)

    def _read(self, key):
        self._check_up()
        row = platform_state.read_row(self.state, key)
        return None if row is None else self._seal(row)

    def _scan(self, prefix, after, limit):
        self._check_up()
        page = platform_state.scan_rows(
            self.state, prefix=prefix, after=after, limit=limit
        )
        rows = tuple(self._seal(row) for row in page.rows)
        return msgspec.structs.replace(page, rows=rows)

    def _transact(self, transaction):
        self._check_up()
        hook, self.before_transact = self.before_transact, None
        if hook:
            hook()
        if self.lost_requests:
            self.lost_requests -= 1
            raise OutcomeUnknownError(detail="request lost")
        outcome = platform_state.transact(
            self.state,
            TransactRequest(
                preconditions=transaction.preconditions, writes=transaction.writes
            ),
        )
        if isinstance(outcome, Committed):
            expected = {part.key: part.revision for part in transaction.preconditions}
            for write in transaction.writes:
                mark = (transaction.token, expected.get(write.key))
                self.tokens[write.key, outcome.revision] = mark
        if self.lost_replies:
            self.lost_replies -= 1
            self.down = self.down_after_lost_reply
            raise OutcomeUnknownError(detail="reply lost")
        return outcome

    def _get(self, name):
        self._check_up()
        return self.stored.get(name)

    def _put(self, name, data):
        self._check_up()
        return self.stored.setdefault(name, data) is data


BASE = """\
models:
  draft: {version: "1", size_mib: 9000, kv_floor_mib: 500}
adapters:
  draft-solo: {model: draft, version: "1", size_mib: 100}
callers:
  desk: {key_sha256: %s, weight: 2}
  hosts: {key_sha256: %s}
"""
BASE %= ("d" * 64, "e" * 64)
OVERLAY_A = """\
site: site-a
servers:
  engine-a: {address: "127.0.0.1:9001", memory_mib: 40000}
services:
  booking: {addresses: ["127.0.0.1:9101"]}
"""
OVERLAY_B = """\
site: site-b
servers:
  engine-b: {address: "127.0.0.1:9002", memory_mib: 40000}
models:
  draft: {copies: 2}
callers:
  hosts: {weight: 5, live: false}
"""


def build_files(base=BASE, overlays=(OVERLAY_A, OVERLAY_B)):
    """Build a set of files named base.yaml, overlay-1.yaml, ..."""
    return FileSet(
        base=SourceFile(name="base.yaml", text=base),
        overlays=tuple(
            SourceFile(name=f"overlay-{number}.yaml", text=text)
            for number, text in enumerate(overlays, start=1)
        ),
    )


def build_configuration(version=1, size_mib=9000):
    """Build the merged example configuration, with a given model size."""
    base = BASE.replace("9000", str(size_mib))
    return merge_files(build_files(base), version=version)
