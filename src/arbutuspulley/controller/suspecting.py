"""Keeps this instance's suspicions in step with the table."""

from arbutuspulley.controller.asking import ask
from arbutuspulley.controller.state import Controller
from arbutuspulley.data import State
from arbutuspulley.delivery import suspects
from arbutuspulley.delivery.trials import forget_suspicion, read_suspicions
from arbutuspulley.membership.ownership import choose_poller
from arbutuspulley.rpc.messages import Suspicion


class SuspectRows(State):
    """Where reading of suspicions goes on."""

    revision: int = 0
    table_id: str = ""


async def follow_suspects(controller: Controller, rows: SuspectRows) -> None:
    """Read suspicions that changed, and drop those that are over.

    :raises PlatformUnavailableError: if the platform did not answer.
    """
    if rows.table_id != controller.rows.table_id:
        rows.revision, rows.table_id = 0, controller.rows.table_id
    table, after = controller.platform.table, rows.revision
    page = await ask(controller, lambda: read_suspicions(table, after=after))
    rows.revision = page.revision
    now = controller.clock.now()
    suspects.merge(controller.suspects, page.suspicions, now=now)
    known = dict(controller.suspects.suspicions)
    for fingerprint in suspects.forget_old(controller.suspects, now=now):
        await _forget_row(controller, known[fingerprint])


async def _forget_row(controller: Controller, suspicion: Suspicion) -> None:
    """Delete a suspicion's row; one instance does, since all drop it together."""
    chosen = choose_poller(suspicion.fingerprint, candidates=controller.live)
    if chosen != controller.settings.instance:
        return
    table = controller.platform.table
    await ask(
        controller,
        lambda: forget_suspicion(table, suspicion.fingerprint, seen=suspicion),
    )
