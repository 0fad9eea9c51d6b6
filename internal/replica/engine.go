package replica

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"mangokeel"
	"mangokeel/internal/wire"
)

// engine joins core, storage and machine. It has no goroutines; send must not
// block.
type engine struct {
	core    *core
	storage *storage
	machine mangokeel.Machine
	clock   mangokeel.Clock
	send    func(m message)
	// applied is called with the result of each applied command.
	done func(e *wire.Entry, result []byte)
	opts options
	// applied never falls and never exceeds core.commit.
	applied uint64
	// bytes counts the commands applied since the last snapshot.
	bytes int
	// background runs work, which may take long, beside the engine and then done
	// as one of its events.
	background func(work func() error, done func(error))
	// saving is set while a snapshot is being written.
	saving bool
	failed error
}

// open loads the data folder and restores the machine.
func (e *engine) open(d mangokeel.Disk, cfg Config) error {
	s, st, err := openStorage(d, e.opts.segmentBytes, func() string { return e.opts.identity(cfg.Name) })
	if err != nil {
		return errors.Wrap(err, "load the data folder")
	}
	e.storage = s
	if x := st.snapshot; x != nil {
		if err := e.machine.Restore(mangokeel.Revision(x.GetIndex()), x.GetState()); err != nil {
			return errors.Wrap(err, "restore the snapshot")
		}
		e.applied = x.GetIndex()
	}
	e.core = newCore(e.clock.Now(), cfg, e.opts, st)
	return nil
}

// flush does what the core asks for until nothing is left. After an error the
// engine must not be used again.
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
	return e.failed
}

func (e *engine) execute(r ready) error {
	if r.meta == nil {
		e.sendAll(r.early)
	} else if err := e.storage.writeMeta(r.meta); err != nil {
		return errors.Wrap(err, "write meta")
	}
	if r.snapshot != nil {
		if err := e.install(r.snapshot); err != nil {
			return errors.Wrap(err, "install a snapshot")
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

func (e *engine) install(s *wire.Snapshot) error {
	if err := e.storage.saveSnapshot(s); err != nil {
		return err
	}
	if err := e.storage.resetLog(s.GetIndex(), s.GetTerm()); err != nil {
		return err
	}
	e.applied, e.bytes = s.GetIndex(), 0
	return e.machine.Restore(mangokeel.Revision(s.GetIndex()), s.GetState())
}

// apply runs the committed entries up to i, which are synced on this instance.
func (e *engine) apply(i uint64) error {
	if i < e.applied {
		panicInvariant("applied %d exceeds commit %d", e.applied, i)
	}
	for e.applied < min(i, e.core.stable) {
		x := e.core.log.at(e.applied + 1)
		var result []byte
		if _, ok := x.GetBody().(*wire.Entry_Command); ok {
			result = e.machine.Apply(mangokeel.Revision(x.GetIndex()), x.GetCommand())
		}
		e.applied = x.GetIndex()
		e.bytes += len(x.GetCommand()) + entryOverhead
		e.done(x, result)
	}
	return e.snapshot()
}

// snapshot starts to store the machine's state once enough was applied since the
// last one. Only the writing is left to the background, since the machine must not
// change meanwhile.
func (e *engine) snapshot() error {
	last := e.core.snapshot.GetIndex()
	if e.saving || e.applied-last < e.opts.snapshotEntries && e.bytes < e.opts.snapshotBytes {
		return nil
	}
	b, err := e.machine.Snapshot()
	if err != nil {
		return errors.Wrap(err, "take a snapshot")
	}
	term, _ := e.core.log.term(e.applied)
	s := &wire.Snapshot{Index: e.applied, Term: term, Membership: e.core.membershipAt(e.applied), State: b}
	e.saving, e.bytes = true, 0
	e.background(func() error { return e.storage.writeSnapshot(s) }, func(err error) {
		e.saving = false
		e.failed = errors.Wrap(errors.CombineErrors(err, e.saved(s, err)), "save a snapshot")
	})
	return nil
}

// saved drops what a durable snapshot makes superfluous. A snapshot of the leader
// may have been installed in the meantime.
func (e *engine) saved(s *wire.Snapshot, err error) error {
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

// status returns what the instance knows. The age is computed from confirmedAt by
// whoever asks, so that it is right however long the engine was held up.
func (e *engine) status() (s mangokeel.LogStatus, now, confirmed time.Time) {
	c := e.core
	s = mangokeel.LogStatus{
		ID:        c.id(),
		Leading:   c.role == leader,
		Voter:     votes(c.membership, c.id()),
		Term:      c.term(),
		Applied:   mangokeel.Revision(e.applied),
		Committed: mangokeel.Revision(c.commit),
	}
	if c.leader != "" && (c.role == leader || c.role == follower) {
		s.Leader = c.leaderAddr
	}
	return s, c.now, c.confirmedAt
}

// age returns the time since confirmed, or NoAge when now is not a later time.
func age(now, seen, confirmed time.Time) time.Duration {
	if confirmed.IsZero() || now.Before(seen) {
		return NoAge
	}
	return min(now.Sub(confirmed), NoAge)
}

func (c *core) membershipAt(i uint64) *wire.Membership {
	if m, _ := c.log.membershipAt(i); m != nil {
		return proto.Clone(m).(*wire.Membership)
	}
	return c.snapshot.GetMembership()
}
