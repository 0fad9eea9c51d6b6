// Package caller speaks with callers: HTTP/3 over packets that balancers deliver,
// and HTTP/1.1 over TCP connections that they relay.
//
// An Endpoint has no socket of its own. Its owner delivers packets to it and sends those that
// it produces:
//
//	e, err := caller.NewEndpoint(caller.Config{..., Send: send})
//	e.Deliver(addr, payload)
//
// Both an Endpoint and Streams can be set to leave: callers then open another connection for
// their next request, and requests in progress continue.
package caller

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
)

const (
	// idleTimeout ends QUIC connections whose callers vanished.
	idleTimeout = 2 * time.Minute
	// keepAlive keeps the path open for callers that only listen.
	keepAlive = 20 * time.Second
	// handshakeTimeout allows several attempts on a slow link.
	handshakeTimeout = 15 * time.Second
	// ReapPeriod is the time between two looks for idle connections.
	ReapPeriod = 500 * time.Millisecond
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

// Config describes an Endpoint.
type Config struct {
	Service     mangokeel.ServiceID
	Handle      mangokeel.Handle
	Handler     http.Handler
	Certificate *Certificate
	// Keys make the connection IDs.
	Keys *cid.Keys
	// Reset is the service's secret for stateless resets.
	Reset []byte
	// Local is the address of the data socket.
	Local net.Addr
	// Send sends a packet to a caller. It must not keep b.
	Send func(caller netip.AddrPort, b []byte) error
}

// Endpoint is the QUIC and HTTP/3 endpoint of one handle.
type Endpoint struct {
	cfg       Config
	resetKey  quic.StatelessResetKey
	keys      atomic.Pointer[cid.Keys]
	conn      *packetConn
	transport *quic.Transport
	listener  *quic.Listener
	ctx       context.Context
	cancel    context.CancelFunc

	mu sync.Mutex
	// server serves new connections. Those of earlier servers have a GOAWAY.
	server  *http3.Server
	leaving bool
	conns   map[*quic.Conn]*connection
}

// connection is one caller's QUIC connection.
type connection struct {
	running atomic.Int32
	// counted is set once the server has counted the connection.
	counted bool
	// goawayAt is the time of the GOAWAY, or zero.
	goawayAt time.Time
}

type connectionKey struct{}

// NewEndpoint returns an endpoint that serves until Close.
func NewEndpoint(cfg Config) (*Endpoint, error) {
	e := &Endpoint{cfg: cfg, conns: map[*quic.Conn]*connection{}}
	e.resetKey = sha256.Sum256(append([]byte("reset"), cfg.Reset...))
	token := quic.TokenGeneratorKey(sha256.Sum256(append([]byte("token"), cfg.Reset...)))
	e.keys.Store(cfg.Keys)
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.conn = newPacketConn(cfg.Local, cfg.Send)
	e.transport = &quic.Transport{
		Conn:                  e.conn,
		ConnectionIDGenerator: e,
		StatelessResetKey:     &e.resetKey,
		TokenGeneratorKey:     &token,
	}
	e.server = e.newServer()
	if err := e.listen(); err != nil {
		e.cancel()
		return nil, err
	}
	go e.accept()
	return e, nil
}

// listen starts the QUIC server on the transport.
func (e *Endpoint) listen() (err error) {
	if !e.keys.Load().CanEncode() {
		return errors.New("no key for connection IDs")
	}
	t := &tls.Config{GetCertificate: e.cfg.Certificate.get, MinVersion: tls.VersionTLS13}
	e.listener, err = e.transport.Listen(http3.ConfigureTLSConfig(t), &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIdleTimeout:       idleTimeout,
		KeepAlivePeriod:      keepAlive,
		// The encapsulation needs room that path MTU discovery would use up.
		DisablePathMTUDiscovery: true,
		Allow0RTT:               false,
	})
	return errors.Wrap(err, "open QUIC endpoint")
}

// GenerateConnectionID implements quic.ConnectionIDGenerator.
func (e *Endpoint) GenerateConnectionID() (quic.ConnectionID, error) {
	var r [8]byte
	// Read of crypto/rand never fails.
	_, _ = rand.Read(r[:])
	id := e.keys.Load().Encode(e.cfg.Service, e.cfg.Handle, binary.BigEndian.Uint64(r[:]))
	return quic.ConnectionIDFromBytes(id[:]), nil
}

// ConnectionIDLen implements quic.ConnectionIDGenerator.
func (*Endpoint) ConnectionIDLen() int { return cid.Len }

func (e *Endpoint) newServer() *http3.Server {
	return &http3.Server{
		Handler: http.HandlerFunc(e.serve),
		ConnContext: func(ctx context.Context, c *quic.Conn) context.Context {
			e.mu.Lock()
			defer e.mu.Unlock()
			x := e.conns[c]
			x.counted = true
			return context.WithValue(ctx, connectionKey{}, x)
		},
	}
}

// serve counts the requests of a connection.
func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	c, _ := r.Context().Value(connectionKey{}).(*connection)
	if c != nil {
		c.running.Add(1)
		defer c.running.Add(-1)
	}
	e.cfg.Handler.ServeHTTP(w, r)
}

// accept serves connections until the endpoint is closed.
func (e *Endpoint) accept() {
	for {
		c, err := e.listener.Accept(e.ctx)
		if err != nil {
			return
		}
		go e.serveConn(c)
	}
}

func (e *Endpoint) serveConn(c *quic.Conn) {
	e.mu.Lock()
	s := e.server
	e.conns[c] = &connection{}
	e.mu.Unlock()
	// The error is the reason why the connection ended. A server that was shut
	// down in the meantime leaves it open.
	_ = s.ServeQUICConn(c)
	_ = c.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
	e.mu.Lock()
	delete(e.conns, c)
	e.mu.Unlock()
}

// SetKeys changes the keys of new connection IDs. Keys that are not usable change
// nothing.
func (e *Endpoint) SetKeys(k *cid.Keys) {
	if k.CanEncode() {
		e.keys.Store(k)
	}
}

// Named returns the handle in the connection ID of a caller's packet, or 0.
func (e *Endpoint) Named(payload []byte) mangokeel.Handle {
	h, _ := e.keys.Load().Decode(e.cfg.Service, cid.FromPacket(payload))
	return h
}

// Deliver hands a copy of a caller's packet to the endpoint. It is false when too
// many packets wait already.
func (e *Endpoint) Deliver(caller netip.AddrPort, payload []byte) bool {
	return e.conn.push(caller, payload)
}

// Leave sets whether callers are asked to use another connection for new requests. Requests in
// progress continue.
func (e *Endpoint) Leave(leaving bool) {
	e.mu.Lock()
	e.leaving = leaving
	e.mu.Unlock()
}

// Reap asks the callers of a leaving target to use another connection, including those that
// connected late, and closes connections without requests whose callers have not done so. It
// must be called every ReapPeriod.
func (e *Endpoint) Reap(now time.Time) {
	var idle []*quic.Conn
	e.mu.Lock()
	if e.leaving {
		e.sendGoaway(now)
	}
	for q, c := range e.conns {
		if !c.goawayAt.IsZero() && now.Sub(c.goawayAt) > goawayGrace && c.running.Load() == 0 {
			idle = append(idle, q)
		}
	}
	e.mu.Unlock()
	for _, q := range idle {
		_ = q.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
	}
}

// sendGoaway sends a GOAWAY to all callers that have none yet. The server's Shutdown does
// so; another server takes its place. A connection that the server has not yet
// counted would end its count twice, which panics, so it waits for it. The
// caller holds mu.
func (e *Endpoint) sendGoaway(now time.Time) {
	var pending []*connection
	for _, c := range e.conns {
		switch {
		case !c.goawayAt.IsZero():
		case !c.counted:
			return
		default:
			pending = append(pending, c)
		}
	}
	if len(pending) == 0 {
		return
	}
	for _, c := range pending {
		c.goawayAt = now
	}
	old := e.server
	e.server = e.newServer()
	go func() { _ = old.Shutdown(e.ctx) }()
}

// Abandon closes all connections with a reason.
func (e *Endpoint) Abandon(reason string) {
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

// Close ends the endpoint and its connections with a reason.
func (e *Endpoint) Close(reason string) {
	e.Abandon(reason)
	e.cancel()
	e.transport.Close()
}

// Len returns the number of connections.
func (e *Endpoint) Len() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.conns)
}

// Reset answers a packet whose target has left with a stateless reset. It is
// written here and not by the transport, which does not answer the short packets
// of a caller that only listens. A reset is shorter than the packet it answers,
// so that two endpoints cannot answer each other without end.
func (e *Endpoint) Reset(caller netip.AddrPort, payload []byte) {
	id := cid.FromPacket(payload)
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
