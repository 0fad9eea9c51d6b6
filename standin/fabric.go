// Package standin has small programs that stand for the systems around mangokeel
// in demonstrations and tests: the fabric in front of the balancers, targets, and
// callers. They use loopback addresses.
package standin

import (
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Limits of a Fabric.
const (
	// maxPacket is the largest UDP payload in bytes.
	maxPacket = 65507
	// maxCallers bounds the sockets; packets of further callers are dropped.
	maxCallers = 16384
	// defaultIdle is how long a caller's socket stays without packets.
	defaultIdle = 5 * time.Minute
	// dialTimeout bounds each connection to a balancer.
	dialTimeout = time.Second
	// reorderDelay bounds how long a reordered packet is held.
	reorderDelay = 5 * time.Millisecond
)

// Faults are the probabilities, 0 to 1, of what happens to a packet on its way to
// a balancer or back.
type Faults struct {
	Loss      float64
	Duplicate float64
	Reorder   float64
}

// FabricCounts are the events of a Fabric since its start.
type FabricCounts struct {
	Packets     uint64
	Replies     uint64
	Dropped     uint64
	Duplicated  uint64
	Reordered   uint64
	Connections uint64
}

// Fabric stands for the network in front of the balancers. It hands each packet
// of a service to a random balancer and each TCP connection to one balancer. All
// balancers see the same address for the same caller.
type Fabric struct {
	packets *net.UDPConn
	streams *net.TCPListener
	faults  Faults
	idle    time.Duration

	balancers atomic.Pointer[[]netip.AddrPort]

	// mu guards random, callers and conns.
	mu      sync.Mutex
	random  *rand.Rand
	callers map[netip.AddrPort]*callerSocket
	conns   map[net.Conn]struct{}
	closed  bool
	done    sync.WaitGroup

	sent, replied, dropped, duplicated, reordered, connected atomic.Uint64
}

// callerSocket is what the balancers see of one caller.
type callerSocket struct {
	caller netip.AddrPort
	c      *net.UDPConn
	// used is the time of the last packet in either direction, in Unix nanoseconds.
	used atomic.Int64
}

// FabricOption changes a Fabric.
type FabricOption func(*Fabric)

// WithSeed sets the seed of all random choices.
func WithSeed(seed uint64) FabricOption {
	return func(f *Fabric) { f.random = rand.New(rand.NewPCG(seed, 0)) }
}

// WithFaults sets the faults for packets. TCP connections have none.
func WithFaults(x Faults) FabricOption { return func(f *Fabric) { f.faults = x } }

// WithIdle sets how long a caller's socket stays without packets.
func WithIdle(d time.Duration) FabricOption { return func(f *Fabric) { f.idle = d } }

// WithBalancers sets the first balancers.
func WithBalancers(a []netip.AddrPort) FabricOption {
	return func(f *Fabric) { f.SetBalancers(a) }
}

// NewFabric listens on the public UDP and TCP address of a service. Close ends it.
func NewFabric(public netip.AddrPort, opts ...FabricOption) (*Fabric, error) {
	f := &Fabric{
		idle:    defaultIdle,
		random:  rand.New(rand.NewPCG(1, 0)),
		callers: map[netip.AddrPort]*callerSocket{},
		conns:   map[net.Conn]struct{}{},
	}
	f.SetBalancers(nil)
	for _, o := range opts {
		o(f)
	}
	var err error
	if f.packets, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(public)); err != nil {
		return nil, errors.Wrap(err, "listen for packets")
	}
	// The same port for both, also when the system chose it.
	if f.streams, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(f.Addr())); err != nil {
		f.packets.Close()
		return nil, errors.Wrap(err, "listen for connections")
	}
	f.done.Go(f.readPackets)
	f.done.Go(f.accept)
	return f, nil
}

// Addr returns the public address.
func (f *Fabric) Addr() netip.AddrPort { return f.packets.LocalAddr().(*net.UDPAddr).AddrPort() }

// SetBalancers replaces the service sockets that get packets and connections.
// Open connections stay where they are.
func (f *Fabric) SetBalancers(a []netip.AddrPort) {
	a = append([]netip.AddrPort(nil), a...)
	f.balancers.Store(&a)
}

// Counts returns the events since the start.
func (f *Fabric) Counts() FabricCounts {
	return FabricCounts{
		Packets: f.sent.Load(), Replies: f.replied.Load(), Dropped: f.dropped.Load(),
		Duplicated: f.duplicated.Load(), Reordered: f.reordered.Load(), Connections: f.connected.Load(),
	}
}

// Close ends all sockets and connections.
func (f *Fabric) Close() {
	f.packets.Close()
	f.streams.Close()
	f.mu.Lock()
	f.closed = true
	for _, s := range f.callers {
		s.c.Close()
	}
	for c := range f.conns {
		c.Close()
	}
	f.mu.Unlock()
	f.done.Wait()
}

// pick returns a random balancer.
func (f *Fabric) pick() (netip.AddrPort, bool) {
	b := *f.balancers.Load()
	if len(b) == 0 {
		return netip.AddrPort{}, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return b[f.random.IntN(len(b))], true
}

func (f *Fabric) readPackets() {
	b := make([]byte, maxPacket)
	for {
		n, caller, err := f.packets.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		s := f.socket(caller)
		if s == nil {
			f.dropped.Add(1)
			continue
		}
		f.pass(b[:n], func(p []byte) {
			to, ok := f.pick()
			if !ok {
				f.dropped.Add(1)
				return
			}
			f.sent.Add(1)
			_, _ = s.c.WriteToUDPAddrPort(p, to)
		})
	}
}

// socket returns the caller's socket, or nil when there are too many.
func (f *Fabric) socket(caller netip.AddrPort) *callerSocket {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.callers[caller]
	if s == nil {
		s = f.open(caller)
	}
	if s != nil {
		s.used.Store(time.Now().UnixNano())
	}
	return s
}

// open makes a socket for a new caller. The caller must hold mu.
func (f *Fabric) open(caller netip.AddrPort) *callerSocket {
	if f.closed || len(f.callers) >= maxCallers {
		return nil
	}
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(f.Addr().Addr(), 0)))
	if err != nil {
		return nil
	}
	s := &callerSocket{caller: caller, c: c}
	f.callers[caller] = s
	f.done.Go(func() { f.readReplies(s) })
	return s
}

// readReplies relays packets for one caller until its socket is idle or closed.
func (f *Fabric) readReplies(s *callerSocket) {
	defer s.c.Close()
	b := make([]byte, maxPacket)
	for {
		_ = s.c.SetReadDeadline(time.Now().Add(f.idle))
		n, _, err := s.c.ReadFromUDPAddrPort(b)
		var timeout net.Error
		switch {
		case errors.As(err, &timeout) && timeout.Timeout():
			if f.expire(s) {
				return
			}
			continue
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			continue // an ICMP error: the balancer is gone
		}
		s.used.Store(time.Now().UnixNano())
		f.pass(b[:n], func(p []byte) {
			f.replied.Add(1)
			_, _ = f.packets.WriteToUDPAddrPort(p, s.caller)
		})
	}
}

// expire forgets the caller when its socket was idle.
func (f *Fabric) expire(s *callerSocket) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Since(time.Unix(0, s.used.Load())) < f.idle {
		return false
	}
	delete(f.callers, s.caller)
	return true
}

// pass sends p zero, one or two times, now or later, as the faults say.
func (f *Fabric) pass(p []byte, send func([]byte)) {
	lose, duplicate, delay := f.roll()
	if lose {
		f.dropped.Add(1)
		return
	}
	if duplicate {
		f.duplicated.Add(1)
		send(p)
	}
	if delay == 0 {
		send(p)
		return
	}
	f.reordered.Add(1)
	held := append([]byte(nil), p...)
	time.AfterFunc(delay, func() { send(held) })
}

// roll draws the faults of one packet.
func (f *Fabric) roll() (lose, duplicate bool, delay time.Duration) {
	if f.faults == (Faults{}) {
		return false, false, 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	lose = f.random.Float64() < f.faults.Loss
	duplicate = f.random.Float64() < f.faults.Duplicate
	if f.random.Float64() < f.faults.Reorder {
		delay = 1 + time.Duration(f.random.Int64N(int64(reorderDelay)))
	}
	return lose, duplicate, delay
}

func (f *Fabric) accept() {
	for {
		c, err := f.streams.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		f.done.Go(func() { f.relay(c) })
	}
}

// relay copies one connection to a random balancer and back.
func (f *Fabric) relay(c *net.TCPConn) {
	defer f.forget(c)
	b := f.connect()
	if !f.remember(c) || b == nil {
		_ = c.SetLinger(0)
		return
	}
	defer f.forget(b)
	if !f.remember(b) {
		return
	}
	f.connected.Add(1)
	var done sync.WaitGroup
	done.Go(func() { copyStream(b, c) })
	copyStream(c, b)
	done.Wait()
}

// connect tries the balancers in random order until one accepts.
func (f *Fabric) connect() *net.TCPConn {
	b := *f.balancers.Load()
	f.mu.Lock()
	order := f.random.Perm(len(b))
	f.mu.Unlock()
	for _, i := range order {
		c, err := net.DialTimeout("tcp", b[i].String(), dialTimeout)
		if err == nil {
			return c.(*net.TCPConn)
		}
	}
	return nil
}

// copyStream passes one direction and its end on. An error resets both ends.
func copyStream(to, from *net.TCPConn) {
	if _, err := io.Copy(to, from); err != nil {
		_ = to.SetLinger(0)
		_ = from.SetLinger(0)
		to.Close()
		from.Close()
		return
	}
	_ = to.CloseWrite()
}

func (f *Fabric) remember(c net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conns[c] = struct{}{}
	return !f.closed
}

func (f *Fabric) forget(c net.Conn) {
	f.mu.Lock()
	delete(f.conns, c)
	f.mu.Unlock()
	c.Close()
}
