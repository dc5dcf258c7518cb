"""What entries tell each other about texts that crash servers, and which requests they try."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from datetime import UTC, datetime, timedelta
from random import Random
from types import SimpleNamespace

import msgspec
from entry_links import EntryLinks
from twisted.internet.task import Clock as FakeTime

from lavenderrun.codecs import WireCodec
from lavenderrun.decisions import SharedTexts
from lavenderrun.kernel import Kernel, ReactorClock
from lavenderrun.services import CrashingTextsService
from lavenderrun.types import AttemptId, DocumentVersion, HostRole, Message, RequestId

START = datetime(2026, 1, 1, tzinfo=UTC)
DEADLY = "weld the <|end|> seam"
CODEC = WireCodec()


class EarlierEvidence(msgspec.Struct, tag="part_evidence", frozen=True, array_like=True):
    """The evidence of entries before they knew texts."""

    crashes: Mapping[str, Sequence[tuple[str, float, float]]]
    answered: Mapping[str, float]


class EarlierStrike(msgspec.Struct, tag="strike", frozen=True, array_like=True):
    """Another message of theirs."""

    fingerprint: str


class EarlierBatch(msgspec.Struct, frozen=True, array_like=True):
    """A batch as an entry of an earlier release decodes it."""

    version: int
    messages: list[EarlierEvidence | EarlierStrike]


class Entry(EntryLinks):
    """An entry whose links deliver at once; the service is the whole of it.

    :ivar sent: the batches sent on its links.
    """

    def __init__(self, time: FakeTime, name: str) -> None:
        super().__init__()
        self.name = name
        self.sent: list[bytes] = []
        kernel = Kernel(
            ReactorClock(time, START, zero=0.0),
            SimpleNamespace(hello=lambda: SimpleNamespace(host=name)),
            Random(1),
        )
        kernel.provide("links", self)
        self.service = CrashingTextsService(kernel)
        self.service.start()

    def link_to(self, peer: Entry) -> None:
        def send(message: Message) -> None:
            data = CODEC.encode(DocumentVersion(1), [message])
            self.sent.append(data)
            for received in CODEC.decode(data).messages:
                peer.handlers[type(received)](None, received)

        link = SimpleNamespace(peer=SimpleNamespace(role=HostRole.ENTRY, host=peer.name), send=send)
        self.live.append(link)
        self.on_up(link)


class Fixture:
    """Entries on one fake clock."""

    def __init__(self) -> None:
        self.time = FakeTime()
        self.first, self.second = Entry(self.time, "e1"), Entry(self.time, "e2")

    def crash(self, entry: Entry, number: int) -> None:
        prompt = SharedTexts(f"coil {number} of {DEADLY} in plant {number}")
        sent = START + timedelta(seconds=self.time.seconds())
        self.time.advance(1)
        entry.service.record_crash(prompt, RequestId(f"r{number}"), AttemptId(1), sent)
        self.time.advance(1)


PROMPT = SharedTexts(f"coil 8 of {DEADLY} in plant 8")


def is_refused(entry: Entry) -> bool:
    return entry.service.is_crashing(PROMPT, RequestId("asked"))


# entries of an earlier release closed the link on a message that they did not know, again and again
def test_entries_of_an_earlier_release_decode_all_evidence() -> None:
    fixture = Fixture()
    fixture.first.link_to(fixture.second)
    for number in range(3):
        fixture.crash(fixture.first, number)
    fixture.first.service.record_answer(PROMPT, RequestId("answered"))
    fixture.first.link_to(fixture.second)
    assert len(fixture.first.sent) >= 5
    for data in fixture.first.sent:
        batch = msgspec.msgpack.decode(data, type=EarlierBatch)
        assert isinstance(batch.messages[0], EarlierEvidence)


def test_evidence_of_an_earlier_release_is_read() -> None:
    data = msgspec.msgpack.encode(EarlierBatch(1, [EarlierEvidence({}, {"p": 2.0})]))
    (evidence,) = CODEC.decode(data).messages
    fixture = Fixture()
    fixture.first.handlers[type(evidence)](None, evidence)
    assert not is_refused(fixture.first)


def test_entries_tell_each_other_of_crashes_and_answers() -> None:
    fixture = Fixture()
    fixture.first.link_to(fixture.second)
    for number in range(3):
        fixture.crash(fixture.first, number)
    late = Entry(fixture.time, "e3")
    fixture.second.link_to(late)
    assert [is_refused(e) for e in (fixture.first, fixture.second, late)] == [True] * 3
    fixture.second.service.record_answer(PROMPT, RequestId("answered"))
    assert [is_refused(e) for e in (fixture.first, fixture.second, late)] == [True, False, False]


def connect_entries() -> Fixture:
    """Return two linked entries at which the text was found."""
    fixture = Fixture()
    fixture.first.link_to(fixture.second)
    fixture.second.link_to(fixture.first)
    for number in range(3):
        fixture.crash(fixture.first, number)
    return fixture


def list_admitted(fixture: Fixture, entry: Entry, seconds: int) -> list[int]:
    """Return when requests with the text are let through, of one a second."""
    admitted = []
    for second in range(seconds):
        fixture.time.advance(1)
        if not entry.service.is_crashing(PROMPT, RequestId(f"asked at {second}")):
            admitted.append(second)
    return admitted


# after three crashes of other causes sound requests were refused for 10 minutes, cleared by nothing
def test_sound_requests_are_served_again_after_the_answer_of_a_single_one() -> None:
    fixture = connect_entries()
    (admitted,) = list_admitted(fixture, fixture.first, 70)
    assert not list_admitted(fixture, fixture.second, 70)
    fixture.first.service.record_answer(PROMPT, RequestId(f"asked at {admitted}"))
    assert not is_refused(fixture.first)
    assert not is_refused(fixture.second)


# each request let through crashes one more server
def test_single_requests_with_a_crashing_text_crash_few_servers() -> None:
    fixture, crashes = connect_entries(), 3
    for second in range(1200):
        for entry in (fixture.first, fixture.second):
            request = RequestId(f"asked at {second}")
            if not entry.service.is_crashing(PROMPT, request):
                sent = START + timedelta(seconds=fixture.time.seconds())
                fixture.time.advance(0.1)
                entry.service.record_crash(PROMPT, request, AttemptId(1), sent)
                crashes += 1
                assert entry.service.is_crashing(PROMPT, request)
        fixture.time.advance(1)
    assert 4 <= crashes <= 8


def test_a_probe_may_be_sent_again_and_blocks_others_no_longer_than_a_minute() -> None:
    fixture = connect_entries()
    fixture.time.advance(60)
    for _ in range(2):
        assert not fixture.first.service.is_crashing(PROMPT, RequestId("probe"))
    assert list_admitted(fixture, fixture.first, 70) == [59]
