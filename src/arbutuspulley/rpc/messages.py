"""Messages between the system's own processes.

``entry`` and ``console`` talk to the controller of their instance, controllers
talk to the controllers of other instances. Encoding and transport are in
:mod:`.channel`.
"""

from arbutuspulley.configuration.schema import Configuration
from arbutuspulley.data import Message


class EntryAddress(Message, frozen=True):
    """Where callers reach an entry.

    :param address: ``host:port`` for callers.
    :param draining: whether it is stopping and must not be told to callers.
    :param load: requests in flight over its limit, 0 to 1 and above.
    :param boot_id: names the process; a restarted entry has another one.
    """

    instance: str
    site: str
    address: str
    draining: bool = False
    load: float = 0.0
    boot_id: str = ""


class ServerSummary(Message, frozen=True):
    """What an entry needs to know of a model engine.

    :param items: keys of the items that are loaded and answering.
    :param age_ms: age of the load numbers when the message was built.
    :param leaving: whether it must receive no new work.
    :param alive: whether its owner got its latest report in time.
    """

    server: str
    site: str
    address: str
    items: tuple[str, ...] = ()
    running: int = 0
    waiting: int = 0
    waiting_tokens: int = 0
    tokens_per_s: float = 0.0
    slots: int = 16
    age_ms: int = 0
    leaving: bool = False
    alive: bool = True
    boot_id: str = ""


class Suspicion(Message, frozen=True):
    """A request that was in flight on a server as the server died.

    :param fingerprint: hash of caller and body.
    :param deaths: servers that died while it ran, with their boot id:
        ``server/boot_id``; with ``#trial_id`` for a trial that is still running.
    :param clear: whether it has since run whole on its own.
    :param cleared: the deaths that it was cleared of. Both sets only grow, so that
        accounts of several instances merge in any order.
    """

    fingerprint: str
    deaths: tuple[str, ...] = ()
    clear: bool = False
    cleared: tuple[str, ...] = ()


class CallerUsage(Message, frozen=True):
    """What a caller has lately used through one instance.

    :param tokens_per_s: estimated token cost admitted, smoothed.
    :param waiting: requests waiting now.
    """

    caller: str
    tokens_per_s: float
    waiting: int = 0


class View(Message, frozen=True):
    """All that an entry decides with, sent by its controller when it changes.

    :param number: counts views of one controller process.
    :param ready: whether a configuration is in force, so that serving may begin.
    :param store_up: whether the platform answered lately.
    :param usage: what callers use through all other instances together.
    """

    number: int
    ready: bool
    store_up: bool
    configuration: Configuration
    servers: tuple[ServerSummary, ...] = ()
    entries: tuple[EntryAddress, ...] = ()
    suspicions: tuple[Suspicion, ...] = ()
    usage: tuple[CallerUsage, ...] = ()


class WatchRequest(Message, frozen=True):
    """Asks a controller for views; answered by a stream of :class:`View`."""

    entry: EntryAddress


class ItemDemand(Message, frozen=True):
    """What callers asked of one item since the last report of this entry.

    :param item: the item's key.
    :param tokens: estimated token cost.
    :param refused: requests refused for lack of a loaded copy or of room.
    """

    item: str
    requests: int
    tokens: int
    refused: int = 0


class EntryReport(Message, frozen=True):
    """Sent by an entry to its controller about every second.

    :param configuration_version: the version it admits requests under.
    :param in_flight: requests in flight through this entry.
    """

    entry: EntryAddress
    configuration_version: int
    in_flight: int
    demand: tuple[ItemDemand, ...] = ()
    usage: tuple[CallerUsage, ...] = ()


class Acknowledged(Message, frozen=True):
    """An empty answer."""


class ClaimRequest(Message, frozen=True):
    """Asks for the right to run an unrepeatable request.

    :param key: the caller's idempotency key.
    :param body_sha256: hash of path and body.
    :param attempt_id: names this claim; it is stored with the row.
    :param claimant: boot id of the entry that asks.
    """

    caller: str
    key: str
    body_sha256: str
    attempt_id: str
    claimant: str = ""


class ClaimReply(Message, frozen=True):
    """Answer to a claim.

    :param state: ``granted`` (run it now), ``in_progress``, ``answered``,
        ``unknown``, ``released`` never leaves the controller, ``reused`` (other
        body), ``unavailable`` (store down: certainly not granted).
    :param status: HTTP status of the stored answer.
    :param body: the stored answer.
    :param claimant: boot id of the entry whose claim is in progress.
    :param uncertain: the claim is not granted, and yet its row may be there; the
        asker must take it back.
    """

    state: str
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    claimant: str = ""
    uncertain: bool = False


class SettleRequest(Message, frozen=True):
    """Tells how a claimed request ended.

    :param state: ``answered``, ``unknown``, or ``not_run`` (the claim is taken back).
    """

    caller: str
    key: str
    attempt_id: str
    state: str
    status: int = 0
    content_type: str = ""
    body: bytes = b""


class DeathReport(Message, frozen=True):
    """An entry saw a server break off streams; these requests were in flight.

    :param boot_id: the boot that the entry last knew.
    :param trial_id: if set, nobody died: the entry asks whether it may run the one
        fingerprint on this server now. The death is written down beforehand and
        taken back by a clearance, so that no two instances try a suspect at once.
    :param expired_trial_id: a trial that has held the server for longer than any
        request lives; it may be replaced.
    """

    server: str
    boot_id: str
    fingerprints: tuple[str, ...]
    trial_id: str = ""
    expired_trial_id: str = ""


class SuspicionsReply(Message, frozen=True):
    """Suspicions as the controller now knows them.

    :param recorded: whether the table holds them, so that all instances see them.
    :param granted: whether the trial that was asked for may run.
    :param holder: the trial that now holds the server, if it is another one.
    """

    suspicions: tuple[Suspicion, ...] = ()
    recorded: bool = False
    granted: bool = False
    holder: str = ""


class ClearanceReport(Message, frozen=True):
    """A suspect ran whole, or its trial was certainly not run.

    :param server: the server of the trial, which is then free for the next one.
    :param trial_id: the trial that ended.
    :param ran: false if the trial was not run: only its own mark is taken back.
    """

    fingerprint: str
    server: str = ""
    boot_id: str = ""
    trial_id: str = ""
    ran: bool = True


class ExchangeRequest(Message, frozen=True):
    """One controller tells a peer what it knows and asks for news.

    :param instance: who asks.
    :param after: the number of the last exchange reply it got from this peer's
        ``epoch``; only what changed since is sent.
    :param items: keys of items it serves; only servers holding one are sent.
    :param configuration_version: the version it has, if it wants the peer's whole
        configuration should that be newer; ``None`` if it does not.
    """

    instance: str
    epoch: str = ""
    after: int = 0
    items: tuple[str, ...] = ()
    configuration_version: int | None = None


class ExchangeReply(Message, frozen=True):
    """A peer's news.

    :param servers: changed summaries of the servers it owns.
    :param entries: its own entries.
    :param configuration: its configuration, if wanted and newer than the asker's.
    :param configuration_version: the version it has in force.
    :param demand: what its entries' callers ask for, smoothed over a second;
        ``None`` if that has not changed.
    :param status: what it says of itself, for the console.
    """

    instance: str
    epoch: str
    number: int
    configuration_version: int
    configuration: Configuration | None = None
    servers: tuple[ServerSummary, ...] = ()
    gone: tuple[str, ...] = ()
    entries: tuple[EntryAddress, ...] = ()
    suspicions: tuple[Suspicion, ...] = ()
    usage: tuple[CallerUsage, ...] = ()
    demand: tuple[ItemDemand, ...] | None = None
    status: "InstanceStatus | None" = None


class StatusRequest(Message, frozen=True):
    """Asks a controller for its status.

    :param configuration_after: if set, the configuration in force is sent along if
        its version is above this one. The console compares it with the store's.
    """

    configuration_after: int | None = None


class InstanceStatus(Message, frozen=True):
    """What an instance says of itself, for the console.

    :param configuration_version: the version in force at its controller.
    :param entry_versions: the version in force at each of its entries.
    :param reachable: whether it answered; false if another one speaks for it.
    """

    instance: str
    site: str
    configuration_version: int
    lease_held: bool = False
    store_up: bool = False
    owned: tuple[str, ...] = ()
    entry_versions: dict[str, int] = {}
    draining: bool = False
    reachable: bool = True


class FleetStatus(Message, frozen=True):
    """What a controller knows of all instances of its group.

    :param accepted_version: the newest version it knows to be accepted.
    :param configuration: what is in force at this controller, if it was asked for
        and is newer than the asker's.
    """

    accepted_version: int
    instances: tuple[InstanceStatus, ...] = ()
    servers: tuple[ServerSummary, ...] = ()
    configuration: Configuration | None = None
