package target

import (
	"context"
	"io"
	"net/http"
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
)

// errForeign marks an answer that belongs to another request.
var errForeign = errors.New("answer to another request")

// errEndless marks an answer whose end cannot be told from a broken connection.
var errEndless = errors.New("answer with neither length nor chunks")

// ServeHTTP relays one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	deadline, err := deadlineOf(r.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx := r.Context()
	if !deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline)
		defer cancel()
	}
	h.running.Add(1)
	defer h.running.Add(-1)
	resp, err := h.send(ctx, h.single, r, r.Body)
	if err != nil {
		w.Header().Set(headerOutcome, "unknown")
		http.Error(w, "the target did not answer", http.StatusGatewayTimeout)
		return
	}
	defer resp.Body.Close()
	copyAnswer(w, resp, func() {})
}

// send makes one try at the target and returns the answer, whose header belongs
// to this request.
func (h *Handler) send(ctx context.Context, t *http.Transport, r *http.Request, body io.Reader) (*http.Response, error) {
	out, err := http.NewRequestWithContext(ctx, r.Method, "http://"+h.target.String()+r.URL.RequestURI(), body)
	if err != nil {
		return nil, err
	}
	forward(out.Header, r.Header)
	out.Host = r.Host
	out.ContentLength = r.ContentLength
	id := newID()
	out.Header.Set(headerRequest, id)
	resp, err := t.RoundTrip(out)
	if err != nil {
		return nil, err
	}
	if err := verify(resp, id); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// verify refuses answers that belong to another request or whose end cannot be
// recognised.
func verify(resp *http.Response, id string) error {
	if got := resp.Header.Get(headerRequest); got != "" && got != id {
		return errForeign
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errEndless
	}
	resp.Header.Del(headerRequest)
	return nil
}

// copyAnswer streams an answer to the caller and calls read once the target is no
// longer needed or the caller has fallen behind. An answer that ends early aborts
// the caller's stream.
func copyAnswer(w http.ResponseWriter, resp *http.Response, read func()) {
	forward(w.Header(), resp.Header)
	w.WriteHeader(resp.StatusCode)
	done := make(chan struct{})
	defer close(done)
	if err := copyBody(w, pump(resp.Body, done, read)); err != nil {
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
func pump(body io.Reader, done <-chan struct{}, read func()) <-chan chunk {
	out := make(chan chunk, chunksAhead)
	go func() {
		defer close(out)
		defer read()
		for {
			b := make([]byte, chunkSize)
			n, err := body.Read(b)
			c := chunk{b: b[:n], err: err}
			select {
			case out <- c:
			default:
				read()
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
	for c := range chunks {
		if len(c.b) > 0 {
			// Not every ResponseWriter has write deadlines.
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
	return io.ErrUnexpectedEOF
}
