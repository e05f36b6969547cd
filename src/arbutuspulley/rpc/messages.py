"""Messages between the processes of the system.

``entry`` and ``console`` call the controller of their instance; controllers call the
controllers of other instances. Encoding and transport are in :mod:`.channel`.
"""

from arbutuspulley.configuration.schema import Configuration
from arbutuspulley.data import Message


class EntryAddress(Message, frozen=True):
    """Address and state of an entry.

    :param address: ``host:port`` for callers.
    :param draining: whether it is stopping and must not be advertised to callers.
    :param load: requests in flight divided by its limit; may exceed 1.
    :param boot_id: identifies the process; changes when the entry restarts.
    """

    instance: str
    site: str
    address: str
    draining: bool = False
    load: float = 0.0
    boot_id: str = ""


class ServerSummary(Message, frozen=True):
    """State and load of a model engine, for entries.

    :param items: keys of the items that are loaded and serving.
    :param age_ms: age of the load figures when the message was built.
    :param leaving: whether it is draining and must receive no new requests.
    :param alive: whether its owner received its latest report in time.
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
    """A request, or a part of prompts, in flight on a server when the server crashed.

    :param fingerprint: hash of caller and body; of a part its id.
    :param deaths: servers that crashed while it ran, with their boot id:
        ``server/boot_id``; with ``#trial_id`` for a trial that is still running.
    :param clear: whether it has since completed while running alone on a server.
    :param cleared: the deaths that it was cleared of. Both sets only grow, so that
        suspicions of several instances can be merged in any order.
    :param position: last place of a part in the prompts that had it; the first is 0.
    """

    fingerprint: str
    deaths: tuple[str, ...] = ()
    clear: bool = False
    cleared: tuple[str, ...] = ()
    position: int = 0


class CallerUsage(Message, frozen=True):
    """Recent usage of a caller through one instance.

    :param tokens_per_s: moving average of the estimated token cost admitted.
    :param waiting: requests that are waiting now.
    """

    caller: str
    tokens_per_s: float
    waiting: int = 0


class View(Message, frozen=True):
    """State that an entry's decisions use, sent by its controller when it changes.

    :param number: sequence number of the view within one controller process.
    :param ready: whether a configuration is active, so that the entry may serve.
    :param store_up: whether the platform counts as up.
    :param usage: usage of callers through all other instances together.
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
    """Request for a stream of a controller's views (:class:`View`)."""

    entry: EntryAddress


class ItemDemand(Message, frozen=True):
    """Demand for one item since the last report of this entry.

    :param item: the item's key.
    :param tokens: estimated token cost.
    :param refused: requests refused for lack of a loaded copy or of free capacity.
    """

    item: str
    requests: int
    tokens: int
    refused: int = 0


class EntryReport(Message, frozen=True):
    """Report of an entry to its controller, sent about every second.

    :param configuration_version: the configuration version that the entry uses.
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
    """Request for the right to run a non-idempotent request.

    :param key: the caller's idempotency key.
    :param body_sha256: hash of path and body.
    :param attempt_id: identifies this claim; it is stored with the row.
    :param claimant: boot id of the entry that claims.
    """

    caller: str
    key: str
    body_sha256: str
    attempt_id: str
    claimant: str = ""


class ClaimReply(Message, frozen=True):
    """Answer to a claim.

    :param state: ``granted`` (run it now), ``in_progress``, ``answered``,
        ``unknown``, ``reused`` (same key, other body), ``unavailable`` (store down:
        certainly not granted). ``released`` is never sent by the controller.
    :param status: HTTP status of the stored answer.
    :param body: the stored answer.
    :param claimant: boot id of the entry whose claim is in progress.
    :param uncertain: whether the claim's row may exist although the claim is not
        granted; the claimant must release it.
    """

    state: str
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    claimant: str = ""
    uncertain: bool = False


class SettleRequest(Message, frozen=True):
    """Outcome of a claimed request.

    :param state: ``answered``, ``unknown``, or ``not_run`` (the claim is released).
    """

    caller: str
    key: str
    attempt_id: str
    state: str
    status: int = 0
    content_type: str = ""
    body: bytes = b""


class DeathReport(Message, frozen=True):
    """Report that a server broke off streams, or request for a trial of a suspect.

    :param boot_id: the server's boot, as last known to the entry.
    :param fingerprints: the requests that were in flight.
    :param trial_id: if set, no server crashed: the entry requests a trial of the
        single fingerprint on this server. The death is recorded beforehand and
        removed by a clearance, so that no two instances run a suspect at once.
    :param expired_trial_id: a trial that has occupied the server for longer than any
        request may take; it may be replaced.
    """

    server: str
    boot_id: str
    fingerprints: tuple[str, ...]
    trial_id: str = ""
    expired_trial_id: str = ""


class SuspicionsReply(Message, frozen=True):
    """Current suspicions of the controller.

    :param recorded: whether they are stored in the table, so that all instances see
        them.
    :param granted: whether the requested trial may run.
    :param holder: the trial that currently occupies the server, if it is another one.
    """

    suspicions: tuple[Suspicion, ...] = ()
    recorded: bool = False
    granted: bool = False
    holder: str = ""


class ClearanceReport(Message, frozen=True):
    """Report that a suspect has completed, or that its trial was certainly not run.

    :param server: the server of the trial, which is then free for the next trial.
    :param trial_id: the trial that ended.
    :param ran: false if the trial was not run: only its own record is removed.
    """

    fingerprint: str
    server: str = ""
    boot_id: str = ""
    trial_id: str = ""
    ran: bool = True


class ExchangeRequest(Message, frozen=True):
    """A controller's request for changes since its last exchange with a peer.

    :param instance: the requesting instance.
    :param after: number of the last reply that it received in this peer's ``epoch``;
        only later changes are sent.
    :param items: keys of items that it serves; only servers with one of them are sent.
    :param configuration_version: its version, if it wants the peer's full configuration
        in case that is newer; ``None`` if it does not.
    """

    instance: str
    epoch: str = ""
    after: int = 0
    items: tuple[str, ...] = ()
    configuration_version: int | None = None


class ExchangeReply(Message, frozen=True):
    """A peer's changes since the last exchange.

    :param servers: changed summaries of the servers that it owns.
    :param entries: its own entries.
    :param configuration: its configuration, if requested and newer.
    :param configuration_version: its active version.
    :param demand: demand of its entries' callers, as a moving average over a second;
        ``None`` if it has not changed.
    :param status: its status, for the console.
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
    """Request for a controller's status.

    :param configuration_after: if set, the reply includes the active configuration if
        its version is above this one. The console compares it with the store's.
    """

    configuration_after: int | None = None


class InstanceStatus(Message, frozen=True):
    """An instance's status, for the console.

    :param configuration_version: the active version of its controller.
    :param entry_versions: the active version of each of its entries.
    :param reachable: whether it answered; false if another instance reports its status.
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
    """Status of all instances of a group, as known to a controller.

    :param accepted_version: the newest accepted version that it knows.
    :param configuration: the controller's active configuration, if requested and newer.
    """

    accepted_version: int
    instances: tuple[InstanceStatus, ...] = ()
    servers: tuple[ServerSummary, ...] = ()
    configuration: Configuration | None = None
