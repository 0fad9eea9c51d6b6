// Package target relays requests to the target that an agent stands beside.
//
// A Handler is an http.Handler. The agent mounts it for HTTP/3 and for HTTP/1.1
// and feeds it the service record of each new view:
//
//	h, err := target.New(cfg.Target)
//	h.Update(state.Service(id), own)
//	srv := &http.Server{Handler: h}
//
// An answer that ends early at the target ends with an aborted stream at the
// caller, never as if it were complete.
package target

import (
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"mangokeel"
	"mangokeel/internal/timer"
	"mangokeel/internal/view"
)

// Bounds on the connections to the target.
const (
	// dialTimeout bounds a dial to a target on the same host or next to it.
	dialTimeout = time.Second
	// idleTimeout is below the keep-alive timeouts that servers commonly use, so
	// that the agent closes idle connections before the target does.
	idleTimeout = 4 * time.Second
	// maxHeader bounds the header of an answer in bytes.
	maxHeader = 64 << 10
)

// FullWeight is the weight of a target that can bear its whole configured limit.
const FullWeight = 256

// Handler relays requests to one target.
type Handler struct {
	target netip.AddrPort
	timers mangokeel.Timers
	// reused keeps connections open between requests.
	reused *http.Transport
	// single opens a connection for each request. net/http repeats requests on a
	// reused connection that breaks, which must not happen to those that run at
	// most once.
	single  *http.Transport
	running atomic.Int64
	current atomic.Pointer[current]
}

// current is what the latest view says.
type current struct {
	service *view.Service
	own     mangokeel.Handle
}

// Option changes a Handler.
type Option func(*Handler)

// WithTimers sets the timer service; the default is the real one.
func WithTimers(t mangokeel.Timers) Option { return func(h *Handler) { h.timers = t } }

// New returns a handler for the target at addr.
func New(addr netip.AddrPort, opts ...Option) (*Handler, error) {
	if !addr.IsValid() {
		return nil, errors.Newf("target address %q is not valid", addr)
	}
	h := &Handler{target: addr, timers: timer.Real{}}
	for _, o := range opts {
		o(h)
	}
	h.reused = newTransport()
	h.single = newTransport()
	h.single.DisableKeepAlives = true
	h.current.Store(&current{})
	return h, nil
}

func newTransport() *http.Transport {
	d := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:            d.DialContext,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    64,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeader,
	}
}

// Update sets the service record and the agent's own handle. The service may be
// nil before the first view.
func (h *Handler) Update(s *view.Service, own mangokeel.Handle) {
	h.current.Store(&current{service: s, own: own})
}

// Weight is the share of work that the target can bear, 0 to FullWeight.
func (h *Handler) Weight() uint32 { return FullWeight }

// Running is the number of requests that the target works on.
func (h *Handler) Running() int { return int(h.running.Load()) }

// Close ends idle connections to the target.
func (h *Handler) Close() {
	h.reused.CloseIdleConnections()
	h.single.CloseIdleConnections()
}
