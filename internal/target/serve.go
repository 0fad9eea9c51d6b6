package target

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"mangokeel/internal/claim"
	"mangokeel/internal/limit"
)

// Values of the outcome header.
const (
	outcomeNotRun   = "not-run"
	outcomeUnknown  = "unknown"
	outcomeRunning  = "running"
	outcomeRan      = "ran"
	outcomeStored   = "stored"
	outcomeMismatch = "mismatch"
)

// minRetry is the minimum Retry-After, which is in whole seconds.
const minRetry = time.Second

// try is the outcome of one attempt to serve a request.
type try struct {
	// id is the slot at the target, or 0 if the attempt had none.
	id limit.ID
	// resp is a response that has not been delivered to the caller.
	resp *http.Response
	// ran is false if the request is known not to have run.
	ran bool
	// elsewhere is set if the request was not offered to the target, so that handing it to
	// another agent adds no load to the service.
	elsewhere  bool
	retryAfter time.Duration
	// settled is the outcome of another attempt with the same key, which takes precedence.
	settled *claim.Outcome
}

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	cur := h.current.Load()
	q, p := h.read(w, r, cur.service)
	if p != nil {
		h.problem(w, p)
		return
	}
	defer h.free(q)
	if !q.relayed {
		h.budget.earn()
	}
	ctx, cancel := q.context()
	defer cancel()
	t := h.first(ctx, q, cur)
	if h.retries(q, t) {
		if done := h.retry(ctx, w, q, cur, &t); done {
			return
		}
	}
	h.deliver(w, q, t)
}

// context ends with the caller's request and at its deadline.
func (q *request) context() (context.Context, context.CancelFunc) {
	if q.deadline.IsZero() {
		return context.WithCancel(q.Context())
	}
	return context.WithDeadline(q.Context(), q.deadline)
}

// first attempts the request at the agent's own target, unless it must go elsewhere.
func (h *Handler) first(ctx context.Context, q *request, cur *current) try {
	if h.left.Load() || cur.leaving() || h.unreachable() {
		h.metrics.refusals.WithLabelValues("leaving").Inc()
		return try{elsewhere: true, retryAfter: minRetry}
	}
	claimed := h.claims != nil && q.once && q.key != ""
	ticket := h.gate.offer(limit.Request{Class: q.class, Kind: q.kind, Deadline: q.deadline, Hold: claimed})
	if claimed && ticket.Verdict != limit.Refuse {
		return h.claimed(ctx, q, ticket)
	}
	if d := h.gate.wait(ctx, ticket); d.Verdict == limit.Refuse {
		h.metrics.refusals.WithLabelValues(d.Reason.String()).Inc()
		return try{retryAfter: d.RetryAfter}
	}
	return h.run(ctx, q, ticket.ID)
}

// run makes one attempt at the target, in slot id.
func (h *Handler) run(ctx context.Context, q *request, id limit.ID) try {
	resp, err := h.send(ctx, q)
	switch {
	case err == nil && resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(headerOutcome) == outcomeNotRun:
		resp.Body.Close()
		h.gate.done(id, limit.Failed)
		return try{retryAfter: retryAfterOf(resp)}
	case err == nil:
		return try{id: id, resp: resp, ran: true}
	case notSent(err):
		if ctx.Err() == nil {
			h.setDown(true)
		}
		h.gate.done(id, limit.Failed)
		return try{elsewhere: true, retryAfter: minRetry}
	case errors.Is(ctx.Err(), context.Canceled):
		h.gate.done(id, limit.Cancelled)
	default:
		h.gate.done(id, limit.Failed)
	}
	return try{ran: true}
}

func retryAfterOf(resp *http.Response) time.Duration {
	n, err := strconv.Atoi(resp.Header.Get(headerRetry))
	if err != nil || n < 1 {
		return minRetry
	}
	return time.Duration(n) * time.Second
}

// failed reports whether the target failed to do the work.
func failed(resp *http.Response) bool {
	switch resp.StatusCode {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// retries reports whether the request may be handed to another agent after t.
func (h *Handler) retries(q *request, t try) bool {
	switch {
	case t.settled != nil:
		return false
	case q.relayed || q.Context().Err() != nil:
		return false
	case !q.deadline.IsZero() && !h.timers.Now().Before(q.deadline):
		return false
	case t.resp != nil && !(failed(t.resp) && (t.resp.StatusCode != http.StatusInternalServerError || h.gate.stats().failing)):
		return false
	case t.ran && (q.once || !q.whole):
		return false
	}
	return true
}

// retry offers the request to another agent. It returns true when the caller has
// been answered; otherwise t still holds.
func (h *Handler) retry(ctx context.Context, w http.ResponseWriter, q *request, cur *current, t *try) bool {
	to := cur.peer()
	if to == nil || !t.elsewhere && !h.budget.spend() {
		h.metrics.retries.WithLabelValues("denied").Inc()
		return false
	}
	resp, err := h.handOver(ctx, q, to)
	switch {
	case err == nil && (t.resp == nil || !failed(resp)):
		h.metrics.retries.WithLabelValues("answered").Inc()
		h.discard(t)
		h.relay(w, resp, t.ran)
		return true
	case err == nil:
		resp.Body.Close()
	case !notSent(err):
		t.ran = true
	}
	h.metrics.retries.WithLabelValues("failed").Inc()
	return false
}

// discard closes a response that another one replaces.
func (h *Handler) discard(t *try) {
	if t.resp != nil {
		t.resp.Body.Close()
		h.gate.done(t.id, limit.Failed)
	}
}

// relay passes another agent's answer on. A refusal is not true any more if the
// request may have run here.
func (h *Handler) relay(w http.ResponseWriter, resp *http.Response, ran bool) {
	defer resp.Body.Close()
	if ran && resp.Header.Get(headerOutcome) == outcomeNotRun {
		h.refuse(w, try{ran: true})
		return
	}
	h.metrics.requests.WithLabelValues("relayed").Inc()
	h.copyAnswer(w, resp, func() {}, func(error) {})
}

// deliver sends the outcome of an attempt to the caller.
func (h *Handler) deliver(w http.ResponseWriter, q *request, t try) {
	switch {
	case t.settled != nil:
		h.settle(w, t.settled)
		return
	case t.resp == nil:
		h.refuse(w, t)
		return
	}
	defer t.resp.Body.Close()
	// Ends what is left of the request if the caller goes away.
	defer h.gate.done(t.id, limit.Cancelled)
	h.metrics.requests.WithLabelValues("answered").Inc()
	if q.stream && !failed(t.resp) {
		h.gate.detach(t.id)
	}
	h.copyAnswer(w, t.resp, func() { h.gate.detach(t.id) }, func(err error) { h.ended(q, t, err) })
}

// ended frees the slot once the target has sent its answer.
func (h *Handler) ended(q *request, t try, err error) {
	switch {
	case err == io.EOF && !failed(t.resp):
		h.gate.detach(t.id)
	case err != io.EOF && q.Context().Err() != nil:
		h.gate.done(t.id, limit.Cancelled)
	default:
		h.gate.done(t.id, limit.Failed)
	}
}

// refuse replies to the caller at once that the request did not run, or that its outcome is
// unknown.
func (h *Handler) refuse(w http.ResponseWriter, t try) {
	if t.ran {
		h.metrics.requests.WithLabelValues(outcomeUnknown).Inc()
		w.Header().Set(headerOutcome, outcomeUnknown)
		http.Error(w, "the target did not answer", http.StatusGatewayTimeout)
		return
	}
	h.metrics.requests.WithLabelValues(outcomeNotRun).Inc()
	w.Header().Set(headerOutcome, outcomeNotRun)
	w.Header().Set(headerRetry, seconds(t.retryAfter))
	http.Error(w, "the request was not run", http.StatusServiceUnavailable)
}

// seconds rounds up to whole seconds.
func seconds(d time.Duration) string {
	return strconv.Itoa(int((max(d, minRetry) + time.Second - 1) / time.Second))
}

// problem answers a request that cannot be served.
func (h *Handler) problem(w http.ResponseWriter, p *problem) {
	h.metrics.requests.WithLabelValues("invalid").Inc()
	if p.status == http.StatusServiceUnavailable {
		w.Header().Set(headerOutcome, outcomeNotRun)
		w.Header().Set(headerRetry, seconds(minRetry))
	}
	http.Error(w, p.text, p.status)
}
