package fabric

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"mangokeel"
	"mangokeel/internal/bucket"
	"mangokeel/internal/view"
	"mangokeel/internal/wire"
)

// Limits on accepting connections and dialing agents.
const (
	dialTimeout = time.Second
	// maxDialAttempts is the maximum number of targets tried for one connection.
	maxDialAttempts = 8
	// acceptRetryDelay is the delay after a failed accept, for example while the
	// process is out of file descriptors.
	acceptRetryDelay = 10 * time.Millisecond
)

// stream is one relayed TCP connection.
type stream struct {
	service mangokeel.ServiceID
	handle  mangokeel.Handle
	caller  *net.TCPConn
	agent   *net.TCPConn
}

// close resets both connections. A reset, unlike a normal close, keeps either peer
// from taking a truncated response for a complete one.
func (s *stream) close() {
	for _, c := range []*net.TCPConn{s.caller, s.agent} {
		_ = c.SetLinger(0)
		c.Close()
	}
}

// streams is the set of open relayed TCP connections.
type streams struct {
	mu     sync.Mutex
	active map[*stream]struct{}
	// closed is set at shutdown; no connections are added afterwards.
	closed bool
	// handlers tracks the goroutines that relay connections.
	handlers sync.WaitGroup
}

// add adds a connection. It returns false if the set is closed.
func (s *streams) add(c *stream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.active[c] = struct{}{}
	return true
}

func (s *streams) remove(c *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.active, c)
}

func (s *streams) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.active)
}

// closeMatching resets the connections for which match returns true and returns
// their number.
func (s *streams) closeMatching(match func(*stream) bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.active {
		if match(c) {
			c.close()
			n++
		}
	}
	return n
}

// close resets all connections and waits for their goroutines.
func (s *streams) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.closeMatching(func(*stream) bool { return true })
	s.handlers.Wait()
}

// acceptStreams accepts connections from callers until the listener is closed and
// relays each in a goroutine of its own.
func (b *Balancer) acceptStreams(e *endpoint) {
	for {
		c, err := e.streams.AcceptTCP()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			time.Sleep(acceptRetryDelay)
			continue
		}
		b.streams.handlers.Go(func() { b.serveStream(e.id, c) })
	}
}

// serveStream relays one connection until both directions are closed. If no agent
// accepts the connection, it resets it.
func (b *Balancer) serveStream(id mangokeel.ServiceID, c *net.TCPConn) {
	s, outcome := b.openStream(id, c)
	if s == nil {
		_ = c.SetLinger(0)
		c.Close()
		b.metrics.streams.WithLabelValues(outcome).Inc()
		return
	}
	b.metrics.openStreams.Inc()
	outcome = s.relay()
	b.streams.remove(s)
	b.metrics.openStreams.Dec()
	b.metrics.streams.WithLabelValues(outcome).Inc()
}

// openStream connects to the agent of the owner of the caller's bucket. If that
// fails, it tries the next eligible targets. Retrying is safe because no byte of the
// caller has been read yet, so no request can run twice. If it returns nil, the
// string is the outcome for the metrics.
func (b *Balancer) openStream(id mangokeel.ServiceID, c *net.TCPConn) (*stream, string) {
	caller := unmap(c.RemoteAddr().(*net.TCPAddr).AddrPort())
	tried := map[mangokeel.Handle]bool{}
	for range maxDialAttempts {
		svc := b.view.State().Service(id)
		if svc == nil {
			return nil, streamCancelled
		}
		t := nextTarget(svc, caller, tried)
		if t == nil {
			break
		}
		tried[t.Handle] = true
		agent, err := b.dialAgent(svc, caller, t)
		if err != nil {
			b.metrics.redials.Inc()
			continue
		}
		s := &stream{service: id, handle: t.Handle, caller: c, agent: agent}
		if !b.streams.add(s) {
			agent.Close()
			return nil, streamCancelled
		}
		// closeOrphanedStreams misses the connection if the view changed between the
		// choice of the target and add.
		if s.orphaned(b.view.State()) {
			s.close()
		}
		return s, ""
	}
	return nil, streamNoTarget
}

// nextTarget returns the owner of the caller's bucket or, if it was already tried,
// the owner of the closest following bucket that was not. It returns nil if all
// owners were tried.
func nextTarget(svc *view.Service, caller netip.AddrPort, tried map[mangokeel.Handle]bool) *view.Target {
	n := svc.Table.Buckets()
	first := bucket.Index(caller, svc.ID, n)
	for i := range n {
		if t := svc.Owner((first + i) & (n - 1)); t != nil && !tried[t.Handle] {
			return t
		}
	}
	return nil
}

// dialAgent connects to the agent of t and writes the header that precedes the
// relayed bytes.
func (b *Balancer) dialAgent(svc *view.Service, caller netip.AddrPort, t *view.Target) (*net.TCPConn, error) {
	d := NewDecision()
	if o := d.DecideStream(svc, caller, t); o != Forward {
		b.metrics.countRejection(o)
		return nil, errors.Newf("cannot relay to target %d: %s", t.Handle, o)
	}
	d.Header.SetVia(b.dataSocket.address)
	header, err := wire.AppendPacket(nil, &d.Header, nil)
	if err != nil {
		return nil, err
	}
	c, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(b.ctx, "tcp", t.Agent.String())
	if err != nil {
		return nil, errors.Wrapf(err, "connect to agent %s", t.Agent)
	}
	if _, err := c.Write(header); err != nil {
		c.Close()
		return nil, errors.Wrap(err, "write stream header")
	}
	return c.(*net.TCPConn), nil
}

// relay copies bytes in both directions until both are closed, and returns the
// outcome for the metrics. End of file in one direction half-closes the connection
// to the other peer and leaves the opposite direction open; an error resets both.
func (s *stream) relay() string {
	var toAgentErr, toCallerErr error
	var wg sync.WaitGroup
	wg.Go(func() { toAgentErr = s.copyDirection(s.agent, s.caller) })
	toCallerErr = s.copyDirection(s.caller, s.agent)
	wg.Wait()
	s.caller.Close()
	s.agent.Close()
	if toAgentErr != nil || toCallerErr != nil {
		return streamFailed
	}
	return streamEnded
}

// copyDirection copies bytes from src to dst until end of file and then half-closes
// dst. On a read or write error it resets both connections.
func (s *stream) copyDirection(dst, src *net.TCPConn) error {
	if _, err := io.Copy(dst, src); err != nil {
		s.close()
		return errors.Wrap(err, "relay TCP connection")
	}
	return dst.CloseWrite()
}

// closeOrphanedStreams resets the connections whose target no longer serves them
// under s.
func (b *Balancer) closeOrphanedStreams(s *view.State) {
	n := b.streams.closeMatching(func(c *stream) bool { return c.orphaned(s) })
	if n > 0 {
		_ = level.Info(b.log).Log("msg", "closed connections whose target is out of service", "connections", n, "revision", s.Revision)
	}
}

// orphaned reports whether, under state, the connection's service no longer exists,
// or its target has left or is in an availability zone out of service.
func (s *stream) orphaned(state *view.State) bool {
	svc := state.Service(s.service)
	if svc == nil {
		return true
	}
	t := svc.Targets[s.handle]
	return t == nil || !t.Open
}
