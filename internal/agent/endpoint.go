package agent

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"encoding/binary"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"mangokeel"
	"mangokeel/internal/cid"
	"mangokeel/internal/view"
)

const (
	// idleTimeout ends QUIC connections whose callers vanished.
	idleTimeout = 2 * time.Minute
	// keepAlive keeps the path open for callers that only listen.
	keepAlive = 20 * time.Second
	// handshakeTimeout leaves a caller on a slow link several tries.
	handshakeTimeout = 15 * time.Second
	// reapPeriod is the time between two looks for idle connections.
	reapPeriod = 500 * time.Millisecond
	// goawayGrace is the time that a caller has to close its connection after a
	// GOAWAY, before it is closed while idle.
	goawayGrace = 3 * time.Second
	// queueLen is the number of packets that wait for the QUIC endpoint.
	queueLen = 4096
	// minReset is the size of the smallest stateless reset.
	minReset = 21
	// maxReset is the size above which stateless resets need not grow.
	maxReset = 43
)

// endpoint is the QUIC and HTTP/3 endpoint of one handle.
type endpoint struct {
	service   mangokeel.ServiceID
	handle    mangokeel.Handle
	handler   http.Handler
	tls       *tls.Config
	resetKey  quic.StatelessResetKey
	keys      atomic.Pointer[cid.Keys]
	conn      *packetConn
	transport *quic.Transport
	listener  *quic.Listener
	ctx       context.Context
	cancel    context.CancelFunc
	resets    atomic.Uint64

	mu sync.Mutex
	// server serves new connections. Those of earlier ones were told to go.
	server  *http3.Server
	leaving bool
	conns   map[*quic.Conn]*connection
}

// connection is one caller's QUIC connection.
type connection struct {
	running atomic.Int32
	// entered is set once the server has counted the connection.
	entered bool
	// told is the time of the GOAWAY, or zero.
	told time.Time
}

type connectionKey struct{}

// newEndpoint opens an endpoint on a's data socket.
func newEndpoint(a *Agent, reg *registration, svc *view.Service) (*endpoint, error) {
	e := &endpoint{
		service: reg.service,
		handle:  reg.handle,
		handler: a.counted(a.target),
		tls:     http3.ConfigureTLSConfig(&tls.Config{GetCertificate: a.cert.get, MinVersion: tls.VersionTLS13}),
		conns:   map[*quic.Conn]*connection{},
	}
	e.resetKey = sha256.Sum256(append([]byte("reset"), svc.GetReset_()...))
	token := quic.TokenGeneratorKey(sha256.Sum256(append([]byte("token"), svc.GetReset_()...)))
	e.keys.Store(svc.Keys)
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.conn = newPacketConn(a.udp.LocalAddr(), func(caller netip.AddrPort, b []byte) error {
		return a.replies.send(e.service, e.handle, caller, b, a.timers.Now())
	})
	e.transport = &quic.Transport{
		Conn:                  e.conn,
		ConnectionIDGenerator: e,
		StatelessResetKey:     &e.resetKey,
		TokenGeneratorKey:     &token,
	}
	e.server = e.newServer()
	var err error
	e.listener, err = e.transport.Listen(e.tls, &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIdleTimeout:       idleTimeout,
		KeepAlivePeriod:      keepAlive,
		// The encapsulation needs room that path MTU discovery would use up.
		DisablePathMTUDiscovery: true,
		Allow0RTT:               false,
	})
	if err != nil {
		e.cancel()
		return nil, errors.Wrap(err, "open QUIC endpoint")
	}
	go e.accept()
	return e, nil
}

// GenerateConnectionID implements quic.ConnectionIDGenerator.
func (e *endpoint) GenerateConnectionID() (quic.ConnectionID, error) {
	var r [8]byte
	// Read of crypto/rand never fails.
	_, _ = rand.Read(r[:])
	id := e.keys.Load().New(e.service, e.handle, binary.BigEndian.Uint64(r[:]))
	return quic.ConnectionIDFromBytes(id[:]), nil
}

// ConnectionIDLen implements quic.ConnectionIDGenerator.
func (*endpoint) ConnectionIDLen() int { return cid.Len }

func (e *endpoint) newServer() *http3.Server {
	return &http3.Server{
		Handler: http.HandlerFunc(e.serve),
		ConnContext: func(ctx context.Context, c *quic.Conn) context.Context {
			e.mu.Lock()
			defer e.mu.Unlock()
			x := e.conns[c]
			x.entered = true
			return context.WithValue(ctx, connectionKey{}, x)
		},
	}
}

// serve counts the requests of a connection.
func (e *endpoint) serve(w http.ResponseWriter, r *http.Request) {
	c, _ := r.Context().Value(connectionKey{}).(*connection)
	if c != nil {
		c.running.Add(1)
		defer c.running.Add(-1)
	}
	e.handler.ServeHTTP(w, r)
}

// accept serves connections until the endpoint is closed.
func (e *endpoint) accept() {
	for {
		c, err := e.listener.Accept(e.ctx)
		if err != nil {
			return
		}
		go e.serveConn(c)
	}
}

func (e *endpoint) serveConn(c *quic.Conn) {
	e.mu.Lock()
	s := e.server
	e.conns[c] = &connection{}
	e.mu.Unlock()
	// The error is the reason why the connection ended. A server that was told to
	// go in the meantime leaves it open.
	_ = s.ServeQUICConn(c)
	_ = c.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
	e.mu.Lock()
	delete(e.conns, c)
	e.mu.Unlock()
}

// leave sets whether callers are told to use another connection for new requests.
// Requests that have begun go on.
func (e *endpoint) leave(leaving bool) {
	e.mu.Lock()
	e.leaving = leaving
	e.mu.Unlock()
}

// reap tells the callers of a leaving target to go, those of late connections
// included, and closes connections without requests whose callers did not go.
func (e *endpoint) reap(now time.Time) {
	var idle []*quic.Conn
	e.mu.Lock()
	if e.leaving {
		e.tell(now)
	}
	for q, c := range e.conns {
		if !c.told.IsZero() && now.Sub(c.told) > goawayGrace && c.running.Load() == 0 {
			idle = append(idle, q)
		}
	}
	e.mu.Unlock()
	for _, q := range idle {
		_ = q.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
	}
}

// tell sends a GOAWAY to all callers that have none yet. The server's Shutdown does
// so; another server takes its place. A connection that the server has not yet
// counted would end its count twice, which panics, so tell waits for it. The
// caller holds mu.
func (e *endpoint) tell(now time.Time) {
	var untold []*connection
	for _, c := range e.conns {
		switch {
		case !c.told.IsZero():
		case !c.entered:
			return
		default:
			untold = append(untold, c)
		}
	}
	if len(untold) == 0 {
		return
	}
	for _, c := range untold {
		c.told = now
	}
	old := e.server
	e.server = e.newServer()
	go func() { _ = old.Shutdown(e.ctx) }()
}

// abandon closes all connections.
func (e *endpoint) abandon(reason string) {
	e.mu.Lock()
	conns := make([]*quic.Conn, 0, len(e.conns))
	for q := range e.conns {
		conns = append(conns, q)
	}
	e.mu.Unlock()
	for _, q := range conns {
		_ = q.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeInternalError), reason)
	}
}

// close ends the endpoint and its connections.
func (e *endpoint) close(reason string) {
	e.abandon(reason)
	e.cancel()
	e.transport.Close()
}

// len returns the number of connections.
func (e *endpoint) len() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.conns)
}

// reset answers a packet whose target has left with a stateless reset. It is
// written here and not by the transport, which does not answer the short packets
// of a caller that only listens. A reset is shorter than the packet it answers,
// so that two endpoints cannot answer each other without end.
func (e *endpoint) reset(caller netip.AddrPort, payload []byte) {
	id := cid.Find(payload)
	n := min(len(payload)-1, maxReset)
	if len(id) != cid.Len || payload[0]&0x80 != 0 || n < minReset {
		return
	}
	b := make([]byte, n)
	// Read of crypto/rand never fails.
	_, _ = rand.Read(b)
	b[0] = b[0]&0x3f | 0x40
	mac := hmac.New(sha256.New, e.resetKey[:])
	mac.Write(id)
	copy(b[n-16:], mac.Sum(nil))
	e.resets.Add(1)
	_ = e.conn.write(caller, b)
}

// datagram is a packet that waits for the QUIC endpoint.
type datagram struct {
	caller netip.AddrPort
	b      []byte
}

// packetConn is the net.PacketConn of a QUIC transport, fed by push.
type packetConn struct {
	local net.Addr
	queue chan datagram
	write func(caller netip.AddrPort, b []byte) error
	once  sync.Once
	done  chan struct{}
}

func newPacketConn(local net.Addr, write func(netip.AddrPort, []byte) error) *packetConn {
	return &packetConn{local: local, queue: make(chan datagram, queueLen), write: write, done: make(chan struct{})}
}

// push queues a copy of b. It is false when the queue is full.
func (c *packetConn) push(caller netip.AddrPort, b []byte) bool {
	d := datagram{caller, append([]byte(nil), b...)}
	select {
	case c.queue <- d:
		return true
	default:
		return false
	}
}

// ReadFrom implements net.PacketConn.
func (c *packetConn) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case d := <-c.queue:
		return copy(b, d.b), net.UDPAddrFromAddrPort(d.caller), nil
	case <-c.done:
		return 0, nil, os.ErrDeadlineExceeded
	}
}

// WriteTo implements net.PacketConn. A reply that cannot be sent counts as lost
// on the way, because the next one may find a balancer.
func (c *packetConn) WriteTo(b []byte, addr net.Addr) (int, error) {
	_ = c.write(unmap(addr.(*net.UDPAddr).AddrPort()), b)
	return len(b), nil
}

func unmap(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// Close implements net.PacketConn.
func (c *packetConn) Close() error {
	c.once.Do(func() { close(c.done) })
	return nil
}

// LocalAddr implements net.PacketConn.
func (c *packetConn) LocalAddr() net.Addr { return c.local }

// SetDeadline implements net.PacketConn.
func (c *packetConn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline implements net.PacketConn. The transport sets a deadline only
// to end its reads when it is closed.
func (c *packetConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() {
		return c.Close()
	}
	return nil
}

// SetWriteDeadline implements net.PacketConn; writes do not block.
func (*packetConn) SetWriteDeadline(time.Time) error { return nil }

// SetReadBuffer keeps the transport from warning about buffers; they belong to
// the data socket.
func (*packetConn) SetReadBuffer(int) error { return nil }

// SetWriteBuffer is like SetReadBuffer.
func (*packetConn) SetWriteBuffer(int) error { return nil }
