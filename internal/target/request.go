package target

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"mangokeel/internal/limit"
	"mangokeel/internal/view"
	"mangokeel/internal/wire"
)

// Bounds on requests.
const (
	// maxBody bounds the body of a request that runs at most once. It is held in
	// memory, because its claim depends on a hash of it.
	maxBody = 16 << 20
	// maxReplay is the maximum size of a body that is kept for a second attempt.
	maxReplay = 64 << 10
	// maxBuffered bounds the bodies held at one time.
	maxBuffered = 128 << 20
	// readTimeout ends a request of whose body nothing arrives for so long.
	readTimeout = 30 * time.Second
	// maxKey bounds the length of an idempotency key.
	maxKey = 255
)

// request is what decisions on a request depend on.
type request struct {
	*http.Request
	class limit.Class
	// kind is the index of the rule, so that each rule has its own service time.
	kind uint32
	// once marks requests that run at most once.
	once   bool
	stream bool
	key    string
	// deadline is zero for none.
	deadline time.Time
	// end is the latest end of a claimed request, which its target gets as deadline
	// if the caller sets none. It is zero for others.
	end time.Time
	// relayed marks requests that another agent handed over; they stay here.
	relayed bool
	// body is the request's whole body if whole is set.
	body  []byte
	whole bool
}

// problem is a status for a request that cannot be served.
type problem struct {
	status int
	text   string
}

// read classifies a request and reads its body as far as needed. The caller must
// free the request unless there is a problem.
func (h *Handler) read(w http.ResponseWriter, r *http.Request, s *view.Service) (*request, *problem) {
	q := &request{Request: r, relayed: r.Header.Get(headerHop) != "", key: r.Header.Get(headerKey)}
	var err error
	if q.deadline, err = deadlineOf(r.Header); err != nil {
		return nil, &problem{http.StatusBadRequest, err.Error()}
	}
	switch {
	case len(q.key) > maxKey:
		return nil, &problem{http.StatusBadRequest, headerKey + " is longer than 255 bytes"}
	case !strings.HasPrefix(r.URL.RequestURI(), "/"):
		return nil, &problem{http.StatusBadRequest, "the request has no path"}
	case r.Method == http.MethodConnect || r.Method == http.MethodTrace:
		return nil, &problem{http.StatusNotImplemented, r.Method + " is not relayed"}
	}
	q.classify(s)
	if p := h.readBody(w, q); p != nil {
		return nil, p
	}
	return q, nil
}

// classify applies the service's rules.
func (q *request) classify(s *view.Service) {
	q.class, q.once = limit.Normal, !idempotent(q.Method)
	if s == nil {
		return
	}
	for i, rule := range s.GetRules() {
		if matches(rule, q.Request) {
			q.class, q.kind = limit.ClassOf(rule.GetClass()), uint32(i+1)
			q.once = q.once || rule.GetOnce()
			q.stream = rule.GetStream()
			return
		}
	}
}

func matches(rule *wire.Rule, r *http.Request) bool {
	return (rule.GetMethod() == "" || rule.GetMethod() == r.Method) && strings.HasPrefix(r.URL.Path, rule.GetPrefix())
}

// idempotent reports whether a method is idempotent by definition (RFC 9110, 9.2.2).
func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// readBody reads the body of requests that run at most once, and of others if it
// is short enough to be sent again.
func (h *Handler) readBody(w http.ResponseWriter, q *request) *problem {
	if q.Body == nil || q.Body == http.NoBody || q.ContentLength == 0 {
		q.whole = true
		return nil
	}
	bound := int64(maxBody)
	if !q.once {
		if q.ContentLength < 0 || q.ContentLength > maxReplay {
			return nil
		}
		bound = maxReplay
	}
	if q.ContentLength > bound {
		return &problem{http.StatusRequestEntityTooLarge, "the body is longer than 16 MiB"}
	}
	body, p := h.buffer(w, q, bound)
	if p != nil {
		return p
	}
	q.body, q.whole = body, true
	q.ContentLength = int64(len(body))
	return nil
}

// buffer reads up to bound bytes of the body, at the pace of the caller, while
// all buffers together keep within maxBuffered.
func (h *Handler) buffer(w http.ResponseWriter, q *request, bound int64) ([]byte, *problem) {
	rc := http.NewResponseController(w)
	defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
	var buf bytes.Buffer
	for {
		_ = rc.SetReadDeadline(time.Now().Add(readTimeout))
		n, err := io.CopyN(&buf, q.Body, chunkSize)
		used := h.buffered.Add(n)
		switch {
		case int64(buf.Len()) > bound:
			h.buffered.Add(-int64(buf.Len()))
			return nil, &problem{http.StatusRequestEntityTooLarge, "the body is longer than 16 MiB"}
		case used > maxBuffered:
			h.buffered.Add(-int64(buf.Len()))
			return nil, &problem{http.StatusServiceUnavailable, "too many bodies are held"}
		case errors.Is(err, io.EOF):
			return buf.Bytes(), nil
		case err != nil:
			h.buffered.Add(-int64(buf.Len()))
			return nil, &problem{http.StatusBadRequest, "the body did not arrive"}
		}
	}
}

// free releases the request's share of the buffers.
func (h *Handler) free(q *request) { h.buffered.Add(-int64(len(q.body))) }

// reader returns the body for one attempt.
func (q *request) reader() io.Reader {
	switch {
	case q.whole && len(q.body) == 0:
		return http.NoBody
	case q.whole:
		return bytes.NewReader(q.body)
	}
	return q.Body
}
