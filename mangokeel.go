// Package mangokeel is a layer-4 load balancer whose balancers share nothing on
// the packet path.
//
// A service is a set of targets behind one address. A fabric hands any packet of
// any flow to any balancer. The balancer finds the packet's target from the
// packet alone, or asks along a short chain of agents, one of which stands
// beside each target and owns its flows. A few control instances hold the
// accepted settings and the roster of targets in a replicated log.
//
// This package holds the values that all parts share and the interfaces through
// which they meet the outside: time, disks, calls to other processes, the
// fabric, and the replicated log. Implementations are in the packages below it.
package mangokeel

import (
	"context"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"
)

// Handle names one registration of one target. Handles are given out in rising
// order and never reused, so a restarted agent gets a new one. Zero is no handle.
type Handle uint32

// ServiceID names a service for as long as it exists. Zero is no service.
type ServiceID uint32

// Revision is the position of an accepted change in the replicated log. It only
// rises. Zero is before the first change.
type Revision uint64

// Epoch is the revision of the last change to a service's bucket table or chains.
type Epoch uint64

// AvailabilityZone is the name of an availability zone as operators write it.
type AvailabilityZone string

// Clock tells the time. Values carry a monotonic reading where the
// implementation has one; only differences between them are used.
type Clock interface {
	Now() time.Time
}

// Subscription is a standing request for calls from a timer service.
type Subscription interface {
	// Cancel ends the subscription. A call that has begun still completes.
	Cancel()
}

// Timers is the timer service. Functions are called one at a time for each
// subscription and must not block for longer than their period.
type Timers interface {
	Clock
	// Every calls fn once for each period, starting one period from now. Missed
	// periods are skipped.
	Every(period time.Duration, fn func(now time.Time)) Subscription
	// After calls fn once.
	After(d time.Duration, fn func(now time.Time)) Subscription
}

// File is an open file of a Disk.
type File interface {
	// Append writes b at the end. The bytes last only after Sync returned nil.
	Append(b []byte) error
	// Sync makes everything appended so far durable. After an error nothing is
	// known about the unsynced bytes and the file must not be used again.
	Sync() error
	Close() error
}

// Disk is one data folder. Names are plain file names without separators.
type Disk interface {
	// Open opens a file for appending and creates it when it does not exist.
	Open(name string) (File, error)
	// Read returns the whole content. A missing file gives fs.ErrNotExist.
	Read(name string) ([]byte, error)
	// Replace makes content durable under name in one step: after a crash the
	// file has either the old or the new content.
	Replace(name string, content []byte) error
	// Truncate cuts the file to size and syncs it.
	Truncate(name string, size int64) error
	Remove(name string) error
	// List returns the names in ascending order.
	List() ([]string, error)
}

// Remote calls methods of other processes.
type Remote interface {
	// Call sends req and fills resp. An error means that the outcome is unknown
	// unless it is marked ErrNotSent.
	Call(ctx context.Context, addr netip.AddrPort, method string, req, resp proto.Message) error
}

// Handler answers one method of a process.
type Handler func(ctx context.Context, req proto.Message) (proto.Message, error)

// Fabric is the balancer's side of the fabric for one service: packets arrive
// from any caller and leave from the service's address.
type Fabric interface {
	// ReadPacket blocks for a packet and returns its length and its caller.
	ReadPacket(b []byte) (n int, caller netip.AddrPort, err error)
	// WritePacket sends one packet to a caller.
	WritePacket(b []byte, caller netip.AddrPort) error
	Close() error
}

// Machine is the deterministic state behind a Log. Calls come from one goroutine
// in log order.
type Machine interface {
	// Apply executes the command at a revision and returns its result. The same
	// commands at the same revisions give the same state on every instance.
	Apply(r Revision, command []byte) []byte
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by a snapshot taken at a revision.
	Restore(r Revision, snapshot []byte) error
}

// LogStatus is what one instance knows about the replicated log.
type LogStatus struct {
	// ID is this instance.
	ID string
	// Leader is the present leader's address, or the zero value.
	Leader  netip.AddrPort
	Leading bool
	Voter   bool
	Term    uint64
	// Applied never falls and never exceeds Committed.
	Applied   Revision
	Committed Revision
	// Age is the time since a majority confirmed Committed. It is an upper bound.
	Age time.Duration
}

// Log is a replicated log. Propose returns after the command is synced on a
// majority and applied on this instance.
type Log interface {
	// Propose works on the leader only; elsewhere it returns ErrNotLeader. Any
	// error other than ErrNotLeader leaves the outcome unknown.
	Propose(ctx context.Context, command []byte) (result []byte, r Revision, err error)
	Status() LogStatus
}

// Flow names a flow by its two ends: the caller, and the address of the service that it
// called.
type Flow struct {
	Caller, Address netip.AddrPort
}

// Packet is what the product reads from a packet that names both of its ends.
type Packet struct {
	Source, Destination netip.AddrPort
	// Opening marks the caller's first packet of a flow, Accepting the target's answer
	// to it. Final and Reset mark a sender's last packet.
	Opening, Accepting, Final, Reset bool
	// Returned marks a packet that the target did not take.
	Returned bool
	// Failed marks data that begins an answer by which the target says that it could not
	// serve the request.
	Failed bool
	// Sequence numbers the sender's bytes, Acknowledged those it has received.
	Sequence, Acknowledged uint32
	// Copy counts the copies of an opening packet that were sent before this one.
	Copy int
	// Size is the length of the data in bytes.
	Size int
}

// Codec reads and marks packets of one format. Packets are never changed in what their
// sender wrote.
type Codec interface {
	// Parse reads a packet. The error says what is malformed.
	Parse(b []byte) (Packet, error)
	// Clean removes, in place, the marks that a target set when it returned the packet.
	Clean(b []byte)
	// Reset returns a packet that ends p's flow towards its source.
	Reset(p Packet) []byte
	// Request returns the id of the request that begins in a packet's data, for logs only.
	// It is empty if there is none.
	Request(b []byte) string
}
