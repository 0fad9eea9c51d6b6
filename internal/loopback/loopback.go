// Package loopback finds free loopback addresses for test servers.
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

// Ports are chosen below the ephemeral range of the system. An outgoing connection may
// take a port of that range before a server starts, or restarts, on it.
const (
	lowest  = 10_000
	highest = 32_000
)

// tries is the number of ports that Free probes before it fails the test.
const tries = 100

// Free returns an IPv4 loopback address with a TCP port on which nothing listens.
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
	t.Fatalf("no free TCP port among %d random ports from %d to %d", tries, lowest, highest-1)
	return netip.AddrPort{}
}
