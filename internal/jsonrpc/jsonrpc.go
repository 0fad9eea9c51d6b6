// Package jsonrpc carries calls between processes as JSON-RPC 2.0 over TCP.
//
// A process serves its methods with Serve and calls others through a Client,
// which keeps one connection for each peer:
//
//	srv, err := jsonrpc.Listen(addr, methods)
//	c := jsonrpc.NewClient()
//	err := c.Call(ctx, peer, "sync", req, resp)
//
// Parameters and results are the messages of package wire in their JSON form.
package jsonrpc

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"mangokeel"
)

// Method is one method that a server answers.
type Method struct {
	// New returns an empty request.
	New func() proto.Message
	// Handle answers a request.
	Handle mangokeel.Handler
}

// Request is a pointer to a message type.
type Request[Q any] interface {
	*Q
	proto.Message
}

// NewMethod returns the method that a typed handler answers.
func NewMethod[Q any, P Request[Q], R proto.Message](fn func(context.Context, P) (R, error)) Method {
	return Method{
		New: func() proto.Message { return P(new(Q)) },
		Handle: func(ctx context.Context, req proto.Message) (proto.Message, error) {
			return fn(ctx, req.(P))
		},
	}
}

// Methods maps names to methods.
type Methods map[string]Method

// Server answers calls on one listener.
type Server struct {
	l       net.Listener
	methods Methods
	mu      sync.Mutex
	conns   map[*jsonrpc2.Conn]struct{}
	closed  bool
	done    sync.WaitGroup
}

type options struct {
	tls     *tls.Config
	traffic *traffic
}

// Option configures a Server or a Client.
type Option func(*options)

// WithTLS makes connections use TLS with cfg.
func WithTLS(cfg *tls.Config) Option { return func(o *options) { o.tls = cfg } }

func optionsOf(opts []Option) options {
	var o options
	for _, f := range opts {
		f(&o)
	}
	return o
}

// Listen opens a listener on addr and answers calls until Close.
func Listen(addr netip.AddrPort, methods Methods, opts ...Option) (*Server, error) {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errors.Wrap(err, "listen for calls")
	}
	s := &Server{l: l, methods: methods, conns: map[*jsonrpc2.Conn]struct{}{}}
	if o := optionsOf(opts); o.tls != nil {
		s.l = tls.NewListener(l, o.tls)
	}
	s.done.Add(1)
	go func() {
		defer s.done.Done()
		s.accept()
	}()
	return s, nil
}

// Addr returns the address the server listens on.
func (s *Server) Addr() netip.AddrPort {
	return s.l.Addr().(*net.TCPAddr).AddrPort()
}

func (s *Server) accept() {
	for {
		c, err := s.l.Accept()
		if err != nil {
			return
		}
		s.serve(c)
	}
}

// serve answers calls on one connection, each in a goroutine of its own.
func (s *Server) serve(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		c.Close()
		return
	}
	h := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(s.handle))
	conn := jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(c, jsonrpc2.VSCodeObjectCodec{}), h)
	s.conns[conn] = struct{}{}
	s.done.Add(1)
	go func() {
		defer s.done.Done()
		<-conn.DisconnectNotify()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
}

func (s *Server) handle(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	m, ok := s.methods[r.Method]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + r.Method}
	}
	req := m.New()
	if r.Params != nil {
		if err := decoder.Unmarshal(*r.Params, req); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
	}
	resp, err := m.Handle(ctx, req)
	if err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
	}
	return message{resp}, nil
}

// Close stops the listener and ends all connections.
func (s *Server) Close() {
	s.l.Close()
	s.mu.Lock()
	s.closed = true
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.done.Wait()
}

// message encodes a wire message as JSON within JSON-RPC.
type message struct{ m proto.Message }

// MarshalJSON implements json.Marshaler.
func (m message) MarshalJSON() ([]byte, error) { return protojson.Marshal(m.m) }

// UnmarshalJSON implements json.Unmarshaler.
func (m *message) UnmarshalJSON(b []byte) error { return decoder.Unmarshal(b, m.m) }

// decoder ignores fields that a later build has added.
var decoder = protojson.UnmarshalOptions{DiscardUnknown: true}

var _ json.Unmarshaler = (*message)(nil)

// Client calls other processes. It keeps one connection per address and reconnects after a
// failure.
type Client struct {
	opts  options
	mu    sync.Mutex
	conns map[netip.AddrPort]*jsonrpc2.Conn
}

var _ mangokeel.Remote = (*Client)(nil)

// NewClient returns a client without connections.
func NewClient(opts ...Option) *Client {
	return &Client{opts: optionsOf(opts), conns: map[netip.AddrPort]*jsonrpc2.Conn{}}
}

// RemoteError is an error that the other process returned.
type RemoteError struct{ Reason string }

// Error implements error.
func (e *RemoteError) Error() string { return e.Reason }

// Call implements mangokeel.Remote.
func (c *Client) Call(ctx context.Context, addr netip.AddrPort, method string, req, resp proto.Message) error {
	conn, err := c.conn(ctx, addr)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "connect to %s", addr), mangokeel.ErrNotSent)
	}
	err = conn.Call(ctx, method, message{req}, &message{resp})
	if err == nil {
		return nil
	}
	var e *jsonrpc2.Error
	if errors.As(err, &e) {
		return &RemoteError{Reason: e.Message}
	}
	return errors.Wrapf(err, "call %s at %s", method, addr)
}

// Connect opens a connection to addr for later calls, unless there is one.
func (c *Client) Connect(ctx context.Context, addr netip.AddrPort) error {
	_, err := c.conn(ctx, addr)
	return err
}

func (c *Client) conn(ctx context.Context, addr netip.AddrPort) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	conn := c.conns[addr]
	c.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	raw, err := c.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	conn = jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(raw, jsonrpc2.VSCodeObjectCodec{}), refuse{})
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.conns[addr]; other != nil {
		conn.Close()
		return other, nil
	}
	c.conns[addr] = conn
	go func() {
		<-conn.DisconnectNotify()
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.conns[addr] == conn {
			delete(c.conns, addr)
		}
	}()
	return conn, nil
}

func (c *Client) dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, err
	}
	raw = c.opts.traffic.wrap(raw)
	if c.opts.tls == nil {
		return raw, nil
	}
	t := tls.Client(raw, c.opts.tls)
	if err := t.HandshakeContext(ctx); err != nil {
		raw.Close()
		return nil, err
	}
	return t, nil
}

// Drop closes the connection to addr, so that the next call opens a new one.
func (c *Client) Drop(addr netip.AddrPort) {
	c.mu.Lock()
	conn := c.conns[addr]
	delete(c.conns, addr)
	c.mu.Unlock()
	if conn != nil {
		conn.Close()
	}
}

// CallOrDrop calls a method and drops the connection if ctx expires. A connection whose peer no
// longer responds would delay later calls for as long as the system retransmits.
func CallOrDrop(ctx context.Context, remote mangokeel.Remote, addr netip.AddrPort, method string, req, resp proto.Message) error {
	err := remote.Call(ctx, addr, method, req, resp)
	if d, ok := remote.(interface{ Drop(addr netip.AddrPort) }); ok && errors.Is(err, context.DeadlineExceeded) {
		d.Drop(addr)
	}
	return err
}

// Close ends all connections.
func (c *Client) Close() {
	c.mu.Lock()
	conns := c.conns
	c.conns = map[netip.AddrPort]*jsonrpc2.Conn{}
	c.mu.Unlock()
	for _, conn := range conns {
		conn.Close()
	}
}

// refuse ignores requests that a server sends to its client.
type refuse struct{}

// Handle implements jsonrpc2.Handler.
func (refuse) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
