package agent

import (
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// probePeriod is the interval between attempts to connect to the target.
	probePeriod = time.Second
	// probeTimeout bounds one attempt.
	probeTimeout = 900 * time.Millisecond
	// probeMisses is the number of consecutive attempts that time out before the target
	// counts as down. A refused connection counts at once.
	probeMisses = 2
)

// probe finds out whether the target accepts connections.
type probe struct {
	target netip.AddrPort
	misses atomic.Int32
	down   atomic.Bool
}

func (p *probe) up() bool { return !p.down.Load() }

// check makes one attempt to connect.
func (p *probe) check() {
	c, err := net.DialTimeout("tcp", p.target.String(), probeTimeout)
	switch {
	case err == nil:
		c.Close()
		p.misses.Store(0)
		p.down.Store(false)
	case errors.Is(err, syscall.ECONNREFUSED) || p.misses.Add(1) >= probeMisses:
		p.down.Store(true)
	}
}
