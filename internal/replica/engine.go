package replica

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"mangokeel"
	"mangokeel/internal/wire"
)

// minSnapshotEntries is how many entries are applied between two snapshots at least. A leader applies
// those of earlier terms at once, and is deposed if that takes longer than minElectionTimeout: a
// configuration of some hundred routes takes 2 ms on a small instance.
const minSnapshotEntries = 128

// engine executes the decisions of the core on the storage and the state machine.
// It starts no goroutines.
type engine struct {
	core    *core
	storage *storage
	machine mangokeel.Machine
	clock   mangokeel.Clock
	// send must not block.
	send func(m message)
	// onApplied is called with the result of each applied command.
	onApplied func(e *wire.Entry, result []byte)
	opts      options
	// applied is the index of the last applied entry. It never decreases and never
	// exceeds core.commit.
	applied uint64
	// bytesSinceSnapshot is the size of the entries applied since the last snapshot.
	bytesSinceSnapshot int
	// background runs long work concurrently with the engine and then runs done on
	// the event loop.
	background func(work func() error, done func(error))
	// snapshotting is true while a snapshot is being written.
	snapshotting bool
	// snapshotErr is the error of the last background snapshot. flush returns it.
	snapshotErr error
}

// open loads the data folder and restores the state machine from the snapshot.
func (e *engine) open(d mangokeel.Disk, cfg Config) error {
	s, st, err := openStorage(d, e.opts.segmentBytes, func() string { return e.opts.newIdentity(cfg.Name) }, sortedSeeds(cfg.Members)...)
	if err != nil {
		return errors.Wrap(err, "load the data folder")
	}
	e.storage = s
	if st.truncated > 0 {
		_ = level.Warn(e.opts.logger).Log("msg", "damaged record removed from the end of the log", "bytes", st.truncated, "last", st.entries.last(), "cut", st.meta.GetCut())
	}
	if x := st.snapshot; x != nil {
		if err := e.machine.Restore(mangokeel.Revision(x.GetIndex()), x.GetState()); err != nil {
			return errors.Wrap(err, "restore the state machine from a snapshot")
		}
		e.applied = x.GetIndex()
	}
	e.core = newCore(e.clock.Now(), cfg, e.opts, st)
	return nil
}

// flush executes the pending output of the core until none is left. After an
// error the engine must not be used again.
func (e *engine) flush() error {
	for e.core.pending() {
		r := e.core.takeReady()
		if err := e.execute(r); err != nil {
			return err
		}
		e.core.persisted(e.clock.Now(), r)
		if err := e.apply(e.core.commit); err != nil {
			return err
		}
	}
	if err := e.apply(e.core.commit); err != nil {
		return err
	}
	return e.snapshotErr
}

// execute persists and sends one batch of core output. Early messages do not depend
// on this instance's disk and are sent first, unless the metadata changes: then they
// are sent after all writes.
func (e *engine) execute(r ready) error {
	if r.meta == nil {
		e.sendAll(r.early)
	} else if err := e.storage.writeMeta(r.meta); err != nil {
		return errors.Wrap(err, "write metadata")
	}
	if r.snapshot != nil {
		if err := e.installSnapshot(r.snapshot); err != nil {
			return errors.Wrap(err, "install the leader's snapshot")
		}
	}
	if len(r.entries) > 0 {
		if err := e.storage.append(r.prev, r.prevTerm, r.entries); err != nil {
			return errors.Wrap(err, "append to the log")
		}
	}
	if r.meta != nil {
		e.sendAll(r.early)
	}
	e.sendAll(r.messages)
	return nil
}

func (e *engine) sendAll(list []message) {
	for _, m := range list {
		e.send(m)
	}
}

// installSnapshot replaces the log and the machine's state by a snapshot from the
// leader.
func (e *engine) installSnapshot(s *wire.Snapshot) error {
	if err := e.storage.saveSnapshot(s); err != nil {
		return err
	}
	if err := e.storage.resetLog(s.GetIndex(), s.GetTerm()); err != nil {
		return err
	}
	e.applied, e.bytesSinceSnapshot = s.GetIndex(), 0
	return e.machine.Restore(mangokeel.Revision(s.GetIndex()), s.GetState())
}

// apply applies the committed entries up to index i that are synced to the disk of
// this instance.
func (e *engine) apply(i uint64) error {
	if i < e.applied {
		panicInvariant("applied index %d exceeds commit index %d", e.applied, i)
	}
	for e.applied < min(i, e.core.stable) {
		x := e.core.log.at(e.applied + 1)
		var result []byte
		if _, ok := x.GetBody().(*wire.Entry_Command); ok {
			result = e.machine.Apply(mangokeel.Revision(x.GetIndex()), x.GetCommand())
		}
		e.applied = x.GetIndex()
		e.bytesSinceSnapshot += len(x.GetCommand()) + entryOverhead
		e.onApplied(x, result)
	}
	return e.maybeSnapshot()
}

// maybeSnapshot starts a snapshot once enough entries have been applied since the
// last one. The state is captured synchronously, because the machine must not change
// meanwhile; only the write to disk runs in the background.
func (e *engine) maybeSnapshot() error {
	if e.snapshotting || !e.snapshotDue() {
		return nil
	}
	b, err := e.machine.Snapshot()
	if err != nil {
		return errors.Wrap(err, "snapshot the state machine")
	}
	term, _ := e.core.log.term(e.applied)
	s := &wire.Snapshot{Index: e.applied, Term: term, Membership: e.core.membershipAt(e.applied), State: b}
	e.snapshotting, e.bytesSinceSnapshot = true, 0
	e.background(func() error { return e.storage.writeSnapshot(s) }, func(err error) {
		e.snapshotting = false
		e.snapshotErr = errors.Wrap(errors.CombineErrors(err, e.finishSnapshot(s, err)), "save the snapshot")
	})
	return nil
}

// snapshotDue reports whether enough has been applied since the last snapshot: as many bytes as that has,
// so that a restart takes about as long for the entries as for the snapshot, or the most that is
// allowed.
func (e *engine) snapshotDue() bool {
	entries := e.applied - e.core.snapshot.GetIndex()
	if entries >= e.opts.snapshotEntries || e.bytesSinceSnapshot >= e.opts.snapshotBytes {
		return true
	}
	return entries >= minSnapshotEntries && e.bytesSinceSnapshot >= len(e.core.snapshot.GetState())
}

// finishSnapshot compacts the log up to a snapshot that is now durable. It discards the
// snapshot if one from the leader with the same or a later index was installed
// while it was being written.
func (e *engine) finishSnapshot(s *wire.Snapshot, err error) error {
	switch {
	case err != nil:
		return nil
	case s.GetIndex() <= e.core.snapshot.GetIndex():
		return e.storage.discardSnapshot(s)
	}
	e.core.compacted(s, e.opts.keepEntries)
	if err := e.storage.useSnapshot(s); err != nil {
		return err
	}
	return e.storage.compact(e.core.log.base)
}

// status returns the status of the instance without its age. The caller computes
// the age from confirmedAt when it is queried, so that it stays correct even if the
// engine was stalled.
func (e *engine) status() (s mangokeel.LogStatus, now, confirmed time.Time) {
	c := e.core
	s = mangokeel.LogStatus{
		ID:        c.id(),
		Leading:   c.role == leader,
		Voter:     isVoter(c.membership, c.id()),
		Term:      c.term(),
		Applied:   mangokeel.Revision(e.applied),
		Committed: mangokeel.Revision(c.commit),
	}
	if c.leader != "" && (c.role == leader || c.role == follower) {
		s.Leader = c.leaderAddr
	}
	return s, c.now, c.confirmedAt
}

// age returns the time since confirmed, at most NoAge. It returns NoAge if nothing
// was confirmed or now is before seen, the time of the engine's last event.
func age(now, lastEvent, confirmed time.Time) time.Duration {
	if confirmed.IsZero() || now.Before(lastEvent) {
		return NoAge
	}
	return min(now.Sub(confirmed), NoAge)
}

// membershipAt returns the membership in effect at index i.
func (c *core) membershipAt(i uint64) *wire.Membership {
	if m, _ := c.log.membershipAt(i); m != nil {
		return proto.Clone(m).(*wire.Membership)
	}
	return c.snapshot.GetMembership()
}
