"""Simulation of publishers and entries that race over an in-memory store with faults.

Every call to the store takes two steps, sending and receiving, so that any other participant can
act between them. A script of events sets the order of the steps and the faults.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from types import coroutine

from hypothesis import strategies as st

from kingcupusher._config import (
    CONFIG_KEY,
    ConfigDocument,
    MergeError,
    Publisher,
    Service,
    TargetLimits,
    decode_document,
    newer_document,
    sync_with_store,
)
from kingcupusher._platform import (
    ConflictError,
    PlatformError,
    PlatformUnavailableError,
    UnknownOutcomeError,
    VersionedValue,
)
from standins.platform.store import RevisionMismatchError, Store

ENTRY_COUNT = 2
# Few enough that a script can let all of them fail.
MAX_ATTEMPTS = 3
# Enough for every publisher: three attempts of four steps each, with a margin.
STEPS_TO_FINISH = 30
# Three rounds of read and write for each entry: complete the current one, merge, read the result.
STEPS_TO_AGREE = 4 * 3 * ENTRY_COUNT


class Fault(Enum):
    """Fault of one call to the store."""

    NONE = "none"
    REFUSED = "refused"
    REQUEST_LOST = "request lost"
    RESPONSE_LOST = "response lost"
    DELAYED = "delayed"


@dataclass(frozen=True)
class Step:
    """Advances one participant by ``steps``; ``fault`` applies to the call in the first one."""

    participant_index: int
    fault: Fault = Fault.NONE
    steps: int = 1


@dataclass(frozen=True)
class Rewind:
    """Rewinds the store by ``back`` snapshots."""

    back: int


@dataclass(frozen=True)
class Deliver:
    """Delivers the oldest delayed write."""


@dataclass(frozen=True)
class Gossip:
    """Sends the document of one entry to another."""

    sender: int
    receiver: int


@dataclass
class Participant:
    """One publisher or entry: its coroutine, and a record of its calls and result."""

    name: str
    coroutine: object = None
    fault: Fault = Fault.NONE
    done: bool = False
    result: object = None
    error: MergeError | None = None
    started_at: int = 0
    accepted_at: int | None = None
    ids_at_first_read: frozenset | None = None
    read_count: int = 0
    has_unknown_write: bool = False


def service(name, value=0, *, team="team", hosts=()):
    """Return a service; its content differs for each ``value``."""
    target = TargetLimits(warmup_ms=value)
    return Service(name=name, team=team, hosts=[f"{name}.example", *hosts], target=target)


@dataclass(frozen=True)
class PublishServices:
    """Change that sets services; ``values`` maps names to values that differ by publisher."""

    values: dict
    team: str = "team"

    async def publish_with(self, publisher):
        """Publish the change and return the result."""
        return await publisher.publish(self.contents().values())

    def contents(self):
        """Return the content that the change sets, by item."""
        return {
            f"service/{name}": service(name, value, team=self.team)
            for name, value in self.values.items()
        }


@dataclass(frozen=True)
class SetZoneState:
    """Change that takes a zone out of service or brings it back."""

    out: bool

    async def publish_with(self, publisher):
        """Publish the change and return the result."""
        return await publisher.set_zone_state("north", out=self.out)

    def contents(self):
        """Return the content that the change sets, by item."""
        return {"zone/north": self.out}


@coroutine
def _next_step():
    yield


def publication_ids(document):
    """Return the publication ids in the history of a document."""
    return frozenset(publication.publication_id for publication in document.history)


class PublishingSimulation:
    """The store, the participants, and a record of the writes that took effect."""

    def __init__(self, changes):
        self.store = Store()
        self.snapshots = [self.store.snapshot()]
        self.rewound = False
        self.delayed = []
        self.clock = 0
        self.ids_seen_in_force = set()
        self.changes = changes
        self.in_force = [ConfigDocument() for _ in range(ENTRY_COUNT)]
        self.publishers = [Participant(f"publisher-{number}") for number in range(len(changes))]
        for change, participant in zip(changes, self.publishers, strict=True):
            participant.coroutine = self._publish(change, participant)
        self.entries = [Participant(f"entry-{number}") for number in range(ENTRY_COUNT)]
        for number, participant in enumerate(self.entries):
            participant.coroutine = self._sync_repeatedly(number, participant)

    def apply(self, event):
        """Execute one event of the script."""
        self.clock += 1
        if isinstance(event, Step):
            participants = [*self.publishers, *self.entries]
            participant = participants[event.participant_index % len(participants)]
            self._step(participant, event.fault)
            for _ in range(event.steps - 1):
                self._step(participant, Fault.NONE)
        elif isinstance(event, Rewind):
            self._rewind(event.back)
        elif isinstance(event, Deliver) and self.delayed:
            put_ignoring_conflict(self, *self.delayed.pop(0))
        elif isinstance(event, Gossip):
            self._put_in_force(
                event.receiver,
                newer_document(self.in_force[event.receiver], self.in_force[event.sender]),
            )

    def finish(self):
        """Run all participants to their end without faults."""
        self.delayed.clear()
        for _ in range(STEPS_TO_FINISH):
            if all(publisher.done for publisher in self.publishers):
                break
            self._step_all()
        assert all(publisher.done for publisher in self.publishers)
        for _ in range(STEPS_TO_AGREE):
            self._step_all()
        for entry in self.entries:
            entry.coroutine.close()

    def _step_all(self):
        for participant_index in range(len(self.publishers) + ENTRY_COUNT):
            self.apply(Step(participant_index))

    def stored(self):
        """Return the document in the store."""
        item = self.store.get(CONFIG_KEY)
        return decode_document(item.value) if item else ConfigDocument()

    def _step(self, participant, fault):
        if participant.done:
            return
        participant.fault = fault
        try:
            participant.coroutine.send(None)
        except StopIteration:
            participant.done = True

    async def _publish(self, change, participant):
        participant.started_at = self.clock
        publisher = Publisher(
            _StoreClient(self, participant),
            max_attempts=MAX_ATTEMPTS,
            new_id=lambda: participant.name,
            back_off=lambda _attempt: _no_wait(),
            wall_ms=lambda: self.clock,
        )
        try:
            participant.result = await change.publish_with(publisher)
        except MergeError as error:
            participant.error = error

    async def _sync_repeatedly(self, number, participant):
        client = _StoreClient(self, participant)
        while True:
            before = self.in_force[number]
            try:
                result = await sync_with_store(client, before)
            except PlatformError:
                continue
            if self.in_force[number] is before:
                self._put_in_force(number, result.document)

    def _put_in_force(self, number, document):
        """Put a document in force at an entry; it must contain all that was in force before."""
        before = self.in_force[number]
        assert document.version >= before.version, "an entry reverted to a lower version"
        assert publication_ids(before) <= publication_ids(
            document
        ), "an entry dropped an accepted change"
        self.in_force[number] = document
        self.ids_seen_in_force |= publication_ids(document)

    def _rewind(self, back):
        earlier_snapshot = self.snapshots[max(0, len(self.snapshots) - 1 - back)]
        self.rewound = self.rewound or back > 0
        self.store.rewind(earlier_snapshot, now_ms=0)
        self.snapshots.append(self.store.snapshot())

    def put_and_record(self, participant, key, value, expected_revision):
        """Write to the store and record the time at which it accepted the write."""
        revision = self.store.put(key, value, expected_revision=expected_revision, lease_id=None)
        self.snapshots.append(self.store.snapshot())
        participant.accepted_at = self.clock
        return revision


def put_ignoring_conflict(simulation, participant, *write):
    """Write to the store without a report of the result."""
    try:
        simulation.put_and_record(participant, *write)
    except RevisionMismatchError:
        return


async def _no_wait():
    return None


class _StoreClient:
    """Store client of one participant; its calls fail with the participant's current fault."""

    def __init__(self, simulation, participant):
        self._simulation = simulation
        self._participant = participant

    async def get(self, key):
        self._participant.read_count += 1
        await _next_step()
        if self._participant.fault is not Fault.NONE:
            raise PlatformUnavailableError("fault")
        item = self._simulation.store.get(key)
        await _next_step()
        if self._participant.ids_at_first_read is None:
            document = decode_document(item.value) if item else ConfigDocument()
            self._participant.ids_at_first_read = publication_ids(document)
        return item and VersionedValue(item.key, item.value, item.revision)

    async def put(self, key, value, *, expected_revision):
        await _next_step()
        write = self._participant, key, value, expected_revision
        fault = self._participant.fault
        if fault is Fault.REFUSED:
            raise PlatformUnavailableError("fault")
        if fault is Fault.DELAYED:
            self._simulation.delayed.append(write)
        if fault is Fault.RESPONSE_LOST:
            put_ignoring_conflict(self._simulation, *write)
        if fault is not Fault.NONE:
            self._participant.has_unknown_write = True
            raise UnknownOutcomeError("fault")
        try:
            revision = self._simulation.put_and_record(*write)
        except RevisionMismatchError:
            raise ConflictError("conflict") from None
        await _next_step()
        return revision


def changes():
    """Strategy: the changes of two or three publishers; every value is different."""
    names = st.sampled_from([("lookups",), ("postings",), ("lookups", "postings")])
    services = st.tuples(names, st.sampled_from(["team", "team", "team", "other-team"]))
    drawn_changes = st.lists(st.one_of(services, services, st.booleans()), min_size=2, max_size=3)
    return drawn_changes.map(
        lambda all_drawn: [
            _change_from(number, drawn_change) for number, drawn_change in enumerate(all_drawn)
        ]
    )


def _change_from(number, drawn_change):
    if isinstance(drawn_change, bool):
        return SetZoneState(drawn_change)
    names, team = drawn_change
    return PublishServices(dict.fromkeys(names, 100 + number), team)


PARTICIPANTS = st.integers(0, 11)
# A publication, or one round of an entry, takes five steps without interference.
STEP_COUNTS = st.sampled_from([1, 2, 3, 5, 5])
EVENTS = {
    "steps": st.builds(Step, PARTICIPANTS, steps=STEP_COUNTS),
    "faults": st.builds(Step, PARTICIPANTS, st.sampled_from(Fault), STEP_COUNTS),
    "delays": st.just(Deliver()),
    "rewinds": st.builds(Rewind, st.integers(1, 3)),
    "gossip": st.builds(Gossip, st.integers(0, ENTRY_COUNT - 1), st.integers(0, ENTRY_COUNT - 1)),
}


def scripts(kinds):
    """Strategy: a sequence of events of the named kinds, most of them steps."""
    chosen = [EVENTS["steps"]] * 2 + [EVENTS[kind] for kind in kinds if kind != "steps"]
    return st.lists(st.one_of(chosen), min_size=8, max_size=30)


def run(changes, script):
    """Return the simulation after the script and after all participants have finished."""
    simulation = PublishingSimulation(changes)
    for event in script:
        simulation.apply(event)
    simulation.finish()
    return simulation
