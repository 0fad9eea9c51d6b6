// Package settings reads and checks the YAML settings of processes and services.
//
// A process reads its file once at its start:
//
//	var s settings.Agent
//	err := settings.Load("agent.yaml", &s)
//
// An unknown key, a malformed value or a missing one gives an error that names
// the file, the line and the key, and nothing of the file is used.
package settings

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/yaml.v3"
)

// Checker is implemented by settings that check themselves after decoding.
type Checker interface {
	// Check returns an error that names the first bad key.
	Check() error
}

// Load reads the file at path into s, which must be a pointer to one of the
// types of this package.
func Load(path string, s Checker) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	return errors.Wrap(Parse(b, s), path)
}

// Parse decodes a YAML document into s and checks it.
func Parse(b []byte, s Checker) error {
	d := yaml.NewDecoder(bytes.NewReader(b))
	d.KnownFields(true)
	if err := d.Decode(s); err != nil {
		return err
	}
	return s.Check()
}

// Duration is a time.Duration written as in "500ms" or "8h".
type Duration time.Duration

// Value returns d as a time.Duration.
func (d Duration) Value() time.Duration { return time.Duration(d) }

// UnmarshalYAML implements yaml.Unmarshaler.
func (d *Duration) UnmarshalYAML(n *yaml.Node) error {
	v, err := time.ParseDuration(n.Value)
	if err != nil {
		return errors.Newf("line %d: %q is not a duration such as 500ms or 8h", n.Line, n.Value)
	}
	*d = Duration(v)
	return nil
}

// MarshalYAML implements yaml.Marshaler.
func (d Duration) MarshalYAML() (any, error) { return time.Duration(d).String(), nil }

// Control is the settings of a control instance.
type Control struct {
	// Name is unique among control instances.
	Name string `yaml:"name"`
	Zone string `yaml:"zone"`
	// Address is where nodes, operators and other control instances call.
	Address netip.AddrPort `yaml:"address"`
	// Status serves /metrics and /dump.
	Status netip.AddrPort `yaml:"status"`
	// Data is the data folder.
	Data string `yaml:"data"`
	// Members are the instances of the first start, this one included.
	Members []Member `yaml:"members"`
	// Operator is the SHA-256 hash of the operators' key in hexadecimal. The key
	// opens all subtrees.
	Operator string `yaml:"operator"`
}

// Member is one control instance.
type Member struct {
	Name    string         `yaml:"name"`
	Address netip.AddrPort `yaml:"address"`
}

// Check implements Checker.
func (s *Control) Check() error {
	switch {
	case s.Name == "":
		return missing("name")
	case s.Zone == "":
		return missing("zone")
	case !s.Address.IsValid():
		return missing("address")
	case s.Data == "":
		return missing("data")
	}
	if b, err := hex.DecodeString(s.Operator); err != nil || (len(b) != 0 && len(b) != sha256.Size) {
		return errors.New("operator: not a SHA-256 hash of 64 hexadecimal digits")
	}
	return nil
}

// Balancer is the settings of a balancer.
type Balancer struct {
	Name string `yaml:"name"`
	Zone string `yaml:"zone"`
	// Address is this instance's own IP. Service sockets open on it with the
	// service's port unless Anycast is set.
	Address netip.Addr `yaml:"address"`
	// Anycast opens service sockets on the services' own addresses.
	Anycast bool `yaml:"anycast"`
	// Data is the socket that agents send replies to.
	Data netip.AddrPort `yaml:"data"`
	// Status serves /metrics and /dump.
	Status  netip.AddrPort   `yaml:"status"`
	Control []netip.AddrPort `yaml:"control"`
}

// Check implements Checker.
func (s *Balancer) Check() error {
	switch {
	case s.Name == "":
		return missing("name")
	case s.Zone == "":
		return missing("zone")
	case !s.Anycast && !s.Address.IsValid():
		return missing("address")
	case !s.Data.IsValid():
		return missing("data")
	case len(s.Control) == 0:
		return missing("control")
	}
	return nil
}

// Agent is the settings of an agent.
type Agent struct {
	// Name is the host's name as operators write it, as in /TEAM/drains/NAME.
	Name string `yaml:"name"`
	Zone string `yaml:"zone"`
	// Service is the path of the target's service.
	Service string `yaml:"service"`
	// Address is the agent's data socket, UDP and TCP.
	Address netip.AddrPort `yaml:"address"`
	// Target is the address of the target.
	Target netip.AddrPort `yaml:"target"`
	// Status serves /metrics and /dump.
	Status  netip.AddrPort   `yaml:"status"`
	Control []netip.AddrPort `yaml:"control"`
	// Cert and Key are the files of the service's TLS certificate for HTTP/3.
	Cert string `yaml:"cert"`
	Key  string `yaml:"key"`
}

// Check implements Checker.
func (s *Agent) Check() error {
	switch {
	case s.Name == "":
		return missing("name")
	case s.Zone == "":
		return missing("zone")
	case s.Service == "":
		return missing("service")
	case !s.Address.IsValid():
		return missing("address")
	case !s.Target.IsValid():
		return missing("target")
	case len(s.Control) == 0:
		return missing("control")
	}
	return nil
}

// Service is the document at /TEAM/services/NAME.
type Service struct {
	Address netip.AddrPort `yaml:"address"`
	// Protocol is "http" or "udp".
	Protocol string   `yaml:"protocol"`
	Zones    []string `yaml:"zones"`
	// Slots is the upper limit of concurrent requests for each target.
	Slots int `yaml:"slots"`
	// Connections is the upper limit of connections for each target.
	Connections int `yaml:"connections"`
	// Queue and Wait bound the waiting requests of each target.
	Queue int      `yaml:"queue"`
	Wait  Duration `yaml:"wait"`
	// Drain is the longest time a leaving target keeps its flows; 0 is no limit.
	Drain Duration `yaml:"drain"`
	// Claims is the lifetime of a claim on an idempotency key.
	Claims Duration `yaml:"claims"`
	Rules  []Rule   `yaml:"rules"`
}

// Rule sets class and idempotency for requests; the first that matches counts.
type Rule struct {
	Method string `yaml:"method"`
	Prefix string `yaml:"prefix"`
	// Class is "urgent", "normal" or "bulk".
	Class string `yaml:"class"`
	// Once marks requests that run at most once whatever their method.
	Once bool `yaml:"once"`
	// Stream marks answers that last for long.
	Stream bool `yaml:"stream"`
}

// Check implements Checker.
func (s *Service) Check() error {
	switch {
	case !s.Address.IsValid():
		return missing("address")
	case s.Protocol != "http" && s.Protocol != "udp":
		return errors.Newf("protocol: %q is not http or udp", s.Protocol)
	case len(s.Zones) == 0:
		return missing("zones")
	}
	return nil
}

func missing(key string) error { return errors.Newf("%s: missing", key) }

// Zone is the document at /TEAM/zones/NAME.
type Zone struct {
	// State is "in" or "out".
	State string `yaml:"state"`
	// Reason is free text for the history.
	Reason string `yaml:"reason"`
}

// Check implements Checker.
func (s *Zone) Check() error {
	if s.State != "in" && s.State != "out" {
		return errors.Newf("state: %q is not in or out", s.State)
	}
	return nil
}

// Drain is the document at /TEAM/drains/HOST.
type Drain struct {
	// Reason is free text for the history.
	Reason string `yaml:"reason"`
}

// Check implements Checker.
func (*Drain) Check() error { return nil }
