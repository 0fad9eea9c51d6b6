package target

import (
	"crypto/rand"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Headers between callers, agents and targets; docs/callers.md explains them.
const (
	headerKey      = "Idempotency-Key"
	headerDeadline = "X-Deadline"
	headerOutcome  = "Mangokeel-Outcome"
	headerRetry    = "Retry-After"
	// headerRequest carries an ID for each attempt. If the target returns it, the agent can
	// detect a response to another request.
	headerRequest = "Mangokeel-Request"
	// headerHop marks requests that an agent handed over.
	headerHop = "Mangokeel-Hop"
)

// hopByHop are the headers that concern one connection only (RFC 9110, 7.6.1).
var hopByHop = [...]string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// forward copies the headers of src that concern both ends into dst.
func forward(dst, src http.Header) {
	for k, v := range src {
		dst[k] = append([]string(nil), v...)
	}
	for _, list := range src.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			dst.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		dst.Del(name)
	}
}

// deadlineOf reads X-Deadline: Unix time in milliseconds, or RFC 3339. The zero
// time is no deadline.
func deadlineOf(h http.Header) (time.Time, error) {
	s := h.Get(headerDeadline)
	if s == "" {
		return time.Time{}, nil
	}
	if ms, err := strconv.ParseInt(s, 10, 64); err == nil {
		return time.UnixMilli(ms), nil
	}
	t, err := time.Parse(time.RFC3339Nano, s)
	return t, errors.Wrap(err, headerDeadline)
}

// newID returns an unguessable ID of 26 characters.
func newID() string { return rand.Text() }
