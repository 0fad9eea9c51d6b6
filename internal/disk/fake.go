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

// Op is an operation of a Fake.
type Op string

// Operations that a Hook sees.
const (
	OpOpen     Op = "open"
	OpAppend   Op = "append"
	OpSync     Op = "sync"
	OpReplace  Op = "replace"
	OpTruncate Op = "truncate"
	OpRemove   Op = "remove"
)

// Hook is called before and after each operation that changes the disk. An error
// returned before the operation becomes its result: a failed sync leaves bytes
// that can be read until the next crash and never become durable, a failed replace
// may have taken place or not. A hook may panic to stop the caller at this point.
type Hook func(op Op, name string, after bool) error

// Fake is a disk in memory that misbehaves as real ones do. The zero value is
// empty and has no faults.
type Fake struct {
	// Hook is called with the disk unlocked. It may be nil.
	Hook Hook
	// Rand decides what survives a crash. Nil means that nothing unsynced does.
	Rand *rand.Rand
	// Limit is the number of bytes that fit. Zero means no limit.
	Limit int

	mu    sync.Mutex
	files map[string]*content
}

var _ mangokeel.Disk = (*Fake)(nil)

// content is one file.
type content struct {
	data []byte
	// synced is the length that Sync covered. It never exceeds len(data).
	synced int
	// holes are ranges below synced that a failed sync left behind.
	holes []span
}

type span struct{ from, to int }

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

// draw returns a number from 0 to n.
func (d *Fake) draw(n int) int {
	if d.Rand == nil {
		return 0
	}
	return d.Rand.IntN(n + 1)
}

// Crash stops the machine: bytes that were not synced are lost, but for a part at
// the front that may end anywhere and may be followed by zeros. Open files must
// not be used any more.
func (d *Fake) Crash() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range d.names() {
		f := d.files[name]
		for _, h := range f.holes {
			clear(f.data[h.from+d.draw(h.to-h.from) : h.to])
		}
		size := f.synced + d.draw(len(f.data)-f.synced)
		clear(f.data[size-d.draw(size-f.synced)/2 : size])
		f.data, f.synced, f.holes = f.data[:size:size], size, nil
	}
}

// Lose empties the disk.
func (d *Fake) Lose() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.files = nil
}

// Flip inverts one bit of a byte of a file. It returns false when there is no
// such byte.
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

func (d *Fake) names() []string {
	var names []string
	for name := range d.files {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// room returns how many of n more bytes fit.
func (d *Fake) room(n int) int {
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
		d.files = map[string]*content{}
	}
	if d.files[name] == nil {
		d.files[name] = &content{}
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
	return nil, errors.Wrap(fs.ErrNotExist, name)
}

// Replace implements mangokeel.Disk.
func (d *Fake) Replace(name string, b []byte) error {
	err := d.before(OpReplace, name)
	if err != nil && d.draw(1) == 0 {
		return err
	}
	d.mu.Lock()
	if d.room(len(b)) < len(b) {
		d.mu.Unlock()
		return syscall.ENOSPC
	}
	if d.files == nil {
		d.files = map[string]*content{}
	}
	d.files[name] = &content{data: slices.Clone(b), synced: len(b)}
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
		return errors.Wrap(fs.ErrInvalid, name)
	}
	f.data = f.data[:size:size]
	f.synced = len(f.data)
	f.holes = slices.DeleteFunc(f.holes, func(h span) bool { return h.to > f.synced })
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
		return errors.Wrap(fs.ErrNotExist, name)
	}
	return d.after(OpRemove, name)
}

// List implements mangokeel.Disk.
func (d *Fake) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.names(), nil
}

type fakeFile struct {
	d    *Fake
	name string
	c    *content
}

func (f *fakeFile) Append(b []byte) error {
	if err := f.d.before(OpAppend, f.name); err != nil {
		return err
	}
	f.d.mu.Lock()
	n := f.d.room(len(b))
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
		f.c.holes = append(f.c.holes, span{f.c.synced, len(f.c.data)})
	}
	f.c.synced = len(f.c.data)
	f.d.mu.Unlock()
	if err != nil {
		return err
	}
	return f.d.after(OpSync, f.name)
}

func (f *fakeFile) Close() error { return nil }
