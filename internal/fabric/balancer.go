// Package fabric is the balancer process: it takes the packets and connections
// that the fabric hands to it and passes them to the agents of their targets.
//
// A balancer keeps no state that a flow needs to survive, TCP sockets excepted.
// It follows control and opens a UDP socket and a TCP listener for each service:
//
//	b, err := fabric.New(cfg, remote, fabric.WithLogger(l), fabric.WithRegisterer(r))
//	err = b.Run() // until Stop
//
// Decide has the rule that chooses a packet's target. It uses no sockets and
// depends on nothing but the node view and the packet.
package fabric

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"

	"mangokeel"
	"mangokeel/internal/timer"
	"mangokeel/internal/view"
	"mangokeel/internal/wire"
	"mangokeel/pkg/settings"
)

// Timing of a balancer.
const (
	// defaultGracePeriod is how long a leaving balancer still accepts connections. The
	// status address stops to answer at once, so that a fabric which checks it every
	// second or two has moved to other balancers by then.
	defaultGracePeriod = 5 * time.Second
	// defaultDrainTimeout bounds how long a leaving balancer keeps TCP connections. A
	// dispatch feed stays open for a whole shift.
	defaultDrainTimeout = 8 * time.Hour
	// drainCheckInterval is the period at which a leaving balancer counts connections.
	drainCheckInterval = 50 * time.Millisecond
	// bindRetryInterval is the period at which failed service sockets are tried again.
	bindRetryInterval = time.Second
	// leaveTimeout bounds each call that announces the departure.
	leaveTimeout = 3 * time.Second
	// defaultShutdownDelay is how long a balancer that has left still forwards. Agents
	// hear of the departure within a poll of 1 s and send replies until then.
	defaultShutdownDelay = 2 * time.Second
	// defaultReadersPerSocket is the number of readers of each socket. Over loopback more of
	// them forward fewer packets, because they contend for the socket's lock.
	defaultReadersPerSocket = 1
)

// endpoints are the open services.
type endpoints map[mangokeel.ServiceID]*endpoint

// Balancer forwards the packets and connections of all services.
type Balancer struct {
	cfg              settings.Balancer
	log              log.Logger
	registerer       prometheus.Registerer
	timers           mangokeel.Timers
	listenPackets    func(netip.AddrPort) (mangokeel.Fabric, error)
	gracePeriod      time.Duration
	drainTimeout     time.Duration
	shutdownDelay    time.Duration
	readersPerSocket int

	metrics    *metrics
	view       view.View
	follower   *view.Follower
	dataSocket *dataSocket
	streams    streams
	// scratch has values of type *scratch.
	scratch sync.Pool

	// mu orders changes of open and failed.
	mu sync.Mutex
	// endpoints is replaced, never changed, so that the reply path reads it unlocked.
	endpoints atomic.Pointer[endpoints]
	// bindErrors has the services whose sockets could not be opened.
	bindErrors map[mangokeel.ServiceID]string
	// refusingStreams is true once new TCP connections are refused.
	refusingStreams bool
	// closed refuses to open sockets.
	closed bool

	// ctx ends when connections to agents must no longer be opened.
	ctx            context.Context
	cancel         context.CancelFunc
	bindRetryTimer mangokeel.Subscription
	stop           chan struct{}
	stopOnce       sync.Once
}

// Option changes a Balancer.
type Option func(*Balancer)

// WithLogger sets the logger for changes of state.
func WithLogger(l log.Logger) Option { return func(b *Balancer) { b.log = l } }

// WithRegisterer sets where the metrics are registered.
func WithRegisterer(r prometheus.Registerer) Option { return func(b *Balancer) { b.registerer = r } }

// WithTimers sets the timer service.
func WithTimers(t mangokeel.Timers) Option { return func(b *Balancer) { b.timers = t } }

// WithPacketListener sets the function that opens the packet side of a service.
func WithPacketListener(fn func(netip.AddrPort) (mangokeel.Fabric, error)) Option {
	return func(b *Balancer) { b.listenPackets = fn }
}

// WithGracePeriod sets how long a leaving balancer still accepts connections.
func WithGracePeriod(d time.Duration) Option { return func(b *Balancer) { b.gracePeriod = d } }

// WithDrainTimeout bounds how long a leaving balancer keeps TCP connections. It takes
// precedence over the settings.
func WithDrainTimeout(d time.Duration) Option { return func(b *Balancer) { b.drainTimeout = d } }

// WithShutdownDelay sets how long a balancer that has left still forwards packets.
func WithShutdownDelay(d time.Duration) Option { return func(b *Balancer) { b.shutdownDelay = d } }

// WithReadersPerSocket sets the number of goroutines that read each socket.
func WithReadersPerSocket(n int) Option { return func(b *Balancer) { b.readersPerSocket = n } }

// New opens the data socket and starts to follow control. Services open when the
// first snapshot is there.
func New(cfg settings.Balancer, remote mangokeel.Remote, opts ...Option) (*Balancer, error) {
	b := &Balancer{
		cfg:              cfg,
		log:              log.NewNopLogger(),
		registerer:       prometheus.NewRegistry(),
		timers:           timer.Real{},
		listenPackets:    ListenPackets,
		gracePeriod:      defaultGracePeriod,
		drainTimeout:     defaultDrainTimeout,
		shutdownDelay:    defaultShutdownDelay,
		readersPerSocket: defaultReadersPerSocket,
		streams:          streams{active: map[*stream]struct{}{}},
		bindErrors:       map[mangokeel.ServiceID]string{},
		stop:             make(chan struct{}),
	}
	if cfg.Drain > 0 {
		b.drainTimeout = time.Duration(cfg.Drain)
	}
	for _, o := range opts {
		o(b)
	}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	b.endpoints.Store(&endpoints{})
	var err error
	if b.dataSocket, err = openDataSocket(cfg.Data); err != nil {
		return nil, err
	}
	b.scratch.New = b.newScratch
	b.metrics = newMetrics(b.registerer)
	for range b.readersPerSocket {
		b.dataSocket.readers.Go(b.readReplies)
	}
	b.follower = view.NewFollower(&b.view, remote, cfg.Control, b.joinRequest(),
		view.WithChanged(b.onViewChange),
		view.WithJoined(func(id uint32) { _ = level.Info(b.log).Log("msg", "joined", "id", id) }))
	b.bindRetryTimer = b.timers.Every(bindRetryInterval, func(time.Time) { b.retryFailedBinds() })
	return b, nil
}

func (b *Balancer) joinRequest() *wire.JoinRequest {
	return &wire.JoinRequest{Role: wire.Role_ROLE_BALANCER, Zone: b.cfg.Zone, Data: b.dataSocket.address.String()}
}

// Run returns after Stop, once the balancer has left and closed everything.
func (b *Balancer) Run() error {
	<-b.stop
	if b.follower.ID() == 0 {
		// Nobody has heard of this balancer, so nothing is moved away from it.
		b.follower.Close()
		b.shutdown()
		return nil
	}
	b.leave(false)
	b.sleep(b.gracePeriod)
	b.stopAcceptingStreams()
	b.waitForStreams()
	b.follower.Close()
	b.leave(true)
	b.sleep(b.shutdownDelay)
	b.shutdown()
	return nil
}

// shutdown closes everything.
func (b *Balancer) shutdown() {
	b.bindRetryTimer.Cancel()
	b.cancel()
	b.closeEndpoints()
	b.streams.close()
	b.dataSocket.close()
}

// Stop makes Run leave. It returns at once.
func (b *Balancer) Stop() { b.stopOnce.Do(func() { close(b.stop) }) }

func (b *Balancer) leave(gone bool) {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := b.follower.Leave(ctx, gone); err != nil {
		_ = level.Warn(b.log).Log("msg", "departure not announced", "gone", gone, "err", err)
		return
	}
	_ = level.Info(b.log).Log("msg", "leaving", "gone", gone, "connections", b.streams.count())
}

// stopAcceptingStreams closes the TCP listeners. Open connections continue.
func (b *Balancer) stopAcceptingStreams() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refusingStreams = true
	for _, e := range *b.endpoints.Load() {
		e.streams.Close()
	}
}

// waitForStreams returns when no TCP connection is open or the drain time is over.
func (b *Balancer) waitForStreams() {
	done := make(chan struct{})
	var once sync.Once
	end := b.timers.Now().Add(b.drainTimeout)
	sub := b.timers.Every(drainCheckInterval, func(now time.Time) {
		if b.streams.count() == 0 || now.After(end) {
			once.Do(func() { close(done) })
		}
	})
	<-done
	sub.Cancel()
}

// sleep returns after d.
func (b *Balancer) sleep(d time.Duration) {
	done := make(chan struct{})
	b.timers.After(d, func(time.Time) { close(done) })
	<-done
}

// onViewChange opens and closes sockets after an update of the view.
func (b *Balancer) onViewChange(s *view.State) {
	b.metrics.revision.Set(float64(s.Revision))
	b.reconcileEndpoints(s)
	b.closeOrphanedStreams(s)
}

func (b *Balancer) retryFailedBinds() {
	b.mu.Lock()
	n := len(b.bindErrors)
	b.mu.Unlock()
	if n > 0 {
		b.reconcileEndpoints(b.view.State())
	}
}

// reconcileEndpoints makes the open services those of s.
func (b *Balancer) reconcileEndpoints(s *view.State) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	old := *b.endpoints.Load()
	next := endpoints{}
	for id, e := range old {
		if svc := s.Service(id); svc != nil && b.listenAddress(svc) == e.address {
			next[id] = e
		}
	}
	b.endpoints.Store(&next)
	for id, e := range old {
		if next[id] == nil {
			e.close()
			_ = level.Info(b.log).Log("msg", "service closed", "service", id, "address", e.address)
		}
	}
	b.openMissingEndpoints(s, next)
}

// openMissingEndpoints opens the services of s that are not in have.
func (b *Balancer) openMissingEndpoints(s *view.State, have endpoints) {
	next := endpoints{}
	for id, e := range have {
		next[id] = e
	}
	failed := map[mangokeel.ServiceID]string{}
	for svc := range s.Services {
		if next[svc.ID] != nil {
			continue
		}
		e, err := b.openEndpoint(svc.ID, b.listenAddress(svc))
		if err != nil {
			failed[svc.ID] = err.Error()
			b.recordBindError(svc.ID, err)
			continue
		}
		next[svc.ID] = e
		_ = level.Info(b.log).Log("msg", "service opened", "service", svc.ID, "name", svc.GetName(), "address", e.address)
	}
	b.bindErrors = failed
	b.endpoints.Store(&next)
	b.metrics.services.Set(float64(len(next)))
}

// recordBindError logs the first of a row of equal failures.
func (b *Balancer) recordBindError(id mangokeel.ServiceID, err error) {
	b.metrics.bindFailures.Inc()
	if b.bindErrors[id] != err.Error() {
		_ = level.Error(b.log).Log("msg", "service not opened", "service", id, "err", err)
	}
}

// listenAddress returns where this balancer listens for a service.
func (b *Balancer) listenAddress(svc *view.Service) netip.AddrPort {
	if b.cfg.Anycast {
		return svc.Address
	}
	return netip.AddrPortFrom(b.cfg.Address, svc.Address.Port())
}

// endpoint returns the open service or nil.
func (b *Balancer) endpoint(id mangokeel.ServiceID) *endpoint { return (*b.endpoints.Load())[id] }

func (b *Balancer) closeEndpoints() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	for _, e := range *b.endpoints.Load() {
		e.close()
	}
	b.endpoints.Store(&endpoints{})
}
