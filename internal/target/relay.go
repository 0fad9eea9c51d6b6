package target

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Bounds on answers under way.
const (
	// chunkSize is the size of one read from the target.
	chunkSize = 32 << 10
	// chunksAhead bounds what is read ahead of a slow caller.
	chunksAhead = 8
	// stallTimeout ends an answer of which the caller reads nothing for so long.
	stallTimeout = time.Minute
	// headerPause is the wait for the first part of an answer before its header is
	// sent alone, as for a feed that has no news yet.
	headerPause = 5 * time.Millisecond
)

// errForeign marks a response that belongs to another request.
var errForeign = errors.New("answer to another request")

// errEndless marks a response whose end is indistinguishable from a broken connection.
var errEndless = errors.New("answer with neither length nor chunks")

type dialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// outgoing returns the request for one attempt at addr.
func (q *request) outgoing(ctx context.Context, addr netip.AddrPort) (*http.Request, error) {
	out, err := http.NewRequestWithContext(ctx, q.Method, "http://"+addr.String()+q.URL.RequestURI(), q.reader())
	if err != nil {
		return nil, err
	}
	forward(out.Header, q.Header)
	out.Header.Del(headerHop)
	out.Host = q.Host
	if !q.whole || len(q.body) > 0 {
		out.ContentLength = q.ContentLength
	}
	return out, nil
}

// send makes one attempt at the target and returns the response, which is known to belong to
// this request.
func (h *Handler) send(ctx context.Context, q *request) (*http.Response, error) {
	out, err := q.outgoing(ctx, h.target)
	if err != nil {
		return nil, err
	}
	id := newID()
	out.Header.Set(headerRequest, id)
	if q.deadline.IsZero() && !q.end.IsZero() {
		out.Header.Set(headerDeadline, strconv.FormatInt(q.end.UnixMilli(), 10))
	}
	resp, err := h.local.of(q).RoundTrip(out)
	if err != nil {
		return nil, err
	}
	if err := h.verify(resp, id); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// verify refuses answers that belong to another request or whose end cannot be
// recognised.
func (h *Handler) verify(resp *http.Response, id string) error {
	if got := resp.Header.Get(headerRequest); got != "" && got != id {
		h.metrics.foreign.Inc()
		return errForeign
	}
	if endless(resp) {
		return errEndless
	}
	resp.Header.Del(headerRequest)
	return nil
}

// endless reports whether the end of a response is indistinguishable from a broken connection.
func endless(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// notSent reports whether an error means that nothing was sent.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// copyAnswer streams an answer to the caller. It calls behind when the caller has
// fallen behind, and ended when the target has sent everything or failed. An
// answer that ends early aborts the caller's stream.
func (h *Handler) copyAnswer(w http.ResponseWriter, resp *http.Response, behind func(), ended func(error)) {
	forward(w.Header(), resp.Header)
	w.WriteHeader(resp.StatusCode)
	done := make(chan struct{})
	defer close(done)
	if err := copyBody(w, pump(resp.Body, done, behind, ended)); err != nil {
		h.metrics.truncated.Inc()
		panic(http.ErrAbortHandler)
	}
	for k, v := range resp.Trailer {
		w.Header()[http.TrailerPrefix+k] = v
	}
}

// chunk is a part of an answer. err is io.EOF after the last part.
type chunk struct {
	b   []byte
	err error
}

// pump reads body ahead of the caller. It ends when body ends or done is closed.
func pump(body io.Reader, done <-chan struct{}, behind func(), ended func(error)) <-chan chunk {
	out := make(chan chunk, chunksAhead)
	go func() {
		defer close(out)
		for {
			b := make([]byte, chunkSize)
			n, err := body.Read(b)
			if err != nil {
				ended(err)
			}
			c := chunk{b: b[:n], err: err}
			select {
			case out <- c:
			default:
				behind()
				select {
				case out <- c:
				case <-done:
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	return out
}

// copyBody writes the chunks and flushes whenever none is waiting.
func copyBody(w http.ResponseWriter, chunks <-chan chunk) error {
	rc := http.NewResponseController(w)
	// Not every ResponseWriter has write deadlines.
	defer func() { _ = rc.SetWriteDeadline(time.Time{}) }()
	wait := time.NewTimer(headerPause)
	defer wait.Stop()
	for {
		var c chunk
		var ok bool
		select {
		case c, ok = <-chunks:
			if !ok {
				return io.ErrUnexpectedEOF
			}
		case <-wait.C:
			if err := rc.Flush(); err != nil {
				return err
			}
			continue
		}
		wait.Stop()
		if len(c.b) > 0 {
			_ = rc.SetWriteDeadline(time.Now().Add(stallTimeout))
			if _, err := w.Write(c.b); err != nil {
				return err
			}
		}
		if c.err == io.EOF {
			return nil
		}
		if c.err != nil {
			return c.err
		}
		if len(chunks) == 0 {
			if err := rc.Flush(); err != nil {
				return err
			}
		}
	}
}
