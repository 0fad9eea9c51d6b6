package replica

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"mangokeel"
	"mangokeel/internal/wire"
)

const (
	metaA          = "meta-a"
	metaB          = "meta-b"
	segmentPrefix  = "log-"
	snapshotPrefix = "snapshot-"
)

// recoveredState holds the metadata, snapshot and log entries recovered from the data
// directory.
type recoveredState struct {
	meta     *wire.Meta
	snapshot *wire.Snapshot
	entries  entries
	// truncated is the size in bytes of the damaged record that was removed from the end of
	// the log, or 0.
	truncated int
}

// segment describes one file of the log.
type segment struct {
	number uint64
	// lastIndex is the highest index ever written to the segment, including entries
	// that were later overwritten.
	lastIndex uint64
}

// storage persists the metadata, log and snapshot in a data directory. It must
// not be used again after an error.
//
// Each log record is synced before the next one is written, so a crash can damage
// only the last record.
type storage struct {
	disk mangokeel.Disk
	// meta is the last version written.
	meta *wire.Meta
	// segments is sorted by number and has no gaps. file is the last one, open for
	// appending; size is its length in bytes.
	segments    []segment
	file        mangokeel.File
	segmentSize int
	// segmentLimit is the segment size in bytes above which append starts a new segment.
	segmentLimit int
	// snapshot is the name of the current snapshot file, or empty.
	snapshot string
}

func segmentName(n uint64) string { return fmt.Sprintf("%s%016x", segmentPrefix, n) }

func snapshotName(i uint64) string { return fmt.Sprintf("%s%016x", snapshotPrefix, i) }

func corruptf(format string, args ...any) error {
	return errors.Wrapf(mangokeel.ErrCorrupt, format, args...)
}

// openStorage opens the data directory and recovers its contents. An empty directory gets
// the instance ID that newID generates, and the seeds. Each call counts as a start, which is
// written to the metadata before openStorage returns.
func openStorage(d mangokeel.Disk, limit int, newID func() string, seeds ...string) (*storage, *recoveredState, error) {
	s, st := &storage{disk: d, segmentLimit: limit}, &recoveredState{}
	if err := s.recover(st, newID, seeds); err != nil {
		if s.file != nil {
			err = errors.CombineErrors(err, s.file.Close())
		}
		return nil, nil, err
	}
	st.meta = proto.Clone(s.meta).(*wire.Meta)
	return s, st, nil
}

// recover reads the data directory, or initializes an empty one, and opens the last segment.
func (s *storage) recover(st *recoveredState, newID func() string, seeds []string) error {
	names, err := s.disk.List()
	if err != nil {
		return err
	}
	meta, err := s.readMeta(names)
	if err != nil {
		return err
	}
	if meta == nil {
		return s.create(names, &wire.Meta{Id: newID(), Segment: 1, Starts: 1, Seeds: seeds})
	}
	s.meta = meta
	if err := s.readSnapshot(names, st); err != nil {
		return err
	}
	return s.readSegments(names, st)
}

// create initializes a data directory that holds no data. It rejects non-empty
// files, because they show that the metadata was lost.
func (s *storage) create(names []string, m *wire.Meta) error {
	for _, name := range names {
		b, err := s.disk.Read(name)
		if err != nil {
			return err
		}
		if len(b) > 0 {
			return corruptf("%s exists without a meta file", name)
		}
	}
	if err := s.openSegment(1); err != nil {
		return err
	}
	return s.writeMeta(m)
}

// readMeta returns the newest valid copy of the metadata, or nil if there is none.
// Copy A is written first, and no version is relied on until copy B is written
// too, so either copy alone is recent enough.
func (s *storage) readMeta(names []string) (*wire.Meta, error) {
	var newest *wire.Meta
	var failed error
	for _, name := range []string{metaA, metaB} {
		if !slices.Contains(names, name) {
			continue
		}
		b, err := s.disk.Read(name)
		if err != nil {
			return nil, err
		}
		m := &wire.Meta{}
		if err := decodeFile(b, m); err != nil {
			failed = errors.Wrap(err, name)
			continue
		}
		if newest == nil || m.GetSequence() > newest.GetSequence() {
			newest = m
		}
	}
	if newest == nil {
		return nil, failed
	}
	return newest, nil
}

// writeMeta durably writes m to both metadata copies.
func (s *storage) writeMeta(m *wire.Meta) error {
	m.Sequence = s.meta.GetSequence() + 1
	m.Segment = max(m.GetSegment(), s.meta.GetSegment())
	b, err := encodeRecord(m)
	if err != nil {
		return err
	}
	for _, name := range []string{metaA, metaB} {
		if err := s.disk.Replace(name, b); err != nil {
			return errors.Wrap(err, name)
		}
	}
	s.meta = m
	return nil
}

// readSnapshot reads the newest snapshot and removes older ones.
func (s *storage) readSnapshot(names []string, st *recoveredState) error {
	for _, name := range names {
		if strings.HasPrefix(name, snapshotPrefix) {
			s.snapshot = max(s.snapshot, name)
		}
	}
	if s.snapshot == "" {
		return nil
	}
	b, err := s.disk.Read(s.snapshot)
	if err != nil {
		return err
	}
	st.snapshot = &wire.Snapshot{}
	if err := decodeFile(b, st.snapshot); err != nil {
		return errors.Wrap(err, s.snapshot)
	}
	for _, name := range names {
		if !strings.HasPrefix(name, snapshotPrefix) || name == s.snapshot {
			continue
		}
		if err := s.disk.Remove(name); err != nil {
			return err
		}
	}
	return nil
}

// readSegments reads the log, truncates a damaged tail and opens the last segment.
func (s *storage) readSegments(names []string, st *recoveredState) error {
	for _, name := range names {
		var n uint64
		if strings.HasPrefix(name, segmentPrefix) {
			if _, err := fmt.Sscanf(name[len(segmentPrefix):], "%x", &n); err != nil {
				return corruptf("invalid segment name %s", name)
			}
			s.segments = append(s.segments, segment{number: n})
		}
	}
	if err := s.checkSegments(); err != nil {
		return err
	}
	r := &logReader{}
	for i := range s.segments {
		if err := s.readSegment(r, i); err != nil {
			return err
		}
	}
	if err := s.undoClusterCreation(r, st); err != nil {
		return err
	}
	if err := s.recordStart(r); err != nil {
		return err
	}
	st.truncated = r.tailBytes
	return s.reconcile(r, st)
}

// undoClusterCreation reverts an incomplete cluster creation, where the
// instance stopped after recording the cluster but before its first entry was
// durable. Each election raises the term, so no other instance can rely on the
// entry while the term is unchanged.
func (s *storage) undoClusterCreation(r *logReader, st *recoveredState) error {
	if s.meta.GetCluster() == "" || st.snapshot != nil || r.log.last() > 0 {
		return nil
	}
	if s.meta.GetCluster() == s.meta.GetFounding().GetCluster() {
		// The damaged tail is that of the first entry, which the seeds have chosen and which
		// this instance gets again from any of them.
		r.tailUnneeded = r.tailUnneeded || s.meta.GetCreated() == firstTerm && s.meta.GetTerm() == firstTerm
		return nil
	}
	// Builds before the vote of the seeds named the cluster after the instance that created it.
	if s.meta.GetCluster() != s.meta.GetId() {
		return nil
	}
	if s.meta.GetTerm() != s.meta.GetCreated() {
		return corruptf("log is empty in term %d, but the cluster was created in term %d", s.meta.GetTerm(), s.meta.GetCreated())
	}
	s.meta.Cluster = ""
	s.meta.Cut, r.tailUnneeded = false, true
	return nil
}

// checkSegments verifies that the segments have no gaps and reach the segment
// recorded in the metadata.
func (s *storage) checkSegments() error {
	for i, x := range s.segments {
		if x.number != s.segments[0].number+uint64(i) {
			return corruptf("segment before %s is missing", segmentName(x.number))
		}
	}
	if n := len(s.segments); n == 0 || s.segments[n-1].number < s.meta.GetSegment() {
		return corruptf("%s is missing", segmentName(s.meta.GetSegment()))
	}
	return nil
}

// logReader rebuilds the log from the batches of all segments.
type logReader struct {
	log entries
	// hasBatch is set once the first batch has been replayed.
	hasBatch bool
	// resetIndex is the index of the last reset batch. A snapshot must cover it.
	resetIndex uint64
	// validBytes and tailBytes are the lengths in bytes of the valid part and of the damaged
	// tail of the segment read last.
	validBytes, tailBytes int
	// lastBatch is the last valid batch of the segment read last, or nil.
	lastBatch *wire.Batch
	// tailUnneeded is set if no other instance relies on the damaged tail: it is a record that
	// was never synced, or belongs to an incomplete cluster creation.
	tailUnneeded bool
}

// readSegment replays the i-th segment into r.
func (s *storage) readSegment(r *logReader, i int) error {
	name := segmentName(s.segments[i].number)
	b, err := s.disk.Read(name)
	if err != nil {
		return err
	}
	r.validBytes, r.tailBytes, r.lastBatch = 0, 0, nil
	for r.validBytes < len(b) {
		var batch wire.Batch
		n, err := decodeRecord(b[r.validBytes:], &batch)
		if err != nil {
			return r.checkTail(name, b[r.validBytes:], err, i == len(s.segments)-1)
		}
		if err := r.replay(&batch); err != nil {
			return errors.Wrap(err, name)
		}
		s.segments[i].lastIndex = max(s.segments[i].lastIndex, batch.GetIndex()+uint64(len(batch.GetEntries())))
		r.validBytes += n
		r.lastBatch = &batch
	}
	return nil
}

// checkTail handles the bytes after the last valid record of a segment. They can be
// truncated only at the end of the last segment; a damaged record elsewhere is
// corruption.
func (r *logReader) checkTail(name string, b []byte, err error, newest bool) error {
	if !newest || containsRecord(b) {
		return errors.WithSecondaryError(corruptf("%s has a damaged record that is not at the end of the log", name), err)
	}
	// A record is confirmed only after its sync.
	r.tailBytes, r.tailUnneeded = len(b), isIncomplete(b)
	return nil
}

// replay applies one batch: it resets the log or truncates it after the batch's index,
// then appends the entries.
func (r *logReader) replay(b *wire.Batch) error {
	i := b.GetIndex()
	switch t, known := r.log.term(i); {
	case b.GetReset_():
		r.log, r.resetIndex = entries{base: i, baseTerm: b.GetTerm()}, i
	case !r.hasBatch || i < r.log.base:
		r.log = entries{base: i, baseTerm: b.GetTerm()}
	case !known || t != b.GetTerm():
		return corruptf("batch follows entry %d of term %d, which is not in the log", i, b.GetTerm())
	default:
		r.log.truncate(i + 1)
	}
	r.hasBatch = true
	for _, e := range b.GetEntries() {
		if e.GetIndex() != r.log.last()+1 || e.GetTerm() < r.log.lastTerm() {
			return corruptf("entry %d of term %d is out of order", e.GetIndex(), e.GetTerm())
		}
		r.log.append(e)
	}
	return nil
}

// recordStart records the start and any damaged tail in the metadata before it
// truncates the tail. Otherwise, a later start would treat the truncated log as
// complete.
func (s *storage) recordStart(r *logReader) error {
	m := proto.Clone(s.meta).(*wire.Meta)
	m.Starts++
	m.Cut = m.GetCut() || r.tailBytes > 0 && !r.tailUnneeded
	newest := s.segments[len(s.segments)-1].number
	m.Segment = newest
	if err := s.writeMeta(m); err != nil {
		return err
	}
	if r.tailBytes > 0 {
		if err := s.disk.Truncate(segmentName(newest), int64(r.validBytes)); err != nil {
			return err
		}
	}
	f, err := s.disk.Open(segmentName(newest))
	if err != nil {
		return err
	}
	s.file, s.segmentSize = f, r.validBytes
	if r.lastBatch == nil {
		return nil
	}
	// The last batch may be readable but not durable if the process ended before
	// the sync or the sync failed. Append and sync a second copy.
	return s.writeBatch(r.lastBatch)
}

// reconcile checks the log against the snapshot. If the log does not contain the
// snapshot's last entry, the instance stopped while replacing the log with the
// snapshot, and reconcile completes the replacement.
func (s *storage) reconcile(r *logReader, st *recoveredState) error {
	i, term := st.snapshot.GetIndex(), st.snapshot.GetTerm()
	if r.log.base > i || r.resetIndex > i {
		return corruptf("log starts after entry %d, but the snapshot ends at entry %d", r.log.base, i)
	}
	if r.log.lastTerm() > s.meta.GetTerm() || term > s.meta.GetTerm() {
		return corruptf("log or snapshot has term %d, but the metadata has term %d", max(term, r.log.lastTerm()), s.meta.GetTerm())
	}
	st.entries = r.log
	if t, ok := r.log.term(i); ok && t == term {
		return nil
	}
	st.entries = entries{base: i, baseTerm: term}
	// Replace may have failed after its rename, so the snapshot may not be durable
	// yet.
	if err := s.saveSnapshot(st.snapshot); err != nil {
		return err
	}
	return s.resetLog(i, term)
}

// openSegment creates segment n, opens it for appending and closes the previous one.
func (s *storage) openSegment(n uint64) error {
	f, err := s.disk.Open(segmentName(n))
	if err != nil {
		return err
	}
	if s.file != nil {
		if err := s.file.Close(); err != nil {
			return err
		}
	}
	s.file, s.segmentSize = f, 0
	s.segments = append(s.segments, segment{number: n})
	return nil
}

// startSegment starts a new segment and records its number in the metadata, so that a
// missing segment is detected at the next start.
func (s *storage) startSegment() error {
	n := s.segments[len(s.segments)-1].number + 1
	if err := s.openSegment(n); err != nil {
		return err
	}
	m := proto.Clone(s.meta).(*wire.Meta)
	m.Segment = n
	return s.writeMeta(m)
}

// append durably writes entries that follow entry prev of term prevTerm. They
// replace any entries already stored after prev.
func (s *storage) append(prev, prevTerm uint64, list []*wire.Entry) error {
	if s.segmentSize > s.segmentLimit {
		if err := s.startSegment(); err != nil {
			return err
		}
	}
	return s.writeBatch(&wire.Batch{Index: prev, Term: prevTerm, Entries: list})
}

// writeBatch appends a batch to the open segment and syncs it.
func (s *storage) writeBatch(b *wire.Batch) error {
	rec, err := encodeRecord(b)
	if err != nil {
		return err
	}
	if err := s.file.Append(rec); err != nil {
		return errors.CombineErrors(err, s.removePartialRecord())
	}
	if err := s.file.Sync(); err != nil {
		return err
	}
	s.segmentSize += len(rec)
	x := &s.segments[len(s.segments)-1]
	x.lastIndex = max(x.lastIndex, b.GetIndex()+uint64(len(b.GetEntries())))
	return nil
}

// removePartialRecord removes what a failed append has left at the end of the open segment. No instance
// relies on it, but the next start would take it for a damaged record.
func (s *storage) removePartialRecord() error {
	return s.disk.Truncate(segmentName(s.segments[len(s.segments)-1].number), int64(s.segmentSize))
}

// resetLog replaces the whole log with the snapshot that ends at entry i.
func (s *storage) resetLog(i, term uint64) error {
	if err := s.startSegment(); err != nil {
		return err
	}
	if err := s.writeBatch(&wire.Batch{Index: i, Term: term, Reset_: true}); err != nil {
		return err
	}
	return s.removeSegments(len(s.segments) - 1)
}

// removeSegments removes the n oldest segments, oldest first, so that a crash leaves no gap.
func (s *storage) removeSegments(n int) error {
	for range n {
		if err := s.disk.Remove(segmentName(s.segments[0].number)); err != nil {
			return err
		}
		s.segments = s.segments[1:]
	}
	return nil
}

// saveSnapshot durably writes a snapshot and removes the previous one.
func (s *storage) saveSnapshot(x *wire.Snapshot) error {
	if err := s.writeSnapshot(x); err != nil {
		return err
	}
	return s.useSnapshot(x)
}

// writeSnapshot durably writes a snapshot. It may run concurrently with the other methods.
func (s *storage) writeSnapshot(x *wire.Snapshot) error {
	b, err := encodeRecord(x)
	if err != nil {
		return err
	}
	return s.disk.Replace(snapshotName(x.GetIndex()), b)
}

// useSnapshot makes a stored snapshot the current one and removes its predecessor.
func (s *storage) useSnapshot(x *wire.Snapshot) error {
	name, old := snapshotName(x.GetIndex()), s.snapshot
	s.snapshot = name
	if old == "" || old == name {
		return nil
	}
	return s.disk.Remove(old)
}

// discardSnapshot removes a stored snapshot unless it is the current one.
func (s *storage) discardSnapshot(x *wire.Snapshot) error {
	if name := snapshotName(x.GetIndex()); name != s.snapshot {
		return s.disk.Remove(name)
	}
	return nil
}

// compact removes the oldest segments that hold no entry after base. It keeps the
// open segment.
func (s *storage) compact(base uint64) error {
	n := 0
	for n < len(s.segments)-1 && s.segments[n].lastIndex <= base {
		n++
	}
	return s.removeSegments(n)
}

// close closes the open segment, and the disk if it implements io.Closer.
func (s *storage) close() error {
	err := s.file.Close()
	if c, ok := s.disk.(io.Closer); ok {
		err = errors.CombineErrors(err, c.Close())
	}
	return err
}
