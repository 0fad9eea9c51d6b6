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

// Ports are chosen from minPort up to, but not including, portEnd. They lie below the
// ephemeral range of the system: an outgoing connection may take a port of that range
// before a server starts, or restarts, on it.
const (
	minPort = 10_000
	portEnd = 32_000
)

// maxAttempts is the number of ports that Free probes before it fails the test.
const maxAttempts = 100

// Free returns an IPv4 loopback address with a TCP port on which nothing listens.
func Free(t testing.TB) netip.AddrPort {
	t.Helper()
	for range maxAttempts {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(minPort+rand.IntN(portEnd-minPort)))
		l, err := net.Listen("tcp", a.String())
		if err != nil {
			continue
		}
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
		return a
	}
	t.Fatalf("no free TCP port among %d random ports from %d to %d", maxAttempts, minPort, portEnd-1)
	return netip.AddrPort{}
}
