package agent

import (
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"mangokeel/internal/claim"
	"mangokeel/internal/jsonrpc"
)

// homeWait bounds the time for which a leaving agent waits until the claim home
// has moved, so that no claims are lost with it. Control needs about 3 s for that.
const homeWait = 8 * time.Second

// homeSilence is the time without word from control after which a leaving agent no
// longer waits for the home, which cannot move.
const homeSilence = 3 * time.Second

// WithClaims makes the agent serve k's calls with the given options, report its
// readiness to control, and tell it when control has confirmed the view.
func WithClaims(k *claim.Manager, opts ...jsonrpc.Option) Option {
	return func(a *Agent) { a.claims, a.callOptions = k, opts }
}

// serveClaims opens the listener for claims beside the data socket.
func (a *Agent) serveClaims(l net.Listener) error {
	if a.claims == nil {
		return nil
	}
	data := netip.AddrPortFrom(a.cfg.Address.Addr(), l.Addr().(*net.TCPAddr).AddrPort().Port())
	s, err := jsonrpc.Listen(claim.Address(data), a.claims.Methods(), a.callOptions...)
	if err != nil {
		return errors.Wrap(err, "listen for claims")
	}
	a.calls = s
	return nil
}

// ready returns the home epoch that is reported to control.
func (a *Agent) ready() uint64 {
	if a.claims == nil {
		return 0
	}
	return a.claims.ReadyEpoch(a.Handle())
}

// confirmed is called after each poll that control answered, with the time before
// it.
func (a *Agent) confirmed(at time.Time) {
	a.heard.Store(at.UnixNano())
	if a.claims != nil {
		a.claims.ConfirmView(at)
	}
}

// holdsClaims reports whether a leaving agent has to wait for the home to move.
func (a *Agent) holdsClaims(spent time.Duration) bool {
	silence := a.timers.Now().Sub(time.Unix(0, a.heard.Load()))
	return a.claims != nil && a.claims.NeedsHandover() && spent < homeWait && silence < homeSilence
}

func (a *Agent) closeClaims() {
	if a.calls != nil {
		a.calls.Close()
		a.claims.Close()
	}
}
