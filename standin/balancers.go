package standin

import (
	"net/netip"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
)

// ReadBalancers reads a file that lists the balancers' service sockets, one on a
// line, as ip:port or as ip, which means the given port. Empty lines and lines
// that start with # are skipped. Write the file with a rename, so that a reader
// never sees half of it.
func ReadBalancers(path string, port uint16) ([]netip.AddrPort, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read balancers")
	}
	var list []netip.AddrPort
	for line := range strings.Lines(string(b)) {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		a, err := parseBalancer(line, port)
		if err != nil {
			return nil, errors.Wrapf(err, "%s", path)
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
