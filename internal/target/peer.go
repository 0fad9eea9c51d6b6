package target

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"mangokeel/internal/view"
	"mangokeel/internal/wire"
)

// peerDial bounds a dial to another agent, which may be in another zone.
const peerDial = 500 * time.Millisecond

// dialPeer connects to another agent, whose listener expects a preface as on
// connections from balancers.
func (h *Handler) dialPeer(ctx context.Context, network, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: peerDial}
	c, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	if err := h.writePreface(c, addr); err != nil {
		c.Close()
		return nil, &net.OpError{Op: "dial", Net: network, Err: err}
	}
	return c, nil
}

func (h *Handler) writePreface(c net.Conn, addr string) error {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return err
	}
	cur := h.current.Load()
	if cur.service == nil {
		return errors.New("no service record")
	}
	hdr := &wire.Header{Kind: wire.Kind_KIND_STREAM, Service: cur.service.GetId(), Epoch: cur.service.GetEpoch()}
	for _, t := range cur.service.Targets {
		if t.Agent == to {
			hdr.Handle = uint32(t.Handle)
		}
	}
	hdr.SetCaller(c.LocalAddr().(*net.TCPAddr).AddrPort())
	b, err := wire.AppendPacket(nil, hdr, nil)
	if err != nil {
		return err
	}
	_, err = c.Write(b)
	return err
}

// peer chooses another agent of the service on another host, by weight. It
// returns nil when there is none.
func (c *current) peer() *view.Target {
	if c.service == nil {
		return nil
	}
	own := c.service.Targets[c.own]
	var chosen *view.Target
	var total uint32
	for _, t := range c.service.Targets {
		if t.Handle == c.own || !t.Open || t.GetWeight() == 0 || t.GetState() != wire.State_STATE_SERVING {
			continue
		}
		if own != nil && (t.GetHost() == own.GetHost() || t.Agent == own.Agent) {
			continue
		}
		total += t.GetWeight()
		if rand.Uint32N(total) < t.GetWeight() {
			chosen = t
		}
	}
	return chosen
}

// leaving reports whether new work belongs to other agents.
func (c *current) leaving() bool {
	if c.service == nil {
		return false
	}
	own := c.service.Targets[c.own]
	return own != nil && (!own.Open || own.GetState() == wire.State_STATE_LEAVING)
}

// handOver sends a request to another agent. The answer is that agent's whole
// answer; errors are marked as for the target.
func (h *Handler) handOver(ctx context.Context, q *request, to *view.Target) (*http.Response, error) {
	out, err := q.outgoing(ctx, to.Agent)
	if err != nil {
		return nil, err
	}
	out.Header.Set(headerHop, "1")
	if q.once && q.key == "" {
		out.Header.Set(headerKey, newID())
	}
	resp, err := h.peers.of(q).RoundTrip(out)
	if err != nil {
		return nil, errors.Wrapf(err, "hand over to %s", to.Agent)
	}
	if endless(resp) {
		resp.Body.Close()
		return nil, errEndless
	}
	return resp, nil
}
