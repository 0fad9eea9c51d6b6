package agent

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

// streams serves HTTP/1.1 on TCP connections that balancers relay.
type streams struct {
	l       net.Listener
	accepts func(*wire.Header) bool
	server  *http.Server
	queue   chan net.Conn
	done    chan struct{}
	once    sync.Once

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

func newStreams(l net.Listener, h http.Handler, accepts func(*wire.Header) bool) *streams {
	s := &streams{
		l:       l,
		accepts: accepts,
		queue:   make(chan net.Conn),
		done:    make(chan struct{}),
		conns:   map[net.Conn]struct{}{},
	}
	s.server = &http.Server{Handler: h, ConnState: s.track, ReadHeaderTimeout: time.Minute, IdleTimeout: idleTimeout}
	go s.accept()
	go func() { _ = s.server.Serve(s) }()
	return s
}

func (s *streams) accept() {
	for {
		c, err := s.l.Accept()
		if err != nil {
			return
		}
		go s.enter(c)
	}
}

// enter reads the preface and queues the connection for the server.
func (s *streams) enter(c net.Conn) {
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
func (s *streams) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

// leave ends idle connections, and the others after their present request.
func (s *streams) leave(leaving bool) { s.server.SetKeepAlivesEnabled(!leaving) }

// abandon closes all connections.
func (s *streams) abandon() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

func (s *streams) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Accept implements net.Listener.
func (s *streams) Accept() (net.Conn, error) {
	select {
	case c := <-s.queue:
		return c, nil
	case <-s.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (s *streams) Close() error {
	s.once.Do(func() { close(s.done) })
	return s.l.Close()
}

// Addr implements net.Listener.
func (s *streams) Addr() net.Addr { return s.l.Addr() }

// close ends the listener and all connections.
func (s *streams) close() { _ = s.server.Close() }
