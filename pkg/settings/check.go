package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Bounds of values.
const (
	maxSlots       = 4096
	maxConnections = 1 << 20
	maxQueue       = 1 << 16
	maxWait        = 10 * time.Minute
	// maxDrain and maxClaims keep values within the 32 bits of milliseconds that
	// records have for them.
	maxDrain  = 30 * 24 * time.Hour
	maxClaims = 24 * time.Hour
)

// name is what teams, services, availability zones and hosts may be called.
const name = `[A-Za-z0-9][A-Za-z0-9._-]{0,62}`

// fault is a failed check, or nil.
func fault(ok bool, key, format string, args ...any) *Error {
	if ok {
		return nil
	}
	return &Error{Key: key, Reason: fmt.Sprintf(format, args...)}
}

// first returns the first failed check.
func first(checks ...*Error) error {
	for _, e := range checks {
		if e != nil {
			return e
		}
	}
	return nil
}

func need(key string, present bool) *Error { return fault(present, key, "missing") }

func needName(key, value string) *Error {
	if value == "" {
		return need(key, false)
	}
	return fault(NameOK(value), key, "%q is not a name: up to 63 letters, digits, dots, dashes and underscores", value)
}

// NameOK reports whether s can name a team, service, availability zone or host.
func NameOK(s string) bool {
	ok, _ := regexp.MatchString("^"+name+"$", s)
	return ok
}

// needAddr wants an address with a port other than 0.
func needAddr(key string, a netip.AddrPort) *Error {
	if !a.IsValid() {
		return need(key, false)
	}
	return fault(a.Port() != 0, key, "%s has no port", a)
}

// optionalAddr allows an address to be left out.
func optionalAddr(key string, a netip.AddrPort) *Error {
	if !a.IsValid() {
		return nil
	}
	return needAddr(key, a)
}

func needAddrs(key string, list []netip.AddrPort) *Error {
	if len(list) == 0 {
		return need(key, false)
	}
	for i, a := range list {
		k := fmt.Sprintf("%s[%d]", key, i)
		if e := needAddr(k, a); e != nil {
			return e
		}
		if slices.Contains(list[:i], a) {
			return fault(false, k, "%s occurs twice", a)
		}
	}
	return nil
}

func within(key string, v, low, high int) *Error {
	return fault(v >= low && v <= high, key, "%d is not between %d and %d", v, low, high)
}

func lasting(key string, d Duration, high time.Duration) *Error {
	return fault(d >= 0 && d.Value() <= high, key, "%s is not between 0s and %s", d.Value(), high)
}

func (t TLS) check() *Error {
	none := t == TLS{}
	return fault(none || (t.Cert != "" && t.Key != "" && t.CA != ""), "tls", "cert, key and ca belong together")
}

// Check implements Checker.
func (s *Control) Check() error {
	hash, err := hex.DecodeString(s.Operator)
	return first(
		needName("name", s.Name),
		needName("zone", s.Zone),
		needAddr("address", s.Address),
		optionalAddr("status", s.Status),
		need("data", s.Data != ""),
		s.checkMembers(),
		fault(err == nil && (len(hash) == 0 || len(hash) == sha256.Size), "operator", "not a SHA-256 hash of 64 hexadecimal digits"),
		s.TLS.check(),
	)
}

func (s *Control) checkMembers() *Error {
	own := len(s.Members) == 0
	names, addrs := map[string]bool{}, map[netip.AddrPort]bool{}
	for i, m := range s.Members {
		key := fmt.Sprintf("members[%d]", i)
		if e := needName(key+".name", m.Name); e != nil {
			return e
		}
		if e := needAddr(key+".address", m.Address); e != nil {
			return e
		}
		if names[m.Name] || addrs[m.Address] {
			return fault(false, key, "name or address occurs twice")
		}
		names[m.Name], addrs[m.Address] = true, true
		own = own || m.Address == s.Address
	}
	return fault(own, "members", "this instance, %s, is not among them", s.Address)
}

// Check implements Checker.
func (s *Balancer) Check() error {
	return first(
		needName("name", s.Name),
		needName("zone", s.Zone),
		need("address", s.Anycast || s.Address.IsValid()),
		need("data", s.Data.IsValid()),
		optionalAddr("status", s.Status),
		needAddrs("control", s.Control),
		s.TLS.check(),
	)
}

// Check implements Checker.
func (s *Agent) Check() error {
	return first(
		needName("name", s.Name),
		needName("zone", s.Zone),
		s.checkService(),
		needAddr("address", s.Address),
		needAddr("target", s.Target),
		optionalAddr("status", s.Status),
		needAddrs("control", s.Control),
		s.TLS.check(),
		fault((s.Cert == "") == (s.Key == ""), "cert", "cert and key belong together"),
	)
}

func (s *Agent) checkService() *Error {
	if s.Service == "" {
		return need("service", false)
	}
	ok, _ := regexp.MatchString("^/"+name+"/services/"+name+"$", s.Service)
	return fault(ok, "service", "%q is not a path such as /TEAM/services/NAME", s.Service)
}

// Check implements Checker.
func (s *Service) Check() error {
	return first(
		needAddr("address", s.Address),
		fault(s.Protocol != "", "protocol", "missing"),
		fault(s.Protocol == "http" || s.Protocol == "udp", "protocol", "%q is not http or udp", s.Protocol),
		need("zones", len(s.Zones) > 0),
		s.checkZones(),
		s.checkBuckets(),
		within("slots", s.Slots, 0, maxSlots),
		within("connections", s.Connections, 0, maxConnections),
		within("queue", s.Queue, 0, maxQueue),
		lasting("wait", s.Wait, maxWait),
		lasting("drain", s.Drain, maxDrain),
		lasting("claims", s.Claims, maxClaims),
		s.checkRules(),
	)
}

func (s *Service) checkBuckets() *Error {
	n := s.BucketCount()
	if n < minBuckets || n > maxBuckets || n&(n-1) != 0 {
		return fault(false, "buckets", "%d is not a power of two between %d and %d", s.Buckets, minBuckets, maxBuckets)
	}
	return nil
}

func (s *Service) checkZones() *Error {
	for i, z := range s.Zones {
		key := fmt.Sprintf("zones[%d]", i)
		if e := needName(key, z); e != nil {
			return e
		}
		if slices.Contains(s.Zones[:i], z) {
			return fault(false, key, "%q occurs twice", z)
		}
	}
	return nil
}

func (s *Service) checkRules() *Error {
	for i, r := range s.Rules {
		key := fmt.Sprintf("rules[%d].", i)
		if r.Prefix != "" && !strings.HasPrefix(r.Prefix, "/") {
			return fault(false, key+"prefix", "%q does not begin with /", r.Prefix)
		}
		if !slices.Contains([]string{"", "urgent", "normal", "bulk"}, r.Class) {
			return fault(false, key+"class", "%q is not urgent, normal or bulk", r.Class)
		}
		if r.Method != strings.ToUpper(r.Method) {
			return fault(false, key+"method", "%q is not in capitals", r.Method)
		}
	}
	return nil
}

// Check implements Checker.
func (s *Zone) Check() error {
	return first(fault(s.State == "in" || s.State == "out", "state", "%q is not in or out", s.State))
}

// Check implements Checker.
func (*Drain) Check() error { return nil }
