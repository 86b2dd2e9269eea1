"""Racing publishers and entries over a faulty in-memory store, one step at a time.

Every call to the store is split in two steps, sending and receiving, so that any other
participant can act between them. A script of events decides the order and the faults.
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

ENTRIES = 2
# Few enough for a script to fail them all.
ATTEMPTS = 3
# Steps that finish every publisher: three attempts of four steps each, with a margin.
STEPS_TO_FINISH = 30
# Three rounds of read and write for each entry: finish the current one, combine, see the result.
STEPS_TO_AGREE = 4 * 3 * ENTRIES


class Fault(Enum):
    """What happens to one call."""

    NONE = "none"
    REFUSED = "refused"
    REQUEST_LOST = "request lost"
    RESPONSE_LOST = "response lost"
    DELAYED = "delayed"


@dataclass(frozen=True)
class Step:
    """Lets one participant go on by some steps; the call in the first one suffers ``fault``."""

    who: int
    fault: Fault = Fault.NONE
    steps: int = 1


@dataclass(frozen=True)
class Rewind:
    """Returns the store to the state after an earlier write."""

    back: int


@dataclass(frozen=True)
class Deliver:
    """Lets a delayed write arrive."""


@dataclass(frozen=True)
class Gossip:
    """Lets one entry offer its document to another."""

    giver: int
    taker: int


@dataclass
class Participant:
    """One publisher or entry: a coroutine and what is known of it."""

    name: str
    coroutine: object = None
    fault: Fault = Fault.NONE
    done: bool = False
    result: object = None
    error: MergeError | None = None
    started_at: int = 0
    accepted_at: int | None = None
    first_seen: frozenset | None = None
    reads: int = 0
    unresolved: bool = False


def service(name, value=0, *, team="team", hosts=()):
    """Return a service that ``value`` tells from others of the same name."""
    target = TargetLimits(warmup_ms=value)
    return Service(name=name, team=team, hosts=[f"{name}.example", *hosts], target=target)


@dataclass(frozen=True)
class PublishServices:
    """A publisher's wish to publish services, by name and a distinguishing value."""

    values: dict
    team: str = "team"

    async def send(self, publisher):
        """Publish."""
        return await publisher.publish(self.contents().values())

    def contents(self):
        """Return the wanted content by item."""
        return {
            f"service/{name}": service(name, value, team=self.team)
            for name, value in self.values.items()
        }


@dataclass(frozen=True)
class OrderZone:
    """A publisher's wish to take a zone out or in."""

    out: bool

    async def send(self, publisher):
        """Publish."""
        return await publisher.set_zone_state("north", out=self.out)

    def contents(self):
        """Return the wanted content by item."""
        return {"zone/north": self.out}


@coroutine
def _pause():
    yield


def ids_of(document):
    """Return the publication ids in the history of a document."""
    return frozenset(entry.publication_id for entry in document.history)


class World:
    """The store, the participants, and a record of what really happened."""

    def __init__(self, changes):
        self.store = Store()
        self.snapshots = [self.store.snapshot()]
        self.rewound = False
        self.delayed = []
        self.clock = 0
        self.witnessed = set()
        self.changes = changes
        self.in_force = [ConfigDocument() for _ in range(ENTRIES)]
        self.publishers = [Participant(f"publisher-{number}") for number in range(len(changes))]
        for change, participant in zip(changes, self.publishers, strict=True):
            participant.coroutine = self._publish(change, participant)
        self.entries = [Participant(f"entry-{number}") for number in range(ENTRIES)]
        for number, participant in enumerate(self.entries):
            participant.coroutine = self._keep_following(number, participant)

    def apply(self, event):
        """Carry out one event of the script."""
        self.clock += 1
        if isinstance(event, Step):
            everybody = [*self.publishers, *self.entries]
            participant = everybody[event.who % len(everybody)]
            self._step(participant, event.fault)
            for _ in range(event.steps - 1):
                self._step(participant, Fault.NONE)
        elif isinstance(event, Rewind):
            self._rewind(event.back)
        elif isinstance(event, Deliver) and self.delayed:
            put_ignoring_conflict(self, *self.delayed.pop(0))
        elif isinstance(event, Gossip):
            self._take(
                event.taker, newer_document(self.in_force[event.taker], self.in_force[event.giver])
            )

    def finish(self):
        """Let all participants finish without faults."""
        self.delayed.clear()
        for _ in range(STEPS_TO_FINISH):
            if all(publisher.done for publisher in self.publishers):
                break
            self._step_everybody()
        assert all(publisher.done for publisher in self.publishers)
        for _ in range(STEPS_TO_AGREE):
            self._step_everybody()
        for entry in self.entries:
            entry.coroutine.close()

    def _step_everybody(self):
        for who in range(len(self.publishers) + ENTRIES):
            self.apply(Step(who))

    def stored(self):
        """Return the document in the store."""
        entry = self.store.get(CONFIG_KEY)
        return decode_document(entry.value) if entry else ConfigDocument()

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
            _Connection(self, participant),
            attempts=ATTEMPTS,
            new_id=lambda: participant.name,
            pause=lambda _attempt: _nothing(),
            wall_ms=lambda: self.clock,
        )
        try:
            participant.result = await change.send(publisher)
        except MergeError as error:
            participant.error = error

    async def _keep_following(self, number, participant):
        connection = _Connection(self, participant)
        while True:
            before = self.in_force[number]
            try:
                result = await sync_with_store(connection, before)
            except PlatformError:
                continue
            if self.in_force[number] is before:
                self._take(number, result.document)

    def _take(self, number, document):
        """Put a document in force at an entry; it must never take anything back."""
        before = self.in_force[number]
        assert document.version >= before.version, "an entry reverted to a lower version"
        assert ids_of(before) <= ids_of(document), "an entry dropped an accepted change"
        self.in_force[number] = document
        self.witnessed |= ids_of(document)

    def _rewind(self, back):
        chosen = self.snapshots[max(0, len(self.snapshots) - 1 - back)]
        self.rewound = self.rewound or back > 0
        self.store.rewind(chosen, now_ms=0)
        self.snapshots.append(self.store.snapshot())

    def try_put(self, participant, key, value, expected_revision):
        """Write to the store and record that it accepted the participant's document."""
        revision = self.store.put(key, value, expected_revision=expected_revision, lease_id=None)
        self.snapshots.append(self.store.snapshot())
        participant.accepted_at = self.clock
        return revision


def put_ignoring_conflict(world, participant, *write):
    """Write without anybody learning what became of it."""
    try:
        world.try_put(participant, *write)
    except RevisionMismatchError:
        return


async def _nothing():
    return None


class _Connection:
    """One participant's client of the store; its calls suffer the participant's faults."""

    def __init__(self, world, participant):
        self._world = world
        self._participant = participant

    async def get(self, key):
        self._participant.reads += 1
        await _pause()
        if self._participant.fault is not Fault.NONE:
            raise PlatformUnavailableError("fault")
        entry = self._world.store.get(key)
        await _pause()
        if self._participant.first_seen is None:
            document = decode_document(entry.value) if entry else ConfigDocument()
            self._participant.first_seen = ids_of(document)
        return entry and VersionedValue(entry.key, entry.value, entry.revision)

    async def put(self, key, value, *, expected_revision):
        await _pause()
        write = self._participant, key, value, expected_revision
        fault = self._participant.fault
        if fault is Fault.REFUSED:
            raise PlatformUnavailableError("fault")
        if fault is Fault.DELAYED:
            self._world.delayed.append(write)
        if fault is Fault.RESPONSE_LOST:
            put_ignoring_conflict(self._world, *write)
        if fault is not Fault.NONE:
            self._participant.unresolved = True
            raise UnknownOutcomeError("fault")
        try:
            revision = self._world.try_put(*write)
        except RevisionMismatchError:
            raise ConflictError("conflict") from None
        await _pause()
        return revision


def changes():
    """Strategy: what two or three publishers want; every value is different."""
    names = st.sampled_from([("lookups",), ("postings",), ("lookups", "postings")])
    services = st.tuples(names, st.sampled_from(["team", "team", "team", "other-team"]))
    wishes = st.lists(st.one_of(services, services, st.booleans()), min_size=2, max_size=3)
    return wishes.map(lambda drawn: [_wish(number, wish) for number, wish in enumerate(drawn)])


def _wish(number, wish):
    if isinstance(wish, bool):
        return OrderZone(wish)
    names, team = wish
    return PublishServices(dict.fromkeys(names, 100 + number), team)


PARTICIPANTS = st.integers(0, 11)
# A publication or one round of an entry takes five steps when nothing interferes.
STEP_COUNTS = st.sampled_from([1, 2, 3, 5, 5])
EVENTS = {
    "steps": st.builds(Step, PARTICIPANTS, steps=STEP_COUNTS),
    "faults": st.builds(Step, PARTICIPANTS, st.sampled_from(Fault), STEP_COUNTS),
    "delays": st.just(Deliver()),
    "rewinds": st.builds(Rewind, st.integers(1, 3)),
    "gossip": st.builds(Gossip, st.integers(0, ENTRIES - 1), st.integers(0, ENTRIES - 1)),
}


def scripts(kinds):
    """Strategy: a sequence of events of the named kinds, most of them steps."""
    chosen = [EVENTS["steps"]] * 2 + [EVENTS[kind] for kind in kinds if kind != "steps"]
    return st.lists(st.one_of(chosen), min_size=8, max_size=30)


def run(changes, script):
    """Return the world after the script and after everybody has finished."""
    world = World(changes)
    for event in script:
        world.apply(event)
    world.finish()
    return world
