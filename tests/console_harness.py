"""A console with a real HTTP server and an in-memory platform, for tests."""

import json

import msgspec
import urllib3

from arbutuspulley.configuration.lookup import hash_key
from arbutuspulley.configuration.schema import EMPTY
from arbutuspulley.programs.console_api import ApiContext
from arbutuspulley.programs.console_messages import FileText, ProposeRequest
from arbutuspulley.programs.console_routes import build_web_root
from arbutuspulley.programs.console_server import build_server
from arbutuspulley.rpc.channel import PeerUnavailableError
from arbutuspulley.rpc.messages import FleetStatus, InstanceStatus
from tests.fakes import BASE, OVERLAY_A, OVERLAY_B, FakePlatform


def build_instance(name, version, entries=(), *, reachable=True):
    return InstanceStatus(
        instance=name,
        site="site-a",
        configuration_version=version,
        entry_versions={f"e{number}": one for number, one in enumerate(entries)},
        reachable=reachable,
    )


def build_fleet(*instances, accepted=0, configuration=None):
    return FleetStatus(
        accepted_version=accepted, instances=instances, configuration=configuration
    )


class ConsoleHarness:
    """A console with an in-memory platform, and an HTTP client for it.

    ``active`` is the active configuration of its controller.
    """

    def __init__(self):
        self.fake = FakePlatform()
        self.reset()
        context = ApiContext(
            platform=self.fake.platform, fetch_status=self._fetch_status
        )
        operators = {name: hash_key(f"key-of-{name}") for name in ("ayu", "janis")}
        root = build_web_root(context, operators)
        self.server = build_server(root=root, host="127.0.0.1", port=0)
        self.server.start()
        self.url = f"http://{self.server.address}"

    def reset(self):
        """Reset the platform and the controller; the console itself is stateless."""
        self.fake.reset()
        self.active = EMPTY
        self.controller_down = False

    def _fetch_status(self, version):
        if self.controller_down:
            raise PeerUnavailableError(detail="down", sent=True)
        known = self.active
        instance = build_instance("a", known.version)
        newer = known if known.version > version else None
        return build_fleet(instance, accepted=known.version, configuration=newer)

    def ask(self, method, path, body=None, *, key="key-of-ayu", **headers):
        """Send a request below /api; return status and decoded JSON."""
        if body is not None and not isinstance(body, bytes):
            body = msgspec.json.encode(body)
        answer = urllib3.request(
            method,
            f"{self.url}/api/{path}",
            body=body,
            headers={"Authorization": f"Bearer {key}", **headers},
            retries=False,
        )
        return answer.status, json.loads(answer.data)

    def propose(self, size_mib=9000, **options):
        return self.ask("POST", "proposals", build_request(size_mib), **options)


def build_request(size_mib=9000, overlays=(OVERLAY_A, OVERLAY_B)):
    base = FileText(name="base.yaml", text=BASE.replace("9000", str(size_mib)))
    texts = tuple(FileText(name="overlay.yaml", text=text) for text in overlays)
    return ProposeRequest(base=base, overlays=texts)
