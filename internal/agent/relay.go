package agent

import (
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// refusalKept is the time for which a UDP target counts as down after it refused
// a packet and answered none since.
const refusalKept = 3 * time.Second

// relay passes the packets of a UDP service on to the target, with one connected
// socket for each flow.
type relay struct {
	target   netip.AddrPort
	reg      *registration
	replies  *replies
	counters *counters
	// datagrams has receive buffers of maxDatagram bytes. A buffer is taken only
	// once a packet is there, so that idle flows have none.
	datagrams sync.Pool

	mu sync.Mutex
	// socks has a socket for each flow of the table, opened by its first packet.
	socks map[netip.AddrPort]*net.UDPConn
	// closed refuses new flows after the handle's end.
	closed bool
}

func newRelay(target netip.AddrPort, reg *registration, r *replies, c *counters) *relay {
	return &relay{target: target, reg: reg, replies: r, counters: c, socks: map[netip.AddrPort]*net.UDPConn{}}
}

// send passes a caller's packet to the target.
func (r *relay) send(caller netip.AddrPort, b []byte) {
	c, err := r.sock(caller)
	if err == nil {
		_, err = c.Write(b)
	}
	if err != nil {
		r.failed(err)
	}
}

func (r *relay) sock(caller netip.AddrPort) (*net.UDPConn, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.socks[caller]; c != nil {
		return c, nil
	}
	if r.closed {
		return nil, net.ErrClosed
	}
	c, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(r.target))
	if err != nil {
		return nil, errors.Wrap(err, "open flow to target")
	}
	r.socks[caller] = c
	go r.read(caller, c)
	return c, nil
}

// read passes the target's packets to the caller until the flow ends. It takes a
// buffer only once a packet is there, because most flows are silent.
func (r *relay) read(caller netip.AddrPort, c *net.UDPConn) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	for {
		var failure error
		err := raw.Read(func(fd uintptr) bool {
			b, ok := r.datagrams.Get().(*[maxDatagram]byte)
			if !ok {
				b = new([maxDatagram]byte)
			}
			defer r.datagrams.Put(b)
			n, err := syscall.Read(int(fd), b[:])
			if errors.Is(err, syscall.EAGAIN) {
				return false
			}
			if failure = err; err == nil {
				r.reply(caller, b[:n])
			}
			return true
		})
		switch {
		case err != nil:
			return
		case failure != nil:
			r.failed(failure)
		}
	}
}

// reply passes one packet of the target to the caller. One that cannot be sent is
// counted by replies.
func (r *relay) reply(caller netip.AddrPort, b []byte) {
	r.counters.refusedAt.Store(0)
	_ = r.replies.send(r.reg.service, r.reg.handle, caller, b, time.Now())
}

// failed records an error of a flow's socket.
func (r *relay) failed(err error) {
	r.counters.targetErrors.Add(1)
	if errors.Is(err, syscall.ECONNREFUSED) {
		r.counters.refusedAt.Store(time.Now().UnixNano())
	}
}

// end closes a flow's socket.
func (r *relay) end(caller netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.socks[caller]; c != nil {
		c.Close()
		delete(r.socks, caller)
	}
}

// close ends all flows and the relay.
func (r *relay) close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.abandon()
}

// abandon ends all flows.
func (r *relay) abandon() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k, c := range r.socks {
		c.Close()
		delete(r.socks, k)
	}
}
