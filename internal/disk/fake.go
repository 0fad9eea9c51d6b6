package disk

import (
	"io/fs"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"

	"mangokeel"
)

// Op names an operation of a Fake that changes its files.
type Op string

// Operations reported to a Hook.
const (
	OpOpen     Op = "open"
	OpAppend   Op = "append"
	OpSync     Op = "sync"
	OpReplace  Op = "replace"
	OpTruncate Op = "truncate"
	OpRemove   Op = "remove"
)

// Hook is called before each operation listed as an Op and after each one that
// succeeds. Its error becomes the result of the operation. If the call before it
// fails, a sync leaves its bytes readable but does not make them durable, even if a
// later sync succeeds; a replace may or may not take effect; other operations have no
// effect. A hook may panic to abort the caller at that point.
type Hook func(op Op, name string, after bool) error

// Fake is an in-memory disk that simulates crashes, write errors, a full disk and
// corrupted bits. The zero value is empty and injects no faults.
type Fake struct {
	// Hook is called without the lock of Fake held. It may be nil.
	Hook Hook
	// Rand chooses how much unsynced data survives a crash and whether a failed
	// replace takes effect. If nil, no unsynced data survives and no failed replace
	// takes effect.
	Rand *rand.Rand
	// Limit is the capacity in bytes. Zero means no limit.
	Limit int

	mu    sync.Mutex
	files map[string]*fakeContent
}

var _ mangokeel.Disk = (*Fake)(nil)

// fakeContent is the data of a file and the part of it that is durable.
type fakeContent struct {
	data []byte
	// synced is the length of the prefix on which Sync was called. It does not exceed
	// len(data).
	synced int
	// failedSyncs are ranges below synced whose sync failed, so a crash may zero them.
	failedSyncs []byteRange
}

// byteRange is the range of bytes from start up to, but not including, end.
type byteRange struct{ start, end int }

func (d *Fake) before(op Op, name string) error {
	if d.Hook == nil {
		return nil
	}
	return d.Hook(op, name, false)
}

func (d *Fake) after(op Op, name string) error {
	if d.Hook == nil {
		return nil
	}
	return d.Hook(op, name, true)
}

// randomUpTo returns a random number from 0 to n inclusive, or 0 if Rand is nil.
func (d *Fake) randomUpTo(n int) int {
	if d.Rand == nil {
		return 0
	}
	return d.Rand.IntN(n + 1)
}

// Crash simulates a power failure. Each file keeps its synced bytes and a prefix of
// random length of the unsynced ones, the end of which may read as zeros. Each
// range whose sync failed reads as zeros from a random offset on. Files opened before
// the crash must not be used after it.
func (d *Fake) Crash() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range d.sortedNames() {
		f := d.files[name]
		for _, h := range f.failedSyncs {
			clear(f.data[h.start+d.randomUpTo(h.end-h.start) : h.end])
		}
		size := f.synced + d.randomUpTo(len(f.data)-f.synced)
		clear(f.data[size-d.randomUpTo(size-f.synced)/2 : size])
		f.data, f.synced, f.failedSyncs = f.data[:size:size], size, nil
	}
}

// Lose removes all files, as if the disk were replaced by an empty one.
func (d *Fake) Lose() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.files = nil
}

// Flip inverts one bit of the byte at offset of a file. It returns false if the file
// does not exist or is too short.
func (d *Fake) Flip(name string, offset int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.files[name]
	if f == nil || offset < 0 || offset >= len(f.data) {
		return false
	}
	f.data = slices.Clone(f.data)
	f.data[offset] ^= 1 << (offset % 8)
	return true
}

// sortedNames returns the file names in sorted order.
func (d *Fake) sortedNames() []string {
	var names []string
	for name := range d.files {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// available returns how many of n additional bytes fit within Limit.
func (d *Fake) available(n int) int {
	if d.Limit == 0 {
		return n
	}
	left := d.Limit
	for _, f := range d.files {
		left -= len(f.data)
	}
	return max(0, min(n, left))
}

// Open implements mangokeel.Disk.
func (d *Fake) Open(name string) (mangokeel.File, error) {
	if err := d.before(OpOpen, name); err != nil {
		return nil, err
	}
	d.mu.Lock()
	if d.files == nil {
		d.files = map[string]*fakeContent{}
	}
	if d.files[name] == nil {
		d.files[name] = &fakeContent{}
	}
	f := &fakeFile{d: d, name: name, c: d.files[name]}
	d.mu.Unlock()
	return f, d.after(OpOpen, name)
}

// Read implements mangokeel.Disk.
func (d *Fake) Read(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f := d.files[name]; f != nil {
		return slices.Clone(f.data), nil
	}
	return nil, errors.Wrapf(fs.ErrNotExist, "read %q", name)
}

// Replace implements mangokeel.Disk.
func (d *Fake) Replace(name string, b []byte) error {
	err := d.before(OpReplace, name)
	if err != nil && d.randomUpTo(1) == 0 {
		return err
	}
	d.mu.Lock()
	if d.available(len(b)) < len(b) {
		d.mu.Unlock()
		return syscall.ENOSPC
	}
	if d.files == nil {
		d.files = map[string]*fakeContent{}
	}
	d.files[name] = &fakeContent{data: slices.Clone(b), synced: len(b)}
	d.mu.Unlock()
	if err != nil {
		return err
	}
	return d.after(OpReplace, name)
}

// Truncate implements mangokeel.Disk.
func (d *Fake) Truncate(name string, size int64) error {
	if err := d.before(OpTruncate, name); err != nil {
		return err
	}
	d.mu.Lock()
	f := d.files[name]
	if f == nil || size > int64(len(f.data)) {
		d.mu.Unlock()
		return errors.Wrapf(fs.ErrInvalid, "truncate %q", name)
	}
	f.data = f.data[:size:size]
	f.synced = len(f.data)
	f.failedSyncs = slices.DeleteFunc(f.failedSyncs, func(h byteRange) bool { return h.end > f.synced })
	d.mu.Unlock()
	return d.after(OpTruncate, name)
}

// Remove implements mangokeel.Disk.
func (d *Fake) Remove(name string) error {
	if err := d.before(OpRemove, name); err != nil {
		return err
	}
	d.mu.Lock()
	_, ok := d.files[name]
	delete(d.files, name)
	d.mu.Unlock()
	if !ok {
		return errors.Wrapf(fs.ErrNotExist, "remove %q", name)
	}
	return d.after(OpRemove, name)
}

// List implements mangokeel.Disk.
func (d *Fake) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sortedNames(), nil
}

type fakeFile struct {
	d    *Fake
	name string
	c    *fakeContent
}

func (f *fakeFile) Append(b []byte) error {
	if err := f.d.before(OpAppend, f.name); err != nil {
		return err
	}
	f.d.mu.Lock()
	n := f.d.available(len(b))
	f.c.data = append(f.c.data, b[:n]...)
	f.d.mu.Unlock()
	if n < len(b) {
		return syscall.ENOSPC
	}
	return f.d.after(OpAppend, f.name)
}

func (f *fakeFile) Sync() error {
	err := f.d.before(OpSync, f.name)
	f.d.mu.Lock()
	if err != nil {
		f.c.failedSyncs = append(f.c.failedSyncs, byteRange{f.c.synced, len(f.c.data)})
	}
	f.c.synced = len(f.c.data)
	f.d.mu.Unlock()
	if err != nil {
		return err
	}
	return f.d.after(OpSync, f.name)
}

func (f *fakeFile) Close() error { return nil }
