// Package disk stores files under one data folder.
//
//	d, err := disk.Open("data")
//	f, err := d.Open("log")
//	err = f.Append(record)
//	err = f.Sync()
//
// Fake is the same in memory for tests. It loses what was not synced when it
// crashes and fails on request.
package disk

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"

	"mangokeel"
)

// temporary is the suffix of files that Replace has not renamed yet.
const temporary = ".tmp"

const (
	folderMode = 0o700
	fileMode   = 0o600
)

// ErrInUse means that another process has the folder open.
var ErrInUse = errors.New("data folder is in use")

// Folder is a data folder on the machine's file system.
type Folder struct {
	path string
	// lock is the open folder with an exclusive lock, so that two processes cannot
	// write to it.
	lock *os.File
}

var _ mangokeel.Disk = (*Folder)(nil)

// Open returns the folder at path, which is created when it does not exist, and
// locks it until Close. Files that an interrupted Replace left behind are removed.
func Open(path string) (*Folder, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, errors.Wrap(err, "create data folder")
	}
	if err := syncFolder(filepath.Dir(filepath.Clean(path))); err != nil {
		return nil, err
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open data folder")
	}
	d := &Folder{path: path, lock: f}
	if err := d.prepare(); err != nil {
		f.Close()
		return nil, err
	}
	return d, nil
}

func (d *Folder) prepare() error {
	if err := syscall.Flock(int(d.lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return errors.Wrapf(ErrInUse, "%s: %v", d.path, err)
	}
	list, err := os.ReadDir(d.path)
	if err != nil {
		return errors.Wrap(err, "read data folder")
	}
	for _, e := range list {
		if !strings.HasSuffix(e.Name(), temporary) {
			continue
		}
		if err := os.Remove(d.join(e.Name())); err != nil {
			return errors.Wrap(err, "remove interrupted file")
		}
	}
	return nil
}

// Close releases the folder.
func (d *Folder) Close() error { return errors.Wrap(d.lock.Close(), "close data folder") }

func (d *Folder) join(name string) string { return filepath.Join(d.path, name) }

// Open implements mangokeel.Disk. A created file lasts once Open returned.
func (d *Folder) Open(name string) (mangokeel.File, error) {
	_, err := os.Stat(d.join(name))
	created := errors.Is(err, os.ErrNotExist)
	f, err := os.OpenFile(d.join(name), os.O_WRONLY|os.O_CREATE|os.O_APPEND, fileMode)
	if err != nil {
		return nil, errors.Wrap(err, "open")
	}
	if !created {
		return file{f}, nil
	}
	if err := syncFolder(d.path); err != nil {
		f.Close()
		return nil, err
	}
	return file{f}, nil
}

// Read implements mangokeel.Disk.
func (d *Folder) Read(name string) ([]byte, error) {
	b, err := os.ReadFile(d.join(name))
	return b, errors.Wrap(err, "read")
}

// Replace implements mangokeel.Disk.
func (d *Folder) Replace(name string, content []byte) error {
	tmp := d.join(name + temporary)
	if err := writeSynced(tmp, content); err != nil {
		return err
	}
	if err := os.Rename(tmp, d.join(name)); err != nil {
		return errors.Wrap(err, "rename")
	}
	return syncFolder(d.path)
}

func writeSynced(path string, content []byte) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return errors.Wrap(err, "create")
	}
	defer f.Close()
	if _, err := f.Write(content); err != nil {
		return errors.Wrap(err, "write")
	}
	return errors.Wrap(f.Sync(), "sync")
}

// Truncate implements mangokeel.Disk.
func (d *Folder) Truncate(name string, size int64) error {
	f, err := os.OpenFile(d.join(name), os.O_WRONLY, fileMode)
	if err != nil {
		return errors.Wrap(err, "open")
	}
	defer f.Close()
	if err := f.Truncate(size); err != nil {
		return errors.Wrap(err, "truncate")
	}
	return errors.Wrap(f.Sync(), "sync")
}

// Remove implements mangokeel.Disk.
func (d *Folder) Remove(name string) error {
	if err := os.Remove(d.join(name)); err != nil {
		return errors.Wrap(err, "remove")
	}
	return syncFolder(d.path)
}

// List implements mangokeel.Disk. Folders and unfinished files are left out.
func (d *Folder) List() ([]string, error) {
	list, err := os.ReadDir(d.path)
	if err != nil {
		return nil, errors.Wrap(err, "read data folder")
	}
	var names []string
	for _, e := range list {
		if e.Type().IsRegular() && !strings.HasSuffix(e.Name(), temporary) {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

// syncFolder makes created, renamed and removed names durable.
func syncFolder(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "open folder")
	}
	defer f.Close()
	return errors.Wrap(f.Sync(), "sync folder")
}

type file struct{ f *os.File }

func (f file) Append(b []byte) error {
	_, err := f.f.Write(b)
	return errors.Wrap(err, "append")
}

func (f file) Sync() error { return errors.Wrap(f.f.Sync(), "sync") }

func (f file) Close() error { return errors.Wrap(f.f.Close(), "close") }
