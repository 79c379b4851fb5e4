"""Model of a host out of step that judges by its own reads of the servers' records.

The host misses messages of the others or gets them late, and its own reads take any
time, while servers of a second version join and leave and a stream begins elsewhere.
Its caller takes the stream up, again after each refusal. The view of the records, what
a read covers and the decision about the stream are the production code of a host.
"""

from enum import StrEnum
from typing import NamedTuple

from minicheck import Protocol

from cornelnotch.gateway.record_reads import RecordReads
from cornelnotch.gateway.records import KeyedView, Record, RecordPage
from cornelnotch.gateway.software_history import SoftwareHistory
from cornelnotch.gateway.stream_origins import StreamOrigin

__all__ = ["ReadMutant", "create_read_protocol"]

SERVICE = "llm"
VERSIONS = (0, 1)
NONE = -1
ALL = -1
# Times are in steps; now is 0.
NEVER = -100
# How long a caller may resume a stream.
LIFETIME = 2
# Records are stale if they are older.
MAX_AGE = 1


class ReadMutant(StrEnum):
    """Protocol variant: unmodified (`NONE`) or with the described fault."""

    NONE = "none"
    AGE = "fresh records count as a read after the take-up"
    EARLY_READ = "a read counts from its end"
    MESSAGES = "messages of other hosts count as a read"
    NO_SKIP = "records that were skipped do not end the known span"
    FULL_READ = "a read after the store forgot its history skips nothing"
    LAST_RECORDS = "versions that joined and left within one read are not seen"
    EARLY_END = "a version that leaves was last seen before"
    ONLY_NEWS = "a read without new records does not count"


class Entry(NamedTuple):
    """Record of the servers of one version; they serve from it on, or no more."""

    version: int
    is_served: bool


class Host(NamedTuple):
    """The host; `listed` are offsets of records by version, `seen` the last times.

    All versions since `since` are known, and what the store had at `read` was read.
    The records seem to be of `fresh`; that is 0 where nothing depends on it.
    """

    head: int = 1
    listed: tuple[int, int] = (0, NONE)
    since: int = NEVER
    seen: tuple[int, int] = (0, NEVER)
    read: int = 0
    fresh: int = 0


class Page(NamedTuple):
    """Records under way to the host, all newest ones if `start` is `ALL`."""

    start: int
    end: int


class Read(NamedTuple):
    """Read of the host; its page is None until the store responds."""

    begun: int
    start: int
    page: Page | None = None


class State(NamedTuple):
    """State of the system; the stream began at `version`, and is taken up at `asked`.

    The store has the records from offset `first` on, and the newest of each version.
    """

    log: tuple[Entry, ...]
    first: int
    version: int
    begun: int
    asked: int | None
    host: Host
    read: Read | None
    message: Page | None
    is_resumed: bool
    joined: bool


def _create_view(state: State) -> KeyedView:
    host = state.host
    listed = [_create_record(state.log, at) for at in host.listed if at != NONE]
    return KeyedView(host.head, {record.key: record for record in listed})


def _create_record(log: tuple[Entry, ...], offset: int) -> Record:
    entry = log[offset]
    return Record(str(entry.version), b"x" if entry.is_served else b"", offset)


def _create_page(log: tuple[Entry, ...], page: Page) -> RecordPage:
    records = [_create_record(log, at) for at in range(max(page.start, 0), page.end)]
    if page.start == ALL:
        newest = {record.key: record for record in records}
        records = [record for record in newest.values() if record.value]
    return RecordPage(records, page.end, page.end)


def _list_served(log: tuple[Entry, ...]) -> list[int]:
    served = {entry.version: entry.is_served for entry in log}
    return [version for version, is_served in served.items() if is_served]


def _list_offsets(view: KeyedView) -> tuple[int, int]:
    records = [view.records.get(str(version)) for version in VERSIONS]
    offsets = [NONE if record is None else record.offset for record in records]
    return offsets[0], offsets[1]


def _see(host: Host, versions: set[int]) -> Host:
    seen = [0 if v in versions else host.seen[v] for v in VERSIONS]
    return host._replace(seen=(seen[0], seen[1]))


def _list_versions(host: Host) -> set[int]:
    return {version for version in VERSIONS if host.listed[version] != NONE}


def _create_history(host: Host) -> SoftwareHistory:
    history = SoftwareHistory(host.since)
    for version in VERSIONS:
        if host.seen[version] > NEVER:
            history.note(StreamOrigin(SERVICE, str(version)), host.seen[version])
    return history


def _write(state: State, entry: Entry) -> State:
    return state._replace(log=(*state.log, entry))


def _wait(state: State) -> State:
    host, read = state.host, state.read
    host = host._replace(
        since=host.since - 1,
        seen=(host.seen[0] - 1, host.seen[1] - 1),
        read=host.read - 1,
        fresh=host.fresh - 1,
    )
    return state._replace(
        begun=state.begun - 1,
        asked=None if state.asked is None else state.asked - 1,
        host=host,
        read=None if read is None else read._replace(begun=read.begun - 1),
    )


class ReadTransitions:
    """Transition system of the protocol or of one of its mutants."""

    def __init__(self, mutant: ReadMutant, has_release: bool) -> None:
        self._mutant = mutant
        self._has_release = has_release

    def list_steps(self, values: tuple) -> list[tuple[str, tuple]]:
        """Return all transitions that are enabled in a state."""
        state = State(*values)
        if state.is_resumed:
            return []
        steps = [
            *self._list_changes(state),
            *self._list_caller_steps(state),
            *self._list_messages(state),
            *self._list_read_steps(state),
        ]
        return [(name, tuple(self.normalize(after))) for name, after in steps]

    def normalize(self, state: State) -> State:
        """Forget times on which no decision depends any more."""
        needed = state.asked or 0
        host, read = state.host, state.read
        seen = [at if at >= -LIFETIME else NEVER for at in host.seen]
        fresh = host.fresh if host.fresh >= -MAX_AGE else NEVER
        host = host._replace(
            since=host.since if host.since > -LIFETIME else NEVER,
            seen=(seen[0], seen[1]),
            read=host.read if host.read >= needed else NEVER,
            fresh=fresh if self._mutant is ReadMutant.AGE else 0,
        )
        if read is not None and read.begun < needed:
            read = read._replace(begun=NEVER)
        begun = NEVER if state.version == NONE else state.begun
        return state._replace(begun=begun, host=host, read=read)

    def _list_changes(self, state: State) -> list[tuple[str, State]]:
        steps = []
        if state.version == NONE or state.begun > 1 - LIFETIME:
            steps.append(("wait", _wait(state)))
        served = _list_served(state.log)
        if self._has_release and len(state.log) == 1:
            steps.append(("join", _write(state, Entry(1, is_served=True))))
        if len(served) > 1:
            steps += [
                ("leave", _write(state, Entry(version, is_served=False)))
                for version in served
            ]
        if not state.first:
            steps.append(("forget", state._replace(first=len(state.log))))
        return steps

    def _list_caller_steps(self, state: State) -> list[tuple[str, State]]:
        if state.version == NONE:
            return [
                ("begin", state._replace(version=version, begun=0))
                for version in _list_served(state.log)
            ]
        if state.begun == 0:
            return []
        if state.asked is None:
            return [("take-up", state._replace(asked=0))]
        return [
            ("refuse", state._replace(asked=None)),
            ("decide", self._decide(state)),
        ]

    def _list_messages(self, state: State) -> list[tuple[str, State]]:
        """Let another host tell what it has just read, and the host hear it or not."""
        end = len(state.log)
        steps = [
            ("tell", state._replace(message=Page(start, end)))
            for start in (ALL, end - 1)
        ]
        if state.message is not None:
            steps.append(("hear", self._hear(state, state.message)))
        return steps

    def _list_read_steps(self, state: State) -> list[tuple[str, State]]:
        read = state.read
        if read is None:
            return [("read", state._replace(read=Read(0, state.host.head)))]
        if read.page is None:
            return [("respond", self._respond(state, read))]
        return [("end-read", self._end_read(state, read, read.page))]

    @staticmethod
    def _respond(state: State, read: Read) -> State:
        if 0 <= read.start < state.first:
            # The host reads all newest records instead.
            host = state.host._replace(head=-1)
            return state._replace(host=host, read=Read(0, ALL))
        return state._replace(read=read._replace(page=Page(read.start, len(state.log))))

    def _end_read(self, state: State, read: Read, page: Page) -> State:
        host = self._apply(state, page)._replace(fresh=0)
        is_news = page.end > page.start
        if host.head >= page.end and (
            is_news or self._mutant is not ReadMutant.ONLY_NEWS
        ):
            reads = RecordReads()
            reads.note(host.read)
            reads.note(0 if self._mutant is ReadMutant.EARLY_READ else read.begun)
            host = host._replace(read=int(reads.find_latest_ms()))
        return state._replace(host=host, read=None)

    def _hear(self, state: State, message: Page) -> State:
        head = state.host.head
        host = state.host
        is_outdated = message.start == ALL and message.end < head
        is_gap = message.start != ALL and not 0 <= message.start <= head
        if not is_outdated and not is_gap:
            host = self._apply(state, message)
        host = host._replace(fresh=0)
        if self._mutant is ReadMutant.MESSAGES:
            host = host._replace(read=0)
        return state._replace(host=host, message=None)

    def _apply(self, state: State, message: Page) -> Host:
        """Apply records as a host does."""
        before, view = state.host, _create_view(state)
        page = _create_page(state.log, message)
        host = before
        versions = set()
        if message.start == ALL:
            if self._is_skip(view, page):
                host = host._replace(since=0)
            view.replace(page)
        else:
            view.apply(page)
            if self._mutant is not ReadMutant.LAST_RECORDS:
                versions = {int(r.key) for r in view.overwritten if r.value}
        host = host._replace(head=view.head, listed=_list_offsets(view))
        versions |= _list_versions(host)
        if self._mutant is not ReadMutant.EARLY_END:
            versions |= _list_versions(before)
        return _see(host, versions)

    def _is_skip(self, view: KeyedView, page: RecordPage) -> bool:
        if self._mutant is ReadMutant.NO_SKIP:
            return False
        if self._mutant is ReadMutant.FULL_READ and view.head < 0:
            return False
        return view.would_skip(page)

    def _decide(self, state: State) -> State:
        assert state.asked is not None
        host = _see(state.host, _list_versions(state.host))
        history = _create_history(host)
        history.confirm(host.read)
        if self._mutant is ReadMutant.AGE and host.fresh >= -MAX_AGE:
            history.confirm(0)
        only = history.find_only(SERVICE, -LIFETIME, state.asked)
        if only is None:
            return state._replace(host=host)
        is_joined = only.software != str(state.version)
        return state._replace(asked=None, is_resumed=True, joined=is_joined)


def create_read_protocol(
    mutant: ReadMutant = ReadMutant.NONE, has_release: bool = True
) -> Protocol:
    """Return the protocol, or a mutant that violates its invariant or its goal.

    The goal can be reached from all states without a release: the stream goes on.
    """
    system = ReadTransitions(mutant, has_release)
    log = (Entry(0, is_served=True),)
    initial = State(log, 0, NONE, NEVER, None, Host(), None, None, False, False)
    return Protocol(
        name=f"reads: {mutant.value}",
        candidate=False,
        fields=State._fields,
        initial=tuple(system.normalize(initial)),
        transitions=system.list_steps,
        invariants={"not_joined": lambda s: not s["joined"]},
        goal=lambda s: s["is_resumed"],
    )
