"""Checks the soak test's invariants by what clients and back ends observed; soak.py lists them."""
import http.client
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_test as platform  # noqa: E402
import rate_limit_check  # noqa: E402

DRAIN_S = 2.0  # platform's bound on requests to a back end after it announced that it leaves
STORE_SETTLE_S = 3.0  # from the end of a store fault until its updates bind edges
STOP_GRACE_S = 8  # from SIGTERM to the exit of an edge
CRASHES_TO_BLOCK = 3
PART_CRASHES = 5  # engines that a part may crash before the time begins in which all edges must know it
MAX_LATE_PART_ARRIVALS = 3
REPEAT_WINDOW_S = 10.0
BACKOFF_SETTLE_S = 0.5  # platform's bound on the arrival of requests in transit
MAX_BACKOFF_ARRIVALS = 2  # platform's bound on requests in the rest of the period
TRANSIT_MARGIN_S = 0.3  # for a request in transit, in addition to the measured scheduling delay
CONFIGURATION_BOUND_S = 2.3  # platform's bound on the use of an older configuration, and transit


class Checks:
    """Mixin of the soak: reads what it recorded, and adds findings."""

    def add_finding(self, promise, text):
        self.findings.append("%s: %s" % (promise, text))

    def check(self):
        results = [r for client in self.clients for r in client.results]
        runs = {}
        for backend in self.backend_starts:
            for run in backend.runs:
                runs.setdefault(run[0], []).append((backend, run[3]))
        for result in results:
            self.check_result(result, runs.get(result.identity, []))
        edges = {r.identity: r.edge for r in results}
        for caller in self.crashing + self.crashing_part_callers:
            edges.update(caller.edges)
        for backend in self.backend_starts:
            self.check_weights(backend)
            self.check_drain(backend, edges)
            self.check_leaving(backend, edges)
            self.check_backoff(backend, edges)
            self.check_limits(backend, edges)
        for caller in self.crashing:
            self.check_crashing(caller)
        for caller in self.crashing_part_callers:
            self.check_crashing_part(caller)
        self.check_repeats()
        for identity in [run[0] for run in self.trap.runs] + self.trap.misdirected:
            self.add_finding("entries", "%s was sent to what only bad entries name" % identity)
        self.counts = (len(results), sum(r.whole for r in results))

    def check_result(self, result, runs):
        if result.status == 200 and not result.whole and not result.cut:
            self.add_finding("whole", "%s from %s is not whole" % (result.identity, result.edge))
        if result.blocked:
            self.add_finding("others", "%s was refused by %s" % (result.identity, result.edge))
        if result.kind == "put" and len(runs) > 1:
            self.add_finding("once", "%s ran %d times" % (result.identity, len(runs)))
        if result.status in (429, 503) and runs:
            self.add_finding("not-run", "%s was answered %d and ran" % (result.identity, result.status))
        if result.cut and runs:  # a run shows that it was read
            self.check_cut(result, [backend for backend, _ in runs])
        if result.cut and result.status == 200 and result.kind == "stream":
            self.check_stream(result, [backend for backend, _ in runs])

    @staticmethod
    def deadline_passed(result):
        """Whether the deadline that its client gave it had passed."""
        return result.ended - result.sent >= result.deadline - TRANSIT_MARGIN_S

    @staticmethod
    def was_aborted(result, backends):
        return any(result.identity in backend.aborted_streams for backend in backends)

    def check_stream(self, result, backends):
        if self.was_aborted(result, backends):
            return
        if self.deadline_passed(result):
            return
        if any(ip == result.edge and begin <= result.ended <= end for ip, begin, end in self.edge_outages):
            return
        self.add_finding("streams", "%s was cut by %s after %.2f s" %
                         (result.identity, result.edge, result.ended - result.sent))

    def check_weights(self, backend):
        for version in backend.corrupt_loads:
            self.add_finding("weights", "%s took version %d from a stage that was not whole" %
                             (backend.identity, version))

    def check_crashing(self, caller):
        ends = sorted(when for backend in self.backend_starts for bodies, when in backend.crashes
                      if caller.body in bodies)
        if len(ends) < CRASHES_TO_BLOCK:
            return
        latest = ends[CRASHES_TO_BLOCK - 1] + STORE_SETTLE_S + 2 * self.slack.max_s
        late = [run for backend in self.backend_starts for run in backend.runs
                if run[2] == caller.body and run[3] > latest
                and not self.was_unavailable(caller.edges[run[0]], run[3] - STORE_SETTLE_S, run[3])]
        if late:
            self.add_finding("crashing", "%s reached engines %d times later than %.1f s after the third end"
                             % (caller.body.decode(), len(late), latest - ends[CRASHES_TO_BLOCK - 1]))

    def check_crashing_part(self, caller):
        ends = sorted(when for backend in self.backend_starts for requests, when in backend.crashes
                      if any(identity in caller.edges for identity in requests))
        if len(ends) < PART_CRASHES:
            return
        latest = ends[PART_CRASHES - 1] + STORE_SETTLE_S + 2 * self.slack.max_s
        late = [run for backend in self.backend_starts for run in backend.runs
                if run[0] in caller.edges and run[3] > latest
                and not self.was_unavailable(caller.edges[run[0]], run[3] - STORE_SETTLE_S, run[3])]
        if len(late) > MAX_LATE_PART_ARRIVALS:
            self.add_finding("parts", "requests with part %s reached engines %d times later than %.1f s after the "
                             "fifth end; %d ended" % (caller.part, len(late), latest - ends[PART_CRASHES - 1], len(ends)))

    def check_repeats(self):
        """The sum over all edges, and over all processes of each, in any window."""
        for service in ("llm", "records"):
            arrivals = sorted((at, identity) for backend in self.backend_starts if backend.service == service
                              for identity, at, _ in backend.arrivals if identity)
            known, firsts, repeats = set(), [], []
            for at, identity in arrivals:
                (repeats if identity in known else firsts).append(at)
                known.add(identity)
            self.check_repeats_of(service, firsts, repeats)

    def check_repeats_of(self, service, firsts, repeats):
        """`firsts` are fewer than the requests, as some never arrive; so the bound is not wider than the platform's."""
        def requests_in(begin):
            return sum(begin <= at < begin + REPEAT_WINDOW_S for at in firsts)
        for begin in repeats:
            spent = sum(begin <= at < begin + REPEAT_WINDOW_S for at in repeats)
            if spent <= self.repeat_allowance:
                continue
            requests = max(requests_in(begin), requests_in(begin - REPEAT_WINDOW_S),
                           requests_in(begin - REPEAT_WINDOW_S / 2))
            if spent > self.repeat_ratio * requests + self.repeat_allowance:
                self.add_finding("repeats", "%s got %d repeats in %.0f s for %d requests, allowed %.0f" % (
                    service, spent, REPEAT_WINDOW_S, requests, self.repeat_ratio * requests + self.repeat_allowance))
                return

    def check_cut(self, result, backends):
        """A stop must not cut a request that was in progress or arrived soon afterwards. Its own deadline may
        end it, or the crash of its engine when no other engine has its weights."""
        if self.deadline_passed(result) or self.was_aborted(result, backends):
            return
        for edge, at in self.edge_stops:
            if (edge == result.edge and at - 2 < result.sent < at + 3
                    and at < result.ended < at + STOP_GRACE_S - 1):
                self.add_finding("planned", "%s was cut by the stop of %s" % (result.identity, edge))

    def has_store_contact(self, edge, at):
        """Whether neither the store nor the edge had a fault within the last STORE_SETTLE_S."""
        if any(begin <= at and at - STORE_SETTLE_S <= end for begin, end in self.store_faults):
            return False
        return not any(ip == edge and begin <= at <= end for ip, begin, end in self.edge_outages)

    def was_unavailable(self, edge, begin, end):
        """Whether the edge was killed, stopped or frozen at some time in an interval."""
        return any(ip == edge and begin <= until and since <= end for ip, since, until in self.edge_outages)

    @staticmethod
    def was_link_disturbed(backend, at):
        """Whether the back end's link had a fault within the last STORE_SETTLE_S: requests that arrive then may have
        been sent earlier."""
        return any(begin <= at and at - STORE_SETTLE_S <= end for begin, end in backend.link_faults)

    def check_leaving(self, backend, edges):
        """Not checked if the edge was restarted or frozen since that answer; an announcement holds only for
        the incarnation of the back end that made it."""
        bound = DRAIN_S + TRANSIT_MARGIN_S + 2 * self.slack.max_s
        notified = {}
        for identity, when, start in backend.leaving_answers:
            if identity in edges:
                notified.setdefault((edges[identity], start), []).append(when)
        for identity, at, start in backend.arrivals:
            edge = edges.get(identity)
            if self.was_link_disturbed(backend, at):
                continue
            late = [when for when in notified.get((edge, start), ())
                    if at > when + bound and not self.was_unavailable(edge, when, at)]
            if late:
                self.add_finding("leaving", "%s reached %s %.2f s after an answer told %s that it leaves" %
                                 (identity, backend.identity, at - late[0], edge))

    def check_backoff(self, backend, edges):
        for asked_by, asked_at, seconds, start in backend.backoffs:
            edge = edges.get(asked_by)
            begin, end = asked_at + BACKOFF_SETTLE_S + 2 * self.slack.max_s, asked_at + seconds
            if not edge or self.was_unavailable(edge, asked_at, end) or self.was_link_disturbed(backend, end):
                continue
            count = sum(edges.get(identity) == edge and of == start and begin < at < end
                        for identity, at, of in backend.arrivals)
            if count > MAX_BACKOFF_ARRIVALS:
                self.add_finding("backoff", "%s got %d requests of %s in a backoff of %.2f s" %
                                 (backend.identity, count, edge, seconds))

    def check_limits(self, backend, edges):
        """Requests of an edge that was unavailable, or delayed by a disturbed link, do not count."""
        def counts(identity, at):
            edge = edges.get(identity)
            return not (self.was_unavailable(edge, at - rate_limit_check.WINDOW_S, at) or
                        self.was_link_disturbed(backend, at))
        excess = rate_limit_check.excess(backend, edges.get, counts, 2 * self.slack.max_s)
        if excess:
            self.add_finding("limits", "%s got %d requests in %.0f s, allowed %.1f, at a limit of %g a second" %
                             ((backend.identity, excess[1], rate_limit_check.WINDOW_S) + excess[2:]))

    def check_configuration(self, version, written):
        """Asks each edge for a route that only this configuration and later ones have."""
        end = time.monotonic()
        if any(since <= end and written - STORE_SETTLE_S <= until for since, until in self.store_faults):
            return
        for edge in platform.EDGE_IPS:
            if self.was_unavailable(edge, written - STORE_SETTLE_S, end):
                continue
            status = self.status_of("/probe-%d/x" % version, edge)
            if status == 404 and not self.was_unavailable(edge, written - STORE_SETTLE_S, time.monotonic()):
                self.add_finding("config", "%s does not know configuration %d %.2f s after it was written" %
                                 (edge, version, end - written))

    @staticmethod
    def status_of(path, edge):
        try:
            return platform.send_request("GET", path, address=edge).status
        except (OSError, http.client.HTTPException):
            return None

    def check_drain(self, backend, edges):
        left = self.leaving_since.get(backend.identity)
        if left is None or any(begin <= left <= end + STORE_SETTLE_S for begin, end in self.store_faults):
            return  # updates during a store fault, or just after it, may not have been received
        latest = left + DRAIN_S + TRANSIT_MARGIN_S + 2 * self.slack.max_s
        for identity, at, _ in backend.arrivals:
            if at > latest and identity not in backend.misdirected and \
                    self.has_store_contact(edges.get(identity), at) and \
                    not self.was_link_disturbed(backend, at):
                self.add_finding("drain", "%s reached %s %.2f s after it left" %
                                 (identity, backend.identity, at - left))
