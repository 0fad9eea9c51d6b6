package replica

import (
	crand "crypto/rand"
	"encoding/hex"
	"math/rand/v2"
	"net/netip"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"
)

// Config holds the identity and initial peers of an instance.
type Config struct {
	// Name identifies the instance to operators.
	Name string
	// Address is the address at which other instances reach this one.
	Address netip.AddrPort
	// Members lists the instances that bootstrap the cluster, including this one.
	// Each needs a name and an address, and all get the same list. The data folder
	// keeps it from the first start on. It is ignored once any of them has log entries
	// or knows of a cluster that it is not part of. Omit it after the first start: an
	// instance with an empty folder would vote a second time, and a majority of those
	// that is partitioned from the cluster would bootstrap a second one.
	Members []Member
}

const (
	defaultSnapshotEntries = 1 << 14
	defaultSnapshotBytes   = 16 << 20
	// defaultKeepEntries is also the most entries that a new member gets one by one instead of in a
	// snapshot.
	defaultKeepEntries  = 1 << 7
	defaultSegmentBytes = 8 << 20
	// defaultBatchBytes limits the size of the entries in one append call.
	defaultBatchBytes = 1 << 20
	// defaultSnapshotChunkBytes is the size of one chunk of a snapshot transfer. At
	// 10 MB/s, a chunk delays heartbeats on the same connection by less than one
	// heartbeat interval.
	defaultSnapshotChunkBytes = 256 << 10
)

type options struct {
	logger      log.Logger
	registerer  prometheus.Registerer
	rand        *rand.Rand
	newIdentity func(name string) string
	// snapshotEntries and snapshotBytes are the thresholds of applied entries and
	// bytes at which a snapshot is taken.
	snapshotEntries uint64
	snapshotBytes   int
	// keepEntries is the number of entries before a snapshot that log compaction
	// retains.
	keepEntries uint64
	// segmentBytes is the size above which the log starts a new segment.
	segmentBytes int
	// batchBytes and snapshotChunkBytes limit the payload in bytes of one append or
	// snapshot call.
	batchBytes, snapshotChunkBytes int
}

// Option configures a Node.
type Option func(*options)

// WithLogger sets the logger for state changes and failures. The default
// discards everything.
func WithLogger(l log.Logger) Option { return func(o *options) { o.logger = l } }

// WithRegisterer registers the instance's Prometheus metrics with r.
func WithRegisterer(r prometheus.Registerer) Option {
	return func(o *options) { o.registerer = r }
}

// WithSnapshots takes a snapshot after the given number of applied entries or
// bytes of commands, whichever is reached first. The last keep entries before the
// snapshot stay in the log so that lagging members can catch up without a snapshot
// transfer. The defaults are 16,384 entries, 16 MiB and 128 entries. A snapshot is taken earlier if the
// entries since the last one are larger than that.
func WithSnapshots(entries, bytes, keep int) Option {
	return func(o *options) {
		o.snapshotEntries, o.snapshotBytes, o.keepEntries = uint64(entries), bytes, uint64(keep)
	}
}

// WithSeed derives election timeouts and generated identities from seed, so that
// tests are reproducible.
func WithSeed(seed uint64) Option {
	return func(o *options) {
		r := rand.New(rand.NewPCG(seed, 0))
		o.rand = r
		o.newIdentity = func(name string) string { return formatIdentity(name, uint32(r.Uint64()), uint32(r.Uint64())) }
	}
}

func formatIdentity(name string, parts ...uint32) string {
	var b []byte
	for _, p := range parts {
		b = append(b, byte(p>>24), byte(p>>16), byte(p>>8), byte(p))
	}
	return name + "-" + hex.EncodeToString(b)
}

func buildOptions(list []Option) options {
	o := options{
		logger:             log.NewNopLogger(),
		rand:               rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		newIdentity:        randomIdentity,
		snapshotEntries:    defaultSnapshotEntries,
		snapshotBytes:      defaultSnapshotBytes,
		keepEntries:        defaultKeepEntries,
		segmentBytes:       defaultSegmentBytes,
		batchBytes:         defaultBatchBytes,
		snapshotChunkBytes: defaultSnapshotChunkBytes,
	}
	for _, f := range list {
		f(&o)
	}
	return o
}

func randomIdentity(name string) string {
	var b [8]byte
	crand.Read(b[:]) // documented never to return an error
	return name + "-" + hex.EncodeToString(b[:])
}
