package standin

import (
	"net/netip"
	"strings"

	"github.com/cockroachdb/errors"
)

// ParseBalancers reads a list of balancers' service sockets, each as ip:port or
// as ip, which means the given port. Empty lines and lines that start with # are
// skipped. A list with a malformed line gives an error and no balancer.
func ParseBalancers(lines []string, port uint16) ([]netip.AddrPort, error) {
	var list []netip.AddrPort
	for _, line := range lines {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		a, err := parseBalancer(line, port)
		if err != nil {
			return nil, errors.Wrap(err, "balancer")
		}
		list = append(list, a)
	}
	return list, nil
}

func parseBalancer(s string, port uint16) (netip.AddrPort, error) {
	if a, err := netip.ParseAddr(s); err == nil {
		return netip.AddrPortFrom(a, port), nil
	}
	return netip.ParseAddrPort(s)
}
