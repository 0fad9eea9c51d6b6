package disk_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"mangokeel"
	"mangokeel/internal/disk"
)

// Guards against a Fake whose results differ from those of a Folder.
func TestDisks(t *testing.T) {
	folder, err := disk.Open(filepath.Join(t.TempDir(), "data"))
	qt.Assert(t, err, qt.IsNil)
	defer folder.Close()
	for name, d := range map[string]mangokeel.Disk{"folder": folder, "fake": &disk.Fake{}} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			_, err := d.Read("log")
			c.Assert(errors.Is(err, fs.ErrNotExist), qt.IsTrue)
			c.Assert(errors.Is(d.Remove("log"), fs.ErrNotExist), qt.IsTrue)
			f, err := d.Open("log")
			c.Assert(err, qt.IsNil)
			c.Assert(f.Append([]byte("abc")), qt.IsNil)
			c.Assert(f.Append([]byte("def")), qt.IsNil)
			c.Assert(f.Sync(), qt.IsNil)
			c.Assert(d.Truncate("log", 4), qt.IsNil)
			c.Assert(f.Append([]byte("x")), qt.IsNil)
			c.Assert(f.Close(), qt.IsNil)
			c.Assert(d.Replace("a", []byte("1")), qt.IsNil)
			c.Assert(d.Replace("a", []byte("2")), qt.IsNil)
			names, err := d.List()
			c.Assert(err, qt.IsNil)
			c.Assert(names, qt.DeepEquals, []string{"a", "log"})
			b, err := d.Read("log")
			c.Assert(err, qt.IsNil)
			c.Assert(string(b), qt.Equals, "abcdx")
			b, err = d.Read("a")
			c.Assert(err, qt.IsNil)
			c.Assert(string(b), qt.Equals, "2")
		})
	}
}

// Guards against two processes opening the same folder, and against listing the
// temporary file of an interrupted Replace as data.
func TestOpen(t *testing.T) {
	c := qt.New(t)
	path := t.TempDir()
	c.Assert(os.WriteFile(filepath.Join(path, "meta.tmp"), []byte("half"), 0o600), qt.IsNil)
	d, err := disk.Open(path)
	c.Assert(err, qt.IsNil)
	names, err := d.List()
	c.Assert(err, qt.IsNil)
	c.Assert(names, qt.HasLen, 0)
	_, err = disk.Open(path)
	c.Assert(errors.Is(err, disk.ErrInUse), qt.IsTrue)
	c.Assert(d.Close(), qt.IsNil)
	d, err = disk.Open(path)
	c.Assert(err, qt.IsNil)
	c.Assert(d.Close(), qt.IsNil)
}

// Guards against a Fake that keeps bytes after a crash although their sync failed or
// was never called.
func TestFakeCrash(t *testing.T) {
	c := qt.New(t)
	fail := false
	d := &disk.Fake{Hook: func(op disk.Op, _ string, after bool) error {
		if fail && op == disk.OpSync && !after {
			return errors.New("sync")
		}
		return nil
	}}
	f, err := d.Open("log")
	c.Assert(err, qt.IsNil)
	c.Assert(f.Append([]byte("a")), qt.IsNil)
	c.Assert(f.Sync(), qt.IsNil)
	c.Assert(f.Append([]byte("b")), qt.IsNil)
	fail = true
	c.Assert(f.Sync(), qt.Not(qt.IsNil))
	fail = false
	c.Assert(f.Append([]byte("c")), qt.IsNil)
	c.Assert(f.Sync(), qt.IsNil)
	c.Assert(f.Append([]byte("d")), qt.IsNil)
	b, _ := d.Read("log")
	c.Assert(string(b), qt.Equals, "abcd")
	d.Crash()
	b, _ = d.Read("log")
	c.Assert(string(b), qt.Equals, "a\x00c")
	d.Limit = 4
	c.Assert(f.Append([]byte("ef")), qt.Not(qt.IsNil))
	d.Lose()
	names, _ := d.List()
	c.Assert(names, qt.HasLen, 0)
}
