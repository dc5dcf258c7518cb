"""The prefill step of a streamed call: a prefill engine computes the KV cache of the prompt."""

from __future__ import annotations

from collections.abc import Callable, Collection
from datetime import timedelta

from lavenderrun.dispatch import CallRequirements, SilenceLimits
from lavenderrun.gateway._call_log import CallLog
from lavenderrun.gateway._call_services import CallServices
from lavenderrun.gateway._move_result import MoveResult
from lavenderrun.gateway._prefill_move import PrefillMove, find_move_time, record_move
from lavenderrun.gateway._prefill_run import CallContextFactory, PrefillRun
from lavenderrun.gateway._running_call import AdmittedCall
from lavenderrun.gateway._silence_watch import SilenceWatch
from lavenderrun.kernel import Timer
from lavenderrun.types import BackendId, HeldCache, Member


def find_prefill_engine(
    services: CallServices, admitted: AdmittedCall, tried: Collection[BackendId] = ()
) -> Member | None:
    """Return a prefill engine that is none of *tried*, ``None`` when none takes the prompt."""
    size = admitted.call.size
    requirements = CallRequirements(
        tokens=size.prompt if size else 0,
        tried=tried,
        first_token_due=admitted.arrived + admitted.access.route.objective,
        prefix=services.view.find_reusable_prefix(
            admitted.service, admitted.access.route, admitted.call
        ),
    )
    return services.view.place(admitted.service, "prefill", requirements)


def estimate_prefill(services: CallServices, admitted: AdmittedCall) -> timedelta:
    """Return how long a prefill engine takes from now on, zero when none takes the prompt."""
    member = find_prefill_engine(services, admitted)
    if member is None:
        return timedelta(0)
    tokens = admitted.call.size.prompt if admitted.call.size else 0
    queued = services.view.occupancy.sum_reserved_tokens(member.id)
    speed = services.view.find_balancer(admitted.service).prefill_speed
    return timedelta(seconds=(queued + tokens) / speed)


class PrefillStep:
    """Has a prefill engine compute the prompt; after a failure the decode engine does it.

    A silent run is kept, and the decode slot with it, until another engine has taken the prompt on:
    a prefill engine once it has answered, or the decode engine once it has. Without another prefill
    engine the decode engine gets the prompt as soon as it may compute; the run is then *left*, and
    goes on until :meth:`end_left`.

    :param may_compute: tells whether the decode engine may compute the prompt now.
    :param on_done: called once with the held KV cache, or ``None`` without one.
    :ivar was_sent: whether the prompt was sent to a prefill engine.
    :ivar is_left: whether the decode engine computes the prompt while the silent run goes on.
    :ivar on_late: called with what a run that was left returned after all.
    """

    def __init__(
        self,
        services: CallServices,
        admitted: AdmittedCall,
        call_log: CallLog,
        may_compute: Callable[[], bool],
        on_done: Callable[[HeldCache | None], None],
    ) -> None:
        self._services = services
        self._admitted = admitted
        self._call_log = call_log
        self._may_compute = may_compute
        self._on_done: Callable[[HeldCache | None], None] | None = on_done
        self._make_context: CallContextFactory | None = None
        self._run: PrefillRun | None = None
        self._move: PrefillMove | None = None
        self._tried: list[Member] = []
        self._watch = SilenceWatch(
            services,
            admitted,
            call_log,
            services.view.prefill_silence,
            lambda: 1,
            lambda: True,
            self._move_silent,
            may_move=True,
        )
        self._leave_timer: Timer | None = None
        self.was_sent = False
        self.is_left = False
        self.on_late: Callable[[HeldCache | None], None] | None = None

    def start(self, make_context: CallContextFactory) -> None:
        """Send the prompt to the prefill engine with the shortest queue."""
        self._make_context = make_context
        member = self._find_engine()
        if member is None:
            self._call_log.write("prefill_skipped", "no prefill engine takes calls")
            self._finish(None)
            return
        self._tried.append(member)
        self.was_sent = True
        self._run = PrefillRun(
            self._services, self._admitted, self._call_log, member, self._take_end
        )
        self._watch.begin(member, self._run.expected)
        self._run.send(make_context)

    def abandon(self) -> None:
        """Cancel the step; the engines drop their work."""
        self._on_done = None
        self._drop_move(MoveResult.ENDED)
        if self.is_left:
            self.end_left(is_taken=False)
        elif self._run is not None:
            self._run.abandon()
            self._end_run()

    def end_left(self, *, is_taken: bool) -> None:
        """End a run that was left.

        :param is_taken: the decode engine has answered, so that it took the prompt on.
        """
        run = self._run
        if not self.is_left or run is None:
            return
        self.is_left = False
        self._end_leave(MoveResult.MOVED if is_taken else MoveResult.ENDED)
        if is_taken:
            run.give_up_silent(is_engine_silent=self._watch.is_engine_silent())
        else:
            run.abandon()
        self._end_run()

    def _find_engine(self, silent: frozenset[BackendId] = frozenset()) -> Member | None:
        """Return a prefill engine that was not tried and is none of *silent*."""
        tried = silent | {member.id for member in self._tried}
        return find_prefill_engine(self._services, self._admitted, tried)

    def _take_end(self, run: PrefillRun) -> None:
        """Pass on the held KV cache, or go on without it when the prefill failed."""
        if run.has_head:
            self._watch.note_head()
        if self.is_left:
            self.is_left = False
            self._end_leave(MoveResult.SPOKE if run.cache else MoveResult.ENDED)
            self._end_run()
            if self.on_late is not None:
                self.on_late(run.cache)
            return
        if run.cache is None and self._move is not None:
            # the other engine goes on as the only one
            self._run = self._move.take_over(self._take_end)
            self._move = None
            self._watch.begin(self._run.member, self._run.expected)
            return
        self._drop_move(MoveResult.SPOKE if run.has_head else MoveResult.ENDED)
        self._end_run()
        self._finish(run.cache)

    def _move_silent(self, limits: SilenceLimits) -> None:
        """Let another prefill engine compute the prompt, or the decode engine without one."""
        run, make_context = self._run, self._make_context
        if run is None or make_context is None:
            return
        tracker, now = self._services.view.prefill_silence, self._services.clock.now()
        member = self._find_engine(frozenset(tracker.list_silent(limits.quiet, now)))
        if member is not None and not self._services.view.health.is_paused(member.id, now):
            self._tried.append(member)
            self._move = PrefillMove(
                self._services,
                self._admitted,
                self._call_log,
                run.member,
                member,
                self._take_moved,
                self._keep_silent,
            )
            self._move.start(make_context)
        elif self._may_compute():
            tracker.begin_move(run.member.id)
            self.is_left = True
            # a decode engine that is lost, too, must not hold up the other prompts
            self._leave_timer = self._services.clock.call_later(
                find_move_time(run.expected), lambda: self._end_leave(MoveResult.NO_ANSWER)
            )
            self._finish(None)
        else:
            self._watch.look_again(has_failed=False)

    def _take_moved(self, cache: HeldCache) -> None:
        """Give up the silent run, because the other engine has answered."""
        self._move = None
        if self._run is not None:
            self._run.give_up_silent(is_engine_silent=self._watch.is_engine_silent())
        self._end_run()
        self._finish(cache)

    def _keep_silent(self) -> None:
        self._move = None
        self._watch.look_again()

    def _drop_move(self, result: MoveResult) -> None:
        move, self._move = self._move, None
        if move is not None:
            move.abandon(result)

    def _end_leave(self, result: MoveResult) -> None:
        timer, self._leave_timer = self._leave_timer, None
        if timer is None or self._run is None:
            return
        timer.cancel()
        silent = self._run.member
        record_move(self._services, self._admitted, self._call_log, silent, None, result)

    def _end_run(self) -> None:
        self._run = None
        self._watch.end()

    def _finish(self, cache: HeldCache | None) -> None:
        on_done, self._on_done = self._on_done, None
        if on_done is not None:
            on_done(cache)
        elif cache is not None:
            self._services.free_cache(cache)
