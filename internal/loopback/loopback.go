// Package loopback finds addresses for the servers of tests.
//
//	addr := loopback.Free(t)
//	l, err := net.Listen("tcp", addr.String())
package loopback

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
)

// Ports below those that the system gives to outgoing connections. A server that is started
// (again) at a port of that range may find it taken by a call of another one.
const (
	lowest  = 10_000
	highest = 32_000
)

// tries is how many ports are looked at.
const tries = 100

// Free returns a loopback address on which nobody listens.
func Free(t testing.TB) netip.AddrPort {
	t.Helper()
	for range tries {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(lowest+rand.IntN(highest-lowest)))
		l, err := net.Listen("tcp", a.String())
		if err != nil {
			continue
		}
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
		return a
	}
	t.Fatal("no free port")
	return netip.AddrPort{}
}
