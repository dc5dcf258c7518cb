"""Sends a stream to a decode engine."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from lavenderrun.gateway._attempt import Attempt, AttemptListener
from lavenderrun.gateway._call_log import CallLog
from lavenderrun.gateway._call_services import CallServices
from lavenderrun.gateway._decode_place import DecodePlace
from lavenderrun.gateway._event_relay import EventRelay
from lavenderrun.types import CallContext, GatewayCall, HeldCache, HoldId, Member, PartId


class ResumedContextFactory(Protocol):
    """Returns the context in which a stream is sent to an engine."""

    def __call__(
        self,
        member: Member,
        *,
        cache: HeldCache | None,
        resume_after: str | None,
        hold: HoldId | None,
    ) -> CallContext:
        """Return the context for a send to *member*."""


class StreamSender:
    """Sends one stream, after its last whole event, to one decode engine after another.

    :param tried: servers that the stream was sent to; those of further sends are added.
    """

    def __init__(
        self,
        services: CallServices,
        call: GatewayCall,
        call_log: CallLog,
        events: EventRelay,
        tried: list[Member],
        make_context: ResumedContextFactory,
    ) -> None:
        self._services = services
        self._call = call
        self._call_log = call_log
        self._events = events
        self._tried = tried
        self._make_context = make_context

    def make_attempt(self, place: DecodePlace, listener: AttemptListener) -> Attempt:
        """Return an attempt that :meth:`send` sends."""
        if place.member not in self._tried:
            self._tried.append(place.member)
        parts: Sequence[PartId] = () if self._events.has_progressed else self._call.shared_parts
        return Attempt(
            self._services,
            self._call,
            place.member,
            listener,
            self._call_log,
            has_events=True,
            suspect_parts=parts,
        )

    def send(self, attempt: Attempt, place: DecodePlace, cache: HeldCache | None) -> None:
        """Send the stream, with the KV cache of its prompt if there is one."""
        hold = place.use_hold()
        self._call_log.write(
            "send",
            "sent to decode engine",
            member=place.member.id,
            cache=cache.source if cache else None,
            hold=hold,
            resume_after=self._events.last_id,
            attempt=len(self._tried),
            **self._services.view.describe_members(),
        )
        size = self._call.size
        if cache is None and size is not None and size.prompt:
            self._services.view.begin_computation(place.member, size.prompt)
        context = self._make_context(
            place.member, cache=cache, resume_after=self._events.last_id, hold=hold
        )
        attempt.send(context, force_new=True, unused_connection=place.take_connection())
