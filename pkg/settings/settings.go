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
	"fmt"
	"io"
	"net/netip"
	"os"
	"reflect"
	"strings"
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
// types of this package. The error of a bad file is an *Error.
func Load(path string, s Checker) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	err = Parse(b, s)
	var e *Error
	if errors.As(err, &e) {
		e.File = path
	}
	return err
}

// Parse decodes a YAML document into s and checks it. The error is an *Error.
func Parse(b []byte, s Checker) error {
	var root yaml.Node
	dec := yaml.NewDecoder(bytes.NewReader(b))
	switch err := dec.Decode(&root); {
	case errors.Is(err, io.EOF):
		return &Error{Reason: "the document is empty"}
	case err != nil:
		return syntaxError(err)
	}
	if err := dec.Decode(&yaml.Node{}); !errors.Is(err, io.EOF) {
		return &Error{Reason: "there is more than one document"}
	}
	return decodeInto(root.Content[0], s)
}

// decodeInto changes s only when the whole document is good.
func decodeInto(n *yaml.Node, s Checker) error {
	d := &decoder{lines: map[string]int{}}
	target := reflect.ValueOf(s).Elem()
	fresh := reflect.New(target.Type())
	if err := d.decode(n, fresh.Elem(), ""); err != nil {
		return err
	}
	err := fresh.Interface().(Checker).Check()
	var e *Error
	if errors.As(err, &e) {
		e.Line = d.lineOf(e.Key)
	}
	if err == nil {
		target.Set(fresh.Elem())
	}
	return err
}

// syntaxError takes the line out of an error of package yaml.
func syntaxError(err error) *Error {
	reason := strings.TrimPrefix(err.Error(), "yaml: ")
	e := &Error{Reason: reason}
	if _, scanErr := fmt.Sscanf(reason, "line %d: ", &e.Line); scanErr == nil {
		_, e.Reason, _ = strings.Cut(reason, ": ")
	}
	return e
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
	TLS      TLS    `yaml:"tls"`
}

// TLS names the PEM files for calls between processes. Both sides of a call
// present a certificate of the authority. The files are read again when they
// change. Without them calls are not encrypted.
type TLS struct {
	Cert string `yaml:"cert"`
	Key  string `yaml:"key"`
	CA   string `yaml:"ca"`
}

// Member is one control instance.
type Member struct {
	Name    string         `yaml:"name"`
	Address netip.AddrPort `yaml:"address"`
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
	// Drain bounds how long a stopping balancer keeps TCP connections; 0 means 8h.
	Drain Duration `yaml:"drain"`
	// Status serves /metrics and /dump.
	Status  netip.AddrPort   `yaml:"status"`
	Control []netip.AddrPort `yaml:"control"`
	TLS     TLS              `yaml:"tls"`
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
	TLS  TLS    `yaml:"tls"`
}

// Buckets of a service. With the default, 4,800 services take 10 MB of tables on a
// node, and the shares of 10 targets differ by less than 1%.
const (
	DefaultBuckets = 1024
	minBuckets     = 256
	maxBuckets     = 1 << 16
)

// BucketCount returns the number of buckets with the default applied.
func (s *Service) BucketCount() uint32 {
	if s.Buckets == 0 {
		return DefaultBuckets
	}
	return uint32(s.Buckets)
}

// Service is the document at /TEAM/services/NAME.
type Service struct {
	Address netip.AddrPort `yaml:"address"`
	// Protocol is "http" or "udp".
	Protocol string   `yaml:"protocol"`
	Zones    []string `yaml:"zones"`
	// Buckets is the number of buckets that callers hash to, a power of two; 0
	// means DefaultBuckets. It is fixed for the life of the service. A service that
	// will have more than 100 targets needs about 100 buckets for each of them.
	Buckets int `yaml:"buckets"`
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

// Zone is the document at /TEAM/zones/NAME.
type Zone struct {
	// State is "in" or "out".
	State string `yaml:"state"`
	// Reason is free text for the history.
	Reason string `yaml:"reason"`
}

// Drain is the document at /TEAM/drains/HOST.
type Drain struct {
	// Reason is free text for the history.
	Reason string `yaml:"reason"`
}
