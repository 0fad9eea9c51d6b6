package agent

import (
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"mangokeel"
	"mangokeel/internal/view"
	"mangokeel/internal/wire"
)

const (
	// viaFresh is the time for which replies go to the balancer that delivered a
	// caller's last packet. After it they take turns over all balancers, so that
	// a caller whose balancer died is reached before the lease of that balancer
	// ends. The time is that of a few retransmissions.
	viaFresh = 250 * time.Millisecond
	// viaKept is the time after which a silent caller's balancer is forgotten.
	viaKept = time.Minute
	// viaSweep is the period of forgetting.
	viaSweep = 10 * time.Second
	// replySize is the initial size of send buffers: an Ethernet frame.
	replySize = 1500
)

// errNoBalancer is returned for replies while the roster has no balancer.
var errNoBalancer = errors.New("no balancer in the roster")

// buffers has send buffers of any size. The zero value is ready for use.
type buffers struct{ pool sync.Pool }

func (p *buffers) get() *[]byte {
	if b, ok := p.pool.Get().(*[]byte); ok {
		return b
	}
	b := make([]byte, 0, replySize)
	return &b
}

func (p *buffers) put(b *[]byte) { p.pool.Put(b) }

// replies sends packets from the target to callers through live balancers.
type replies struct {
	conn    *net.UDPConn
	buffers buffers
	// live are the data addresses of the roster's balancers, sorted.
	live atomic.Pointer[[]netip.AddrPort]
	turn atomic.Uint32
	sent atomic.Uint64
	// rerouted counts replies that did not go to the last balancer.
	rerouted atomic.Uint64
	lost     atomic.Uint64

	mu sync.Mutex
	// via has the balancer that last delivered a packet for each caller.
	via   map[netip.AddrPort]via
	swept time.Time
}

type via struct {
	data netip.AddrPort
	at   time.Time
}

// update takes the balancers of a state.
func (r *replies) update(s *view.State) {
	live := make([]netip.AddrPort, 0, len(s.Balancers()))
	for _, b := range s.Balancers() {
		if a, err := netip.ParseAddrPort(b.GetData()); err == nil {
			live = append(live, a)
		}
	}
	slices.SortFunc(live, netip.AddrPort.Compare)
	r.live.Store(&live)
}

// seen records that a balancer delivered a packet for a caller.
func (r *replies) seen(caller, data netip.AddrPort, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.via == nil {
		r.via = map[netip.AddrPort]via{}
	}
	r.via[caller] = via{data, now}
}

// expire removes callers that have been silent for too long.
func (r *replies) expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.swept) < viaSweep {
		return
	}
	r.swept = now
	for c, v := range r.via {
		if now.Sub(v.at) > viaKept {
			delete(r.via, c)
		}
	}
}

// pick returns the balancer for a reply to caller.
func (r *replies) pick(caller netip.AddrPort, now time.Time) (netip.AddrPort, bool) {
	r.mu.Lock()
	v := r.via[caller]
	r.mu.Unlock()
	var live []netip.AddrPort
	if l := r.live.Load(); l != nil {
		live = *l
	}
	if now.Sub(v.at) < viaFresh {
		if _, ok := slices.BinarySearchFunc(live, v.data, netip.AddrPort.Compare); ok {
			return v.data, true
		}
	}
	if len(live) == 0 {
		return netip.AddrPort{}, false
	}
	r.rerouted.Add(1)
	return live[r.turn.Add(1)%uint32(len(live))], true
}

// send wraps a payload in a REPLY header and sends it towards the caller.
func (r *replies) send(service mangokeel.ServiceID, handle mangokeel.Handle, caller netip.AddrPort, payload []byte, now time.Time) error {
	to, ok := r.pick(caller, now)
	if !ok {
		r.lost.Add(1)
		return errNoBalancer
	}
	h := wire.Header{Kind: wire.Kind_KIND_REPLY, Service: uint32(service), Handle: uint32(handle)}
	h.SetCaller(caller)
	b := r.buffers.get()
	defer r.buffers.put(b)
	m, err := wire.AppendPacket((*b)[:0], &h, payload)
	if err != nil {
		r.lost.Add(1)
		return err
	}
	*b = m
	r.sent.Add(1)
	if _, err := r.conn.WriteToUDPAddrPort(m, to); err != nil {
		r.lost.Add(1)
		return errors.Wrap(err, "send reply")
	}
	return nil
}
