"""A fleet whose nodes can be cut off from the backend servers."""

from scripts.platform_testbed import Fleet
from tests.cut_node import CUT_VARIABLE, PROGRAM, Blackhole, write_cut

CUT_PROGRAM = PROGRAM.parents[1] / "tests" / "cut_node.py"


class CutFleet(Fleet):
    """Nodes that can be cut off from servers.

    :param folder: directory for settings, logs and cuts.
    """

    def __init__(self, folder):
        super().__init__(folder)
        self._blackhole = Blackhole()

    async def start_node(self, name, **options):
        """Start a node; the options are those of :meth:`Fleet.start_node`."""
        self.heal((name,))
        environment = {CUT_VARIABLE: str(self._get_file(name))}
        await super().start_node(
            name, program=CUT_PROGRAM, environment=environment, **options
        )

    def cut(self, names, mode, *, servers=None):
        """Cut nodes off from servers; from all servers unless some are given."""
        chosen = self.servers if servers is None else servers
        ports = [int(server.address.rpartition(":")[2]) for server in chosen]
        for name in names:
            write_cut(
                self._get_file(name),
                ports=ports,
                mode=mode,
                blackhole=self._blackhole.port,
            )

    def heal(self, names):
        """End the cuts of nodes."""
        for name in names:
            write_cut(self._get_file(name))

    async def close(self):
        """Kill all nodes and stop all servers."""
        await super().close()
        self._blackhole.close()

    def _get_file(self, name):
        return self.folder / f"{name}.cut"
