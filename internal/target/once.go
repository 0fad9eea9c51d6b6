package target

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"google.golang.org/protobuf/proto"

	"mangokeel/internal/claim"
	"mangokeel/internal/limit"
	"mangokeel/internal/wire"
)

// claimed serves a request that runs at most once. The claim is made while the
// request waits for its slot.
func (h *Handler) claimed(ctx context.Context, q *request, t ticket) try {
	cctx, cancel := h.claimContext(ctx, q)
	defer cancel()
	o, c := h.claims.Claim(cctx, q.key, claim.HashOf(q.Method, q.URL.RequestURI(), q.body))
	switch o.Verdict {
	case claim.Run:
	case claim.NotRun:
		h.gate.done(t.ID, limit.Cancelled)
		h.metrics.refusals.WithLabelValues("claim").Inc()
		return try{retryAfter: minRetry}
	default:
		h.gate.done(t.ID, limit.Cancelled)
		return try{settled: &o}
	}
	d := h.gate.wait(ctx, t)
	if d.Verdict == limit.Refuse {
		h.claims.Withdraw(c)
		h.metrics.refusals.WithLabelValues(d.Reason.String()).Inc()
		return try{retryAfter: d.RetryAfter}
	}
	if ctx.Err() != nil || h.timers.Now().After(o.StartDeadline) {
		h.gate.done(t.ID, limit.Cancelled)
		h.claims.Withdraw(c)
		return try{retryAfter: minRetry}
	}
	h.gate.begin(t.ID)
	q.end = o.EndDeadline
	return h.runOnce(ctx, q, t.ID, c)
}

// claimContext bounds a claim to half of the time until the request's deadline, so that the
// caller can retry if the claim finds no majority.
func (h *Handler) claimContext(ctx context.Context, q *request) (context.Context, context.CancelFunc) {
	if q.deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, q.deadline.Sub(h.timers.Now())/2)
}

// runOnce runs a claimed request to its end even if the caller goes away, so that
// the caller can ask for the answer with its key.
func (h *Handler) runOnce(ctx context.Context, q *request, id limit.ID, c *claim.Claim) try {
	result := make(chan try)
	gone := make(chan struct{})
	defer close(gone)
	h.active.Add(1)
	go func() {
		defer h.active.Add(-1)
		t := h.complete(context.WithoutCancel(ctx), q, id, c)
		select {
		case result <- t:
		case <-gone:
			if t.resp != nil {
				t.resp.Body.Close()
				h.gate.done(id, limit.Cancelled)
			}
		}
	}()
	select {
	case t := <-result:
		return t
	case <-ctx.Done():
		return try{ran: true}
	}
}

// complete makes the only attempt at the target and records its outcome. Closing the body of
// an unfinished response ends the attempt.
func (h *Handler) complete(ctx context.Context, q *request, id limit.ID, c *claim.Claim) try {
	ctx, cancel := context.WithTimeout(ctx, q.end.Sub(h.timers.Now()))
	t := h.run(ctx, q, id)
	switch {
	case !t.ran:
		cancel()
		h.claims.Withdraw(c)
		return t
	case t.resp == nil:
		cancel()
		h.claims.Record(c, nil, true)
		return t
	}
	bound := int64(claim.MaxAnswerBytes)
	if q.stream {
		bound = 0
	}
	head, err := io.ReadAll(io.LimitReader(t.resp.Body, bound))
	if err == nil && int64(len(head)) == bound {
		// The answer is too large to keep, or lasts for long.
		h.claims.Record(c, nil, false)
		t.resp.Body = &body{io.MultiReader(bytes.NewReader(head), t.resp.Body), t.resp.Body, cancel}
		return t
	}
	t.resp.Body.Close()
	cancel()
	if err != nil {
		h.metrics.truncated.Inc()
		h.gate.done(id, limit.Failed)
		h.claims.Record(c, nil, true)
		return try{ran: true}
	}
	result := limit.Completed
	if failed(t.resp) {
		result = limit.Failed
	}
	h.gate.done(id, result)
	h.claims.Record(c, stored(t.resp, head), false)
	t.resp.Body = io.NopCloser(bytes.NewReader(head))
	return t
}

// body is an answer whose first part has been read.
type body struct {
	io.Reader
	rest   io.Closer
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *body) Close() error {
	b.cancel()
	return b.rest.Close()
}

// stored returns an answer in the form in which it is kept, or nil if it is too
// large.
func stored(resp *http.Response, body []byte) *wire.Answer {
	a := &wire.Answer{Status: uint32(resp.StatusCode), Body: body}
	h := http.Header{}
	forward(h, resp.Header)
	for name, values := range h {
		for _, v := range values {
			a.Header = append(a.Header, &wire.Field{Name: name, Value: v})
		}
	}
	if proto.Size(a) > claim.MaxAnswerBytes {
		return nil
	}
	return a
}

// settle replies with the known outcome of another attempt with the same key.
func (h *Handler) settle(w http.ResponseWriter, o *claim.Outcome) {
	if o.Verdict == claim.Stored {
		h.replay(w, o.Answer)
		return
	}
	status, outcome, text := http.StatusConflict, outcomeRunning, "the request with this key is running"
	switch o.Verdict {
	case claim.Ran:
		outcome, text = outcomeRan, "the request with this key has run; its answer was not kept"
	case claim.Unknown:
		status, outcome, text = http.StatusGatewayTimeout, outcomeUnknown, "the request with this key may have run"
	case claim.Mismatch:
		status, outcome, text = http.StatusUnprocessableEntity, outcomeMismatch, "the key was used for another request"
	default:
		w.Header().Set(headerRetry, seconds(minRetry))
	}
	h.metrics.requests.WithLabelValues(outcome).Inc()
	w.Header().Set(headerOutcome, outcome)
	http.Error(w, text, status)
}

// replay sends a stored answer.
func (h *Handler) replay(w http.ResponseWriter, a *wire.Answer) {
	h.metrics.requests.WithLabelValues(outcomeStored).Inc()
	for _, f := range a.GetHeader() {
		w.Header().Add(f.GetName(), f.GetValue())
	}
	w.Header().Set(headerOutcome, outcomeStored)
	w.WriteHeader(int(a.GetStatus()))
	// An error means that the caller is gone.
	_, _ = w.Write(a.GetBody())
}
