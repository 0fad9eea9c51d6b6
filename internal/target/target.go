// Package target relays requests to the target on the agent's host.
//
// A Handler is an http.Handler. The agent serves HTTP/3 and HTTP/1.1 with it and updates it
// with the service record of each new view:
//
//	h, err := target.New(cfg.Target)
//	h.Update(state.Service(id), own)
//	srv := &http.Server{Handler: h}
//
// Each request is classified by the service's rules and admitted by a
// limit.Limiter. A request that is known not to have run, or that is idempotent,
// is handed to another agent once; otherwise it is rejected with a Retry-After. A request
// that is not idempotent and has a key is claimed first, so that it runs at most once. If the
// target's response ends early, the caller's stream is aborted, so that the response never
// looks complete.
package target

import (
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"

	"mangokeel"
	"mangokeel/internal/claim"
	"mangokeel/internal/timer"
	"mangokeel/internal/view"
	"mangokeel/internal/wire"
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
	// probePeriod separates dials to a target that cannot be reached.
	probePeriod = 500 * time.Millisecond
)

// Handler relays requests to one target.
type Handler struct {
	target   netip.AddrPort
	timers   mangokeel.Timers
	log      log.Logger
	registry prometheus.Registerer
	metrics  *metrics
	gate     *gate
	budget   budget
	weigher  weigher
	// claims is nil for services whose requests are not claimed.
	claims *claim.Manager
	// local and peers carry requests to the target and to other agents.
	local, peers transports
	// active counts the requests in the handler, background work included.
	active  atomic.Int64
	current atomic.Pointer[current]
	// buffered is the size of the request bodies held.
	buffered atomic.Int64
	// left is set by Leave.
	left atomic.Bool

	mu sync.Mutex
	// down is set while the target cannot be reached; probe runs as long.
	down  bool
	probe mangokeel.Subscription
}

// transports has one transport that keeps connections open between requests, and
// one that opens a connection for each. net/http repeats requests on a reused
// connection that breaks, which must not happen to those that run at most once.
type transports struct{ reused, single *http.Transport }

// current is what the latest view says.
type current struct {
	service *view.Service
	own     mangokeel.Handle
}

// Option changes a Handler.
type Option func(*Handler)

// WithTimers sets the timer service; the default is the real one.
func WithTimers(t mangokeel.Timers) Option { return func(h *Handler) { h.timers = t } }

// WithLogger sets the logger for changes of the target's state.
func WithLogger(l log.Logger) Option { return func(h *Handler) { h.log = l } }

// WithRegisterer adds the handler's metrics to r.
func WithRegisterer(r prometheus.Registerer) Option { return func(h *Handler) { h.registry = r } }

// WithClaims makes the handler claim keys through k, which it keeps up to date.
func WithClaims(k *claim.Manager) Option { return func(h *Handler) { h.claims = k } }

// New returns a handler for the target at addr.
func New(addr netip.AddrPort, opts ...Option) (*Handler, error) {
	if !addr.IsValid() {
		return nil, errors.Newf("target address %q is not valid", addr)
	}
	h := &Handler{target: addr, timers: timer.Real{}, log: log.NewNopLogger(), metrics: newMetrics()}
	for _, o := range opts {
		o(h)
	}
	h.gate = newGate(h.timers)
	h.local = newTransports((&net.Dialer{Timeout: dialTimeout}).DialContext)
	h.peers = newTransports(h.dialPeer)
	h.current.Store(&current{})
	if h.registry != nil {
		h.register(h.registry)
	}
	return h, nil
}

func newTransports(dial dialFunc) transports {
	t := transports{newTransport(dial), newTransport(dial)}
	t.single.DisableKeepAlives = true
	return t
}

func newTransport(dial dialFunc) *http.Transport {
	return &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    64,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeader,
	}
}

// of returns the transport for a request.
func (t transports) of(q *request) *http.Transport {
	if q.once {
		return t.single
	}
	return t.reused
}

func (t transports) close() {
	t.reused.CloseIdleConnections()
	t.single.CloseIdleConnections()
}

// Update sets the service record and the agent's own handle. The service may be
// nil before the first view.
func (h *Handler) Update(s *view.Service, own mangokeel.Handle) {
	h.current.Store(&current{service: s, own: own})
	if s == nil {
		return
	}
	h.gate.update(s)
	if h.claims != nil {
		h.claims.Update(s, own)
	}
}

// Leave makes the handler pass new requests to other agents. It also does so if the view
// shows that the target is leaving or that its availability zone is out of service.
func (h *Handler) Leave() { h.left.Store(true) }

// SetCold treats the target as cold. The agent calls it when the target's availability
// zone is back in service, after a time in which it had no work.
func (h *Handler) SetCold() {
	h.gate.setCold()
	h.weigher.setCold()
}

// Weight is the share of work that the target can take, from 0 to FullWeight: 0 while it is
// unreachable, 1 while its requests fail, and otherwise derived from its limit, or more if the
// limit has not been reached recently.
func (h *Handler) Weight() uint32 {
	if h.unreachable() {
		return 0
	}
	return h.weigher.weigh(h.timers.Now(), h.gate.stats())
}

// Running is the number of requests in the handler, those that wait, those whose
// answers are under way and those whose end is still being recorded included.
func (h *Handler) Running() int {
	n := int(h.active.Load())
	if h.claims != nil {
		n += h.claims.PendingNotifications()
	}
	return n
}

// Load returns the handler's part of the report to control.
func (h *Handler) Load() *wire.Load {
	s := h.gate.stats()
	return &wire.Load{Weight: h.Weight(), Running: uint32(s.running), Queued: uint32(s.queued), Refused: s.Refused}
}

// Close ends idle connections and the probe of the target.
func (h *Handler) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.probe != nil {
		h.probe.Cancel()
	}
	h.local.close()
	h.peers.close()
}

func (h *Handler) unreachable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.down
}

// setDown records whether the target can be reached. While it cannot, dials at
// intervals find out when it is back.
func (h *Handler) setDown(down bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.down == down {
		return
	}
	h.down = down
	_ = level.Info(h.log).Log("msg", "target changed", "reachable", !down)
	if !down {
		h.probe.Cancel()
		return
	}
	h.probe = h.timers.Every(probePeriod, func(time.Time) {
		c, err := net.DialTimeout("tcp", h.target.String(), dialTimeout)
		if err == nil {
			c.Close()
			h.setDown(false)
		}
	})
}
