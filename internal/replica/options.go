package replica

import (
	crand "crypto/rand"
	"encoding/hex"
	"math/rand/v2"
	"net/netip"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"
)

// Config says who an instance is.
type Config struct {
	// Name is how operators call the instance.
	Name string
	// Address is where other instances call it.
	Address netip.AddrPort
	// Members are the instances of the first start, this one included. They need
	// a name and an address. The list has no effect once any of them has entries
	// or knows of a cluster that it is not part of. It should be left out after the
	// first start: machines that all lost their folders and cannot be reached from
	// the cluster would create another one.
	Members []Member
}

const (
	defaultSnapshotEntries = 1 << 14
	defaultSnapshotBytes   = 16 << 20
	defaultKeepEntries     = 1 << 10
	defaultSegmentBytes    = 8 << 20
	// defaultBatchBytes bounds the entries in one append call.
	defaultBatchBytes = 1 << 20
	// defaultSnapshotPart is small enough that heartbeats on the same connection
	// are not delayed by a heartbeat interval at 10 MB/s.
	defaultSnapshotPart = 256 << 10
)

type options struct {
	logger   log.Logger
	register prometheus.Registerer
	rand     *rand.Rand
	identity func(name string) string
	// snapshotEntries and snapshotBytes are what is applied before a snapshot.
	snapshotEntries uint64
	snapshotBytes   int
	// keepEntries stay in the log before a snapshot.
	keepEntries uint64
	// segmentBytes is the size above which a new segment of the log starts.
	segmentBytes int
	// batchBytes and snapshotPart bound the content of one call.
	batchBytes, snapshotPart int
}

// Option changes an instance's defaults.
type Option func(*options)

// WithLogger sends lines about changes of state to l.
func WithLogger(l log.Logger) Option { return func(o *options) { o.logger = l } }

// WithRegisterer registers the instance's metrics with r.
func WithRegisterer(r prometheus.Registerer) Option {
	return func(o *options) { o.register = r }
}

// WithSnapshots takes a snapshot after that many entries or bytes of commands,
// whichever comes first, and keeps the last keep entries before it for members
// that lag. The defaults are 16,384 entries, 16 MiB and 1,024 entries.
func WithSnapshots(entries, bytes, keep int) Option {
	return func(o *options) {
		o.snapshotEntries, o.snapshotBytes, o.keepEntries = uint64(entries), bytes, uint64(keep)
	}
}

// WithSeed makes election timeouts and identities follow from a seed, for tests.
func WithSeed(seed uint64) Option {
	return func(o *options) {
		r := rand.New(rand.NewPCG(seed, 0))
		o.rand = r
		o.identity = func(name string) string { return identity(name, uint32(r.Uint64()), uint32(r.Uint64())) }
	}
}

func identity(name string, parts ...uint32) string {
	var b []byte
	for _, p := range parts {
		b = append(b, byte(p>>24), byte(p>>16), byte(p>>8), byte(p))
	}
	return name + "-" + hex.EncodeToString(b)
}

func optionsOf(list []Option) options {
	o := options{
		logger:          log.NewNopLogger(),
		rand:            rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		identity:        randomIdentity,
		snapshotEntries: defaultSnapshotEntries,
		snapshotBytes:   defaultSnapshotBytes,
		keepEntries:     defaultKeepEntries,
		segmentBytes:    defaultSegmentBytes,
		batchBytes:      defaultBatchBytes,
		snapshotPart:    defaultSnapshotPart,
	}
	for _, f := range list {
		f(&o)
	}
	return o
}

func randomIdentity(name string) string {
	var b [8]byte
	crand.Read(b[:]) // never fails, says its documentation
	return name + "-" + hex.EncodeToString(b[:])
}
