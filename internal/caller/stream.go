package caller

import (
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"mangokeel/internal/wire"
)

// prefaceTimeout bounds the time until a balancer has written the preface.
const prefaceTimeout = 5 * time.Second

// Streams serves HTTP/1.1 on TCP connections that balancers relay.
type Streams struct {
	l       net.Listener
	accepts func(*wire.Header) bool
	server  *http.Server
	queue   chan net.Conn
	done    chan struct{}
	once    sync.Once

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// NewStreams serves h on the connections of l whose preface accepts takes. It owns
// l.
func NewStreams(l net.Listener, h http.Handler, accepts func(*wire.Header) bool) *Streams {
	s := &Streams{
		l:       l,
		accepts: accepts,
		queue:   make(chan net.Conn),
		done:    make(chan struct{}),
		conns:   map[net.Conn]struct{}{},
	}
	s.server = &http.Server{Handler: h, ConnState: s.track, ReadHeaderTimeout: time.Minute, IdleTimeout: idleTimeout}
	go s.accept()
	go func() { _ = s.server.Serve(accepted{s}) }()
	return s
}

func (s *Streams) accept() {
	for {
		c, err := s.l.Accept()
		if err != nil {
			return
		}
		go s.enter(c)
	}
}

// enter reads the preface and queues the connection for the server.
func (s *Streams) enter(c net.Conn) {
	var h wire.Header
	if !readPreface(c, &h) || !s.accepts(&h) {
		c.Close()
		return
	}
	select {
	case s.queue <- stream{c, h.Caller()}:
	case <-s.done:
		c.Close()
	}
}

// readPreface reads the length-prefixed header that opens a relayed connection.
func readPreface(c net.Conn, h *wire.Header) bool {
	_ = c.SetReadDeadline(time.Now().Add(prefaceTimeout))
	var size [2]byte
	if _, err := io.ReadFull(c, size[:]); err != nil {
		return false
	}
	n := binary.BigEndian.Uint16(size[:])
	if n > wire.MaxHeader {
		return false
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(c, b); err != nil {
		return false
	}
	return proto.Unmarshal(b, h) == nil && c.SetReadDeadline(time.Time{}) == nil
}

// stream is a relayed connection. Its remote address is the caller's.
type stream struct {
	net.Conn
	caller netip.AddrPort
}

// RemoteAddr implements net.Conn.
func (c stream) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.caller) }

// track keeps the set of open connections.
func (s *Streams) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

// Leave ends idle connections, and the others after their present request, for as
// long as leaving is set.
func (s *Streams) Leave(leaving bool) { s.server.SetKeepAlivesEnabled(!leaving) }

// Abandon closes all connections.
func (s *Streams) Abandon() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

// Len returns the number of open connections.
func (s *Streams) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Close ends the listener and all connections.
func (s *Streams) Close() { _ = s.server.Close() }

// accepted is the listener of the HTTP server.
type accepted struct{ s *Streams }

// Accept implements net.Listener.
func (a accepted) Accept() (net.Conn, error) {
	select {
	case c := <-a.s.queue:
		return c, nil
	case <-a.s.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (a accepted) Close() error {
	a.s.once.Do(func() { close(a.s.done) })
	return a.s.l.Close()
}

// Addr implements net.Listener.
func (a accepted) Addr() net.Addr { return a.s.l.Addr() }
