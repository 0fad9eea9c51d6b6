// Package fabric implements the balancer, which receives packets and TCP
// connections from the network fabric and forwards them to the agents of their
// targets.
//
// A balancer is stateless on the packet path: apart from open TCP connections,
// it can be replaced without breaking a flow. It receives the list of services
// from control and opens a UDP socket and a TCP listener for each of them:
//
//	b, err := fabric.New(cfg, remote, fabric.WithLogger(l), fabric.WithRegisterer(r))
//	err = b.Run() // returns after Stop
//
// Decision.Decide chooses the target of a packet. It does no I/O; its result
// depends only on the node's view, the caller's address and the packet.
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

// Intervals and timeouts.
const (
	// defaultGracePeriod is how long a leaving balancer still accepts connections.
	// The status address stops answering immediately, so a fabric that runs a health
	// check every second or two has switched to other balancers within this time.
	defaultGracePeriod = 5 * time.Second
	// defaultDrainTimeout limits how long a leaving balancer keeps TCP connections
	// open. Dispatch feeds stay connected for a whole work shift.
	defaultDrainTimeout = 8 * time.Hour
	// drainCheckInterval is how often a leaving balancer checks for open connections.
	drainCheckInterval = 50 * time.Millisecond
	// bindRetryInterval is how often opening failed service sockets is retried.
	bindRetryInterval = time.Second
	// leaveTimeout is the timeout of each leave call to control.
	leaveTimeout = 3 * time.Second
	// defaultShutdownDelay is how long a balancer keeps forwarding after it has left
	// the roster. Agents learn of the departure with their next poll, within 1 s, and
	// send replies through this balancer until then.
	defaultShutdownDelay = 2 * time.Second
	// defaultReadersPerSocket is the number of goroutines that read each socket. Over
	// loopback, more readers reduce throughput because they contend for the socket's
	// lock.
	defaultReadersPerSocket = 1
)

// endpoints maps each service to its open sockets.
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
	// scratch is a pool of *scratch.
	scratch sync.Pool

	// mu serializes changes to endpoints and guards the fields below, up to ctx.
	mu sync.Mutex
	// endpoints is copy-on-write, so the reply path reads it without a lock.
	endpoints atomic.Pointer[endpoints]
	// bindErrors holds the error of each service whose sockets could not be opened.
	bindErrors map[mangokeel.ServiceID]string
	// refusingStreams is set once the TCP listeners are closed.
	refusingStreams bool
	// closed is set at shutdown; no sockets are opened afterwards.
	closed bool

	// ctx is cancelled at shutdown and aborts dials to agents.
	ctx            context.Context
	cancel         context.CancelFunc
	bindRetryTimer mangokeel.Subscription
	stop           chan struct{}
	stopOnce       sync.Once
}

// Option configures a Balancer.
type Option func(*Balancer)

// WithLogger sets the logger. By default nothing is logged.
func WithLogger(l log.Logger) Option { return func(b *Balancer) { b.log = l } }

// WithRegisterer sets the Prometheus registerer of the metrics.
func WithRegisterer(r prometheus.Registerer) Option { return func(b *Balancer) { b.registerer = r } }

// WithTimers sets the timer service. The default uses real time.
func WithTimers(t mangokeel.Timers) Option { return func(b *Balancer) { b.timers = t } }

// WithPacketListener sets the function that opens the UDP socket of a service. The
// default is ListenPackets.
func WithPacketListener(fn func(netip.AddrPort) (mangokeel.Fabric, error)) Option {
	return func(b *Balancer) { b.listenPackets = fn }
}

// WithGracePeriod sets how long a leaving balancer still accepts TCP connections.
func WithGracePeriod(d time.Duration) Option { return func(b *Balancer) { b.gracePeriod = d } }

// WithDrainTimeout limits how long a leaving balancer keeps TCP connections open.
// It takes precedence over the settings.
func WithDrainTimeout(d time.Duration) Option { return func(b *Balancer) { b.drainTimeout = d } }

// WithShutdownDelay sets how long a balancer keeps forwarding packets after it has
// left the roster.
func WithShutdownDelay(d time.Duration) Option { return func(b *Balancer) { b.shutdownDelay = d } }

// WithReadersPerSocket sets the number of goroutines that read each socket.
func WithReadersPerSocket(n int) Option { return func(b *Balancer) { b.readersPerSocket = n } }

// New opens the data socket and starts to receive updates from control. Service
// sockets open when the first update arrives.
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

// Run blocks until Stop is called, then drains the balancer: it announces the
// departure, accepts TCP connections for the grace period, waits for open ones up
// to the drain timeout, leaves the roster, forwards packets for the shutdown delay,
// and closes all sockets.
func (b *Balancer) Run() error {
	<-b.stop
	if b.follower.ID() == 0 {
		// The balancer never joined the roster, so no traffic has to be moved away.
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

// shutdown closes all sockets and waits for their goroutines.
func (b *Balancer) shutdown() {
	b.bindRetryTimer.Cancel()
	b.cancel()
	b.closeEndpoints()
	b.streams.close()
	b.dataSocket.close()
}

// Stop makes Run drain the balancer and return. Stop does not block.
func (b *Balancer) Stop() { b.stopOnce.Do(func() { close(b.stop) }) }

// leave notifies control that the balancer is leaving, or, if gone is set, that it has
// left.
func (b *Balancer) leave(gone bool) {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := b.follower.Leave(ctx, gone); err != nil {
		_ = level.Warn(b.log).Log("msg", "failed to announce departure", "gone", gone, "err", err)
		return
	}
	_ = level.Info(b.log).Log("msg", "leaving", "gone", gone, "connections", b.streams.count())
}

// stopAcceptingStreams closes the TCP listeners. Open connections are not affected.
func (b *Balancer) stopAcceptingStreams() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refusingStreams = true
	for _, e := range *b.endpoints.Load() {
		e.streams.Close()
	}
}

// waitForStreams blocks until no TCP connection is open or the drain timeout has
// passed.
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

// sleep blocks for d on the balancer's timers.
func (b *Balancer) sleep(d time.Duration) {
	done := make(chan struct{})
	b.timers.After(d, func(time.Time) { close(done) })
	<-done
}

// onViewChange opens and closes sockets and connections to match a new view.
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

// reconcileEndpoints closes the sockets of services that are not in s or have a new
// address, and opens the missing ones.
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

// openMissingEndpoints opens the services of s that are not in current. The caller
// must hold b.mu.
func (b *Balancer) openMissingEndpoints(s *view.State, current endpoints) {
	next := endpoints{}
	for id, e := range current {
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

// recordBindError counts a bind failure and logs it unless the previous attempt
// failed with the same error.
func (b *Balancer) recordBindError(id mangokeel.ServiceID, err error) {
	b.metrics.bindFailures.Inc()
	if b.bindErrors[id] != err.Error() {
		_ = level.Error(b.log).Log("msg", "failed to open service", "service", id, "err", err)
	}
}

// listenAddress returns the address on which this balancer listens for a service:
// the service's own address with anycast, otherwise the balancer's address with the
// service's port.
func (b *Balancer) listenAddress(svc *view.Service) netip.AddrPort {
	if b.cfg.Anycast {
		return svc.Address
	}
	return netip.AddrPortFrom(b.cfg.Address, svc.Address.Port())
}

// endpoint returns the sockets of a service, or nil if they are not open.
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
