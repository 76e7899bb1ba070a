"""Checks of the soak: its promises, judged by what clients and back ends saw. See soak.py for the list."""

DRAIN_S = 2.0        # the platform's bound on new work for a back end that leaves
CALM_S = 3.0         # without trouble of the store, after which its news bind
GRACE_S = 8          # from SIGTERM to the end
CRASHES_TO_BLOCK = 3
BACKOFF_SETTLES_S = 0.5  # the platform's bound on what was on its way
BACKOFF_ARRIVALS = 2    # the platform's bound within what is left of that time
SPARE_S = 0.3        # beside the measured slack: a request on its way


class Checks:
    """Part of a soak that has been played: reads what it noted, and notes findings."""

    def find(self, promise, text):
        self.findings.append("%s: %s" % (promise, text))

    def check(self):
        results = [r for client in self.clients for r in client.results]
        runs = {}
        for backend in self.starts:
            for run in backend.runs:
                runs.setdefault(run[0], []).append((backend, run[3]))
        for result in results:
            self.check_result(result, runs.get(result.identity, []))
        edges = {r.identity: r.edge for r in results}
        for caller in self.crashing:
            edges.update(caller.edges)
        for backend in self.starts:
            self.check_weights(backend)
            self.check_drain(backend, edges)
            self.check_leaving(backend, edges)
            self.check_backoff(backend, edges)
        for caller in self.crashing:
            self.check_crashing(caller)
        for identity in [run[0] for run in self.trap.runs] + self.trap.turned_away:
            self.find("entries", "%s was sent to what only bad entries name" % identity)
        self.counts = (len(results), sum(r.whole for r in results))

    def check_result(self, result, runs):
        if result.status == 200 and not result.whole and not result.cut:
            self.find("whole", "%s from %s is not whole" % (result.identity, result.edge))
        if result.blocked:
            self.find("others", "%s was refused by %s" % (result.identity, result.edge))
        if result.kind == "put" and len(runs) > 1:
            self.find("once", "%s ran %d times" % (result.identity, len(runs)))
        if result.status in (429, 503) and runs:
            self.find("not-run", "%s was answered %d and ran" % (result.identity, result.status))
        if result.cut and runs:  # it was read
            self.check_cut(result, [backend for backend, _ in runs])
        if result.cut and result.status == 200 and result.kind == "stream":
            self.check_stream(result, [backend for backend, _ in runs])

    @staticmethod
    def is_over(result):
        """The time that its client gave it had passed."""
        return result.ended - result.sent >= result.deadline - SPARE_S

    @staticmethod
    def was_broken_off(result, backends):
        return any(result.identity in backend.broken_off for backend in backends)

    def check_stream(self, result, backends):
        if self.was_broken_off(result, backends):
            return
        if self.is_over(result):
            return
        if any(ip == result.edge and begin <= result.ended <= end for ip, begin, end in self.away):
            return
        self.find("streams", "%s was cut by %s after %.2f s" %
                  (result.identity, result.edge, result.ended - result.sent))

    def check_weights(self, backend):
        for version in backend.corrupt_starts:
            self.find("weights", "%s took version %d from a stage that was not whole" %
                      (backend.identity, version))

    def check_crashing(self, caller):
        ends = sorted(when for backend in self.starts for bodies, when in backend.crashes
                      if caller.body in bodies)
        if len(ends) < CRASHES_TO_BLOCK:
            return
        latest = ends[CRASHES_TO_BLOCK - 1] + CALM_S + 2 * self.slack.most
        late = [run for backend in self.starts for run in backend.runs
                if run[2] == caller.body and run[3] > latest
                and not self.was_away(caller.edges[run[0]], run[3] - CALM_S, run[3])]
        if late:
            self.find("crashing", "%s reached engines %d times later than %.1f s after the third end"
                      % (caller.body.decode(), len(late), latest - ends[CRASHES_TO_BLOCK - 1]))

    def check_cut(self, result, backends):
        """A request that was under way at a stop, or began soon after, is not cut by it; its own
        deadline may end it meanwhile, or the end of its engine when no other has its weights."""
        if self.is_over(result) or self.was_broken_off(result, backends):
            return
        for edge, at in self.stops:
            if (edge == result.edge and at - 2 < result.sent < at + 3
                    and at < result.ended < at + GRACE_S - 1):
                self.find("planned", "%s was cut by the stop of %s" % (result.identity, edge))

    def is_in_touch(self, edge, at):
        """Whether neither the store nor the edge had trouble in the last seconds."""
        if any(begin <= at and at - CALM_S <= end for begin, end in self.troubles):
            return False
        return not any(ip == edge and begin <= at <= end for ip, begin, end in self.away)

    def was_away(self, edge, begin, end):
        """Whether the edge was killed, stopped or frozen between two moments."""
        return any(ip == edge and begin <= until and since <= end for ip, since, until in self.away)

    @staticmethod
    def was_held_up(backend, at):
        """Whether the back end's link was disturbed in the last seconds: what arrives then was sent earlier."""
        return any(begin <= at and at - CALM_S <= end for begin, end in backend.link_troubles)

    def check_leaving(self, backend, edges):
        """A restart or freeze of the edge since that answer excuses it; what a start said does not bind
        the next one."""
        bound = DRAIN_S + SPARE_S + 2 * self.slack.most
        told = {}
        for identity, when, start in backend.answers_leaving:
            if identity in edges:
                told.setdefault((edges[identity], start), []).append(when)
        for identity, at, start in backend.arrivals:
            edge = edges.get(identity)
            if self.was_held_up(backend, at):
                continue
            late = [when for when in told.get((edge, start), ())
                    if at > when + bound and not self.was_away(edge, when, at)]
            if late:
                self.find("leaving", "%s reached %s %.2f s after an answer told %s that it leaves" %
                          (identity, backend.identity, at - late[0], edge))

    def check_backoff(self, backend, edges):
        for asked_by, asked_at, seconds, start in backend.backoffs:
            edge = edges.get(asked_by)
            begin, end = asked_at + BACKOFF_SETTLES_S + 2 * self.slack.most, asked_at + seconds
            if not edge or self.was_away(edge, asked_at, end) or self.was_held_up(backend, end):
                continue
            count = sum(edges.get(identity) == edge and of == start and begin < at < end
                        for identity, at, of in backend.arrivals)
            if count > BACKOFF_ARRIVALS:
                self.find("backoff", "%s got %d requests of %s in a backoff of %.2f s" %
                          (backend.identity, count, edge, seconds))

    def check_drain(self, backend, edges):
        left = self.left_at.get(backend.identity)
        if left is None or any(begin <= left <= end + CALM_S for begin, end in self.troubles):
            return  # what the store says in trouble, or just after it, binds nobody
        latest = left + DRAIN_S + SPARE_S + 2 * self.slack.most
        for identity, at, _ in backend.arrivals:
            if at > latest and identity not in backend.turned_away and \
                    self.is_in_touch(edges.get(identity), at) and \
                    not self.was_held_up(backend, at):
                self.find("drain", "%s reached %s %.2f s after it left" %
                          (identity, backend.identity, at - left))
