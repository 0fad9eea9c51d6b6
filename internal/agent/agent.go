// Package agent implements the process beside each target. It announces the target to
// control, owns the target's flows, and terminates the callers' QUIC and HTTP connections or
// relays their datagrams.
//
//	a, err := agent.New(cfg, remote, target, agent.WithLogger(log))
//	err = a.Run()  // returns after Stop, when all flows have ended
//
// It consists of the data socket, which passes each packet to package flow; the QUIC endpoint;
// the TCP listener for connections that balancers relay; and the departure, which shuts all of
// it down without interrupting a request.
package agent

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

	"mangokeel"
	"mangokeel/internal/caller"
	"mangokeel/internal/claim"
	"mangokeel/internal/flow"
	"mangokeel/internal/jsonrpc"
	"mangokeel/internal/timer"
	"mangokeel/internal/view"
	"mangokeel/internal/wire"
	"mangokeel/pkg/settings"
)

const (
	// expirePeriod is the time between two looks at a part of the flow table.
	expirePeriod = 250 * time.Millisecond
	// joinPatience is the time after which a target that has not joined is logged.
	joinPatience = 10 * time.Second
	// portTries bounds the search for a port that is free for TCP and UDP.
	portTries = 10
)

// Target runs requests at the target. Package target implements it.
type Target interface {
	http.Handler
	// Update takes the service's record and the target's handle.
	Update(s *view.Service, own mangokeel.Handle)
	// Leave makes it hand new requests over to other agents.
	Leave()
	// SetCold tells that the target is cold.
	SetCold()
	// Load is its part of the report to control.
	Load() *wire.Load
	// Running is the number of requests that have not ended.
	Running() int
	Close()
}

// Agent is the process beside one target.
type Agent struct {
	cfg    settings.Agent
	target Target
	log    log.Logger
	timers mangokeel.Timers
	// cert is nil when no files are set; there is no QUIC endpoint then.
	cert *caller.Certificate

	// out is true from the time the availability zone was taken out until the
	// next registration. The target had no work in between, so it is cold then. It
	// is used by the follower's goroutine only.
	out bool

	// claims is nil without WithClaims; calls serves it.
	claims *claim.Manager
	// callOptions are those of the listener for claims.
	callOptions []jsonrpc.Option
	calls       *jsonrpc.Server
	// heard is the time at which control last confirmed the view, in Unix nanoseconds.
	heard atomic.Int64

	udp      *net.UDPConn
	streams  *caller.Streams
	replies  *replies
	probe    *probe
	view     view.View
	follower *view.Follower
	counters counters
	subs     []mangokeel.Subscription
	done     sync.WaitGroup

	// handle is the one that control gave last.
	handle atomic.Uint32
	// mu orders all uses of the flow table.
	mu sync.Mutex
	// reg is nil until the view has the target's record.
	reg *registration
	// past has the counters of registrations that ended.
	past flow.Counters

	stop     chan struct{}
	stopOnce sync.Once
}

// Option changes an Agent.
type Option func(*Agent)

// WithLogger sets the logger.
func WithLogger(l log.Logger) Option { return func(a *Agent) { a.log = l } }

// WithTimers sets the timer service.
func WithTimers(t mangokeel.Timers) Option { return func(a *Agent) { a.timers = t } }

// New opens the agent's sockets and joins the roster.
func New(cfg settings.Agent, remote mangokeel.Remote, target Target, opts ...Option) (*Agent, error) {
	a := &Agent{
		cfg:     cfg,
		target:  target,
		log:     log.NewNopLogger(),
		timers:  timer.Real{},
		replies: &replies{},
		stop:    make(chan struct{}),
	}
	for _, o := range opts {
		o(a)
	}
	a.probe = &probe{target: cfg.Target}
	if err := a.open(); err != nil {
		return nil, err
	}
	a.subs = append(a.subs,
		a.timers.Every(expirePeriod, a.expire),
		a.timers.Every(probePeriod, a.probeTarget),
		a.timers.Every(caller.ReapPeriod, a.reap),
		a.timers.After(joinPatience, a.warnUnjoined),
	)
	a.done.Add(1)
	go func() {
		defer a.done.Done()
		a.receive()
	}()
	a.follower = view.NewFollower(&a.view, remote, cfg.Control, a.join(),
		view.WithReport(a.report), view.WithChanged(a.changed), view.WithJoined(a.joined), view.WithConfirmed(a.confirmed))
	return a, nil
}

// open loads the certificate and opens the data socket and the listener.
func (a *Agent) open() error {
	if a.cfg.Cert != "" {
		c, err := caller.LoadCertificate(a.cfg.Cert, a.cfg.Key)
		if err != nil {
			return err
		}
		a.cert = c
	}
	l, err := a.listen()
	if err != nil {
		return err
	}
	// The kernel may allow less; the agent works with what it gets.
	_ = a.udp.SetReadBuffer(socketBuffer)
	_ = a.udp.SetWriteBuffer(socketBuffer)
	a.replies.conn = a.udp
	a.streams = caller.NewStreams(l, a.counted(a.target), a.accepts)
	return a.serveClaims(l)
}

// listen opens the TCP listener and the data socket on one port. Port 0 in the
// settings means any port that is free for both.
func (a *Agent) listen() (l *net.TCPListener, err error) {
	for range portTries {
		l, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(a.cfg.Address))
		if err != nil {
			return nil, errors.Wrap(err, "listen for streams")
		}
		port := l.Addr().(*net.TCPAddr).AddrPort().Port()
		a.udp, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(a.cfg.Address.Addr(), port)))
		if err == nil {
			return l, nil
		}
		l.Close()
		if a.cfg.Address.Port() != 0 {
			break
		}
	}
	return nil, errors.Wrap(err, "open data socket")
}

func (a *Agent) join() *wire.JoinRequest {
	return &wire.JoinRequest{
		Role:    wire.Role_ROLE_AGENT,
		Zone:    a.cfg.Zone,
		Service: a.cfg.Service,
		Host:    a.cfg.Name,
		Agent:   a.udp.LocalAddr().String(),
		Target:  a.cfg.Target.String(),
	}
}

// registration is what belongs to one handle.
type registration struct {
	handle  mangokeel.Handle
	service mangokeel.ServiceID
	// table is guarded by Agent.mu.
	table *flow.Table
	// endpoint is nil for UDP services, relay for HTTP services.
	endpoint *caller.Endpoint
	relay    *relay
	// leaving and closed are used by the follower's goroutine only.
	leaving bool
	closed  bool
}

// joined is called with each handle that control assigns. The flows of an earlier handle are
// no longer reachable for callers, so they are ended.
func (a *Agent) joined(id uint32) {
	a.handle.Store(id)
	a.mu.Lock()
	old := a.reg
	a.reg = nil
	if old != nil {
		a.past = add(a.past, old.table.Counters())
	}
	a.mu.Unlock()
	if old != nil {
		old.end("the lease of the target ended")
	}
	_ = level.Info(a.log).Log("msg", "joined", "handle", id)
}

// warnUnjoined logs that the target is not in the roster, because control cannot be
// reached or refuses it.
func (a *Agent) warnUnjoined(time.Time) {
	if a.handle.Load() == 0 {
		_ = level.Warn(a.log).Log("msg", "not joined yet", "service", a.cfg.Service, "zone", a.cfg.Zone)
	}
}

// changed takes over a new state of the view.
func (a *Agent) changed(s *view.State) {
	a.replies.update(s)
	a.mu.Lock()
	reg := a.reg
	a.mu.Unlock()
	if reg == nil {
		if reg = a.register(s); reg == nil {
			return
		}
		// The handle before this one may have been leaving.
		a.streams.Leave(false)
		if a.out {
			a.out = false
			a.target.SetCold()
		}
		if reg.relay == nil {
			a.probe.check()
		}
	}
	a.mu.Lock()
	closed := reg.table.Update(s)
	a.reg = reg
	a.mu.Unlock()
	a.applyTarget(reg, s.Service(reg.service), closed)
}

// register returns a registration for the present handle once the view has it.
func (a *Agent) register(s *view.State) *registration {
	h := mangokeel.Handle(a.handle.Load())
	for svc := range s.Services {
		if svc.Targets[h] == nil {
			continue
		}
		reg := &registration{handle: h, service: svc.ID}
		reg.table = flow.New(flow.Config{Service: svc.ID, Handle: h, Protocol: svc.GetProtocol()})
		if svc.GetProtocol() == wire.Protocol_PROTOCOL_UDP {
			reg.relay = newRelay(a.cfg.Target, reg, a.replies, &a.counters)
			return reg
		}
		if a.cert == nil {
			return reg
		}
		reg.endpoint = a.endpoint(reg, svc)
		return reg
	}
	return nil
}

// endpoint returns a QUIC endpoint on the data socket, or nil.
func (a *Agent) endpoint(reg *registration, svc *view.Service) *caller.Endpoint {
	e, err := caller.NewEndpoint(caller.Config{
		Service:     reg.service,
		Handle:      reg.handle,
		Handler:     a.counted(a.target),
		Certificate: a.cert,
		Keys:        svc.Keys,
		Reset:       svc.GetReset_(),
		Local:       a.udp.LocalAddr(),
		Send: func(to netip.AddrPort, b []byte) error {
			return a.replies.send(reg.service, reg.handle, to, b, a.timers.Now())
		},
	})
	if err != nil {
		_ = level.Error(a.log).Log("msg", "no QUIC endpoint", "err", err)
		return nil
	}
	return e
}

// applyTarget reacts to changes of the target's own record.
func (a *Agent) applyTarget(reg *registration, svc *view.Service, closed bool) {
	if svc == nil || svc.Targets[reg.handle] == nil {
		return
	}
	a.target.Update(svc, reg.handle)
	leaving := svc.Targets[reg.handle].GetState() == wire.State_STATE_LEAVING
	if reg.endpoint != nil {
		reg.endpoint.SetKeys(svc.Keys)
	}
	if leaving != reg.leaving {
		reg.leaving = leaving
		a.streams.Leave(leaving)
		if reg.endpoint != nil {
			reg.endpoint.Leave(leaving)
		}
		_ = level.Info(a.log).Log("msg", "state changed", "leaving", leaving)
	}
	if closed != reg.closed {
		reg.closed = closed
		a.out = closed
		_ = level.Info(a.log).Log("msg", "availability zone changed", "out", closed)
	}
	if closed {
		a.abandon(reg)
	}
}

// abandon ends all flows of a target whose availability zone is out of service.
func (a *Agent) abandon(reg *registration) {
	const reason = "availability zone out of service"
	a.streams.Abandon()
	if reg.endpoint != nil {
		reg.endpoint.Abandon(reason)
	}
	if reg.relay != nil {
		reg.relay.abandon()
	}
}

// end closes what belongs to the registration.
func (r *registration) end(reason string) {
	if r.endpoint != nil {
		r.endpoint.Close(reason)
	}
	if r.relay != nil {
		r.relay.close()
	}
}

// report returns the report that is sent to control with each poll.
func (a *Agent) report() view.Report {
	r := view.Report{Load: a.load(), Ready: a.ready()}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.reg == nil {
		return r
	}
	r.Load.Flows = uint32(a.flows())
	epoch, free := a.reg.table.Release()
	if !free.Empty() {
		r.Release = &wire.Release{Handle: uint32(a.reg.handle), Epoch: uint64(epoch), Buckets: free}
	}
	return r
}

// probeTarget checks the target of an HTTP service. A UDP target need not listen on TCP.
func (a *Agent) probeTarget(time.Time) {
	a.mu.Lock()
	http := a.reg != nil && a.reg.relay == nil
	a.mu.Unlock()
	if http {
		a.probe.check()
	}
}

// load returns the target's load. The weight is 0 while the target does not accept
// connections or packets.
func (a *Agent) load() *wire.Load {
	l := a.target.Load()
	refused := a.counters.refusedAt.Load()
	if !a.probe.up() || (refused != 0 && a.timers.Now().Sub(time.Unix(0, refused)) < refusalKept) {
		l.Weight = 0
	}
	return l
}

// flows returns the number of open flows. The caller holds mu.
func (a *Agent) flows() int {
	n := a.streams.Len()
	switch {
	case a.reg == nil:
	case a.reg.endpoint != nil:
		n += a.reg.endpoint.Len()
	default:
		n += a.reg.table.Len()
	}
	return n
}

// expire removes idle flows.
func (a *Agent) expire(now time.Time) {
	a.replies.expire(now)
	var ended []netip.AddrPort
	a.mu.Lock()
	reg := a.reg
	if reg != nil {
		reg.table.Expire(now, func(c netip.AddrPort) { ended = append(ended, c) })
	}
	a.mu.Unlock()
	if reg == nil || reg.relay == nil {
		return
	}
	for _, c := range ended {
		reg.relay.end(c)
	}
}

// accepts reports whether a stream is for this agent.
func (a *Agent) accepts(h *wire.Header) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	ok := a.reg != nil && h.GetKind() == wire.Kind_KIND_STREAM &&
		h.GetService() == uint32(a.reg.service) && h.GetHandle() == uint32(a.reg.handle) &&
		a.reg.relay == nil
	if !ok {
		a.counters.refused.Add(1)
	}
	return ok
}

// reap closes idle connections of a leaving target.
func (a *Agent) reap(now time.Time) {
	a.mu.Lock()
	reg := a.reg
	a.mu.Unlock()
	if reg != nil && reg.endpoint != nil {
		reg.endpoint.Reap(now)
	}
}
