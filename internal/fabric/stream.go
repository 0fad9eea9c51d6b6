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

// Limits of the search for an agent that accepts a connection.
const (
	dialTimeout = time.Second
	// maxDialAttempts bounds how many targets are tried for one connection.
	maxDialAttempts = 8
	// acceptRetryDelay separates tries while the process is out of descriptors.
	acceptRetryDelay = 10 * time.Millisecond
)

// stream is one relayed TCP connection.
type stream struct {
	service mangokeel.ServiceID
	handle  mangokeel.Handle
	caller  *net.TCPConn
	agent   *net.TCPConn
}

// close ends both connections at once. Both ends see a reset, so that neither
// takes a cut answer for a whole one.
func (s *stream) close() {
	for _, c := range []*net.TCPConn{s.caller, s.agent} {
		_ = c.SetLinger(0)
		c.Close()
	}
}

// streams is the set of relayed TCP connections.
type streams struct {
	mu     sync.Mutex
	active map[*stream]struct{}
	// closed refuses new connections.
	closed   bool
	handlers sync.WaitGroup
}

// add returns false when the set is closed.
func (s *streams) add(x *stream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.active[x] = struct{}{}
	return true
}

func (s *streams) remove(x *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.active, x)
}

func (s *streams) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.active)
}

// closeMatching ends the connections that fn selects and returns their number.
func (s *streams) closeMatching(fn func(*stream) bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for x := range s.active {
		if fn(x) {
			x.close()
			n++
		}
	}
	return n
}

// close ends all connections and waits for their goroutines.
func (s *streams) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.closeMatching(func(*stream) bool { return true })
	s.handlers.Wait()
}

// acceptStreams relays connections from callers until the listener closes.
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

// serveStream relays one connection until both directions have ended.
func (b *Balancer) serveStream(id mangokeel.ServiceID, c *net.TCPConn) {
	x, outcome := b.openStream(id, c)
	if x == nil {
		_ = c.SetLinger(0)
		c.Close()
		b.metrics.streams.WithLabelValues(outcome).Inc()
		return
	}
	b.metrics.openStreams.Inc()
	outcome = x.relay()
	b.streams.remove(x)
	b.metrics.openStreams.Dec()
	b.metrics.streams.WithLabelValues(outcome).Inc()
}

// openStream connects to the agent of the caller's bucket, or of the next
// eligible target while connecting fails. Nothing of the caller's bytes has been
// read then, so no request can run twice.
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
		x := &stream{service: id, handle: t.Handle, caller: c, agent: agent}
		if !b.streams.add(x) {
			agent.Close()
			return nil, streamCancelled
		}
		// The view may have changed after the choice and before add.
		if x.orphaned(b.view.State()) {
			x.close()
		}
		return x, ""
	}
	return nil, streamNoTarget
}

// nextTarget returns the owner of the caller's bucket, or the next owner in the
// table that was not tried yet.
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

// dialAgent connects to an agent and writes the preface.
func (b *Balancer) dialAgent(svc *view.Service, caller netip.AddrPort, t *view.Target) (*net.TCPConn, error) {
	d := NewDecision()
	if o := d.DecideStream(svc, caller, t); o != Forward {
		b.metrics.countRejection(o)
		return nil, errors.Newf("target refused: %s", o)
	}
	d.Header.SetVia(b.dataSocket.address)
	preface, err := wire.AppendPacket(nil, &d.Header, nil)
	if err != nil {
		return nil, err
	}
	c, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(b.ctx, "tcp", t.Agent.String())
	if err != nil {
		return nil, errors.Wrap(err, "connect to agent")
	}
	if _, err := c.Write(preface); err != nil {
		c.Close()
		return nil, errors.Wrap(err, "write preface")
	}
	return c.(*net.TCPConn), nil
}

// relay copies both directions until both have ended. The end of one direction is
// passed on and leaves the other open; an error ends both.
func (s *stream) relay() string {
	var up, down error
	var done sync.WaitGroup
	done.Go(func() { up = s.copyDirection(s.agent, s.caller) })
	down = s.copyDirection(s.caller, s.agent)
	done.Wait()
	s.caller.Close()
	s.agent.Close()
	if up != nil || down != nil {
		return streamFailed
	}
	return streamEnded
}

// copyDirection moves one direction.
func (s *stream) copyDirection(to, from *net.TCPConn) error {
	if _, err := io.Copy(to, from); err != nil {
		s.close()
		return errors.Wrap(err, "relay")
	}
	return to.CloseWrite()
}

// closeOrphanedStreams ends the connections whose target has left or is in an
// availability zone out of service, and those of services that are gone.
func (b *Balancer) closeOrphanedStreams(s *view.State) {
	n := b.streams.closeMatching(func(x *stream) bool { return x.orphaned(s) })
	if n > 0 {
		_ = level.Info(b.log).Log("msg", "closed connections of targets out of service", "connections", n, "revision", s.Revision)
	}
}

// orphaned reports whether the connection's target no longer serves it under s.
func (s *stream) orphaned(state *view.State) bool {
	svc := state.Service(s.service)
	if svc == nil {
		return true
	}
	t := svc.Targets[s.handle]
	return t == nil || !t.Open
}
