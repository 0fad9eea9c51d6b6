// Package disk stores files in a single data folder.
//
//	d, err := disk.Open("data")
//	f, err := d.Open("log")
//	err = f.Append(record)
//	err = f.Sync()
//
// Fake is an in-memory implementation for tests. It can simulate a crash, which
// discards unsynced data, and inject errors into operations.
package disk

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"

	"mangokeel"
)

// temporarySuffix is the suffix of the file that Replace writes before renaming it.
const temporarySuffix = ".tmp"

const (
	folderMode = 0o700
	fileMode   = 0o600
)

// ErrInUse is returned by Open if the data folder is already locked.
var ErrInUse = errors.New("data folder is in use")

// Folder is a data folder in the local file system.
type Folder struct {
	path string
	// lock is a descriptor of the folder that holds an exclusive flock, which
	// keeps a second process from writing to it.
	lock *os.File
}

var _ mangokeel.Disk = (*Folder)(nil)

// Open opens the folder at path, creating it if it does not exist, and locks it
// until Close. It removes temporary files left by an interrupted Replace.
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
	if err := d.lockAndClean(); err != nil {
		f.Close()
		return nil, err
	}
	return d, nil
}

// lockAndClean locks the folder and removes temporary files.
func (d *Folder) lockAndClean() error {
	if err := syscall.Flock(int(d.lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return errors.Wrapf(ErrInUse, "lock %q: %v", d.path, err)
	}
	list, err := os.ReadDir(d.path)
	if err != nil {
		return errors.Wrap(err, "read data folder")
	}
	for _, e := range list {
		if !strings.HasSuffix(e.Name(), temporarySuffix) {
			continue
		}
		if err := os.Remove(d.join(e.Name())); err != nil {
			return errors.Wrap(err, "remove temporary file of an interrupted replace")
		}
	}
	return nil
}

// Close closes the folder and releases its lock.
func (d *Folder) Close() error { return errors.Wrap(d.lock.Close(), "close data folder") }

func (d *Folder) join(name string) string { return filepath.Join(d.path, name) }

// Open implements mangokeel.Disk. The name of a new file is durable when
// Open returns.
func (d *Folder) Open(name string) (mangokeel.File, error) {
	_, err := os.Stat(d.join(name))
	created := errors.Is(err, os.ErrNotExist)
	f, err := os.OpenFile(d.join(name), os.O_WRONLY|os.O_CREATE|os.O_APPEND, fileMode)
	if err != nil {
		return nil, errors.Wrap(err, "open data file")
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
	return b, errors.Wrap(err, "read data file")
}

// Replace implements mangokeel.Disk.
func (d *Folder) Replace(name string, content []byte) error {
	tmp := d.join(name + temporarySuffix)
	if err := writeSynced(tmp, content); err != nil {
		return err
	}
	if err := os.Rename(tmp, d.join(name)); err != nil {
		return errors.Wrap(err, "rename temporary file")
	}
	return syncFolder(d.path)
}

// writeSynced creates or overwrites a file and syncs its content.
func writeSynced(path string, content []byte) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return errors.Wrap(err, "create temporary file")
	}
	defer f.Close()
	if _, err := f.Write(content); err != nil {
		return errors.Wrap(err, "write temporary file")
	}
	return errors.Wrap(f.Sync(), "sync temporary file")
}

// Truncate implements mangokeel.Disk.
func (d *Folder) Truncate(name string, size int64) error {
	f, err := os.OpenFile(d.join(name), os.O_WRONLY, fileMode)
	if err != nil {
		return errors.Wrap(err, "open data file")
	}
	defer f.Close()
	if err := f.Truncate(size); err != nil {
		return errors.Wrap(err, "truncate data file")
	}
	return errors.Wrap(f.Sync(), "sync truncated data file")
}

// Remove implements mangokeel.Disk.
func (d *Folder) Remove(name string) error {
	if err := os.Remove(d.join(name)); err != nil {
		return errors.Wrap(err, "remove data file")
	}
	return syncFolder(d.path)
}

// List implements mangokeel.Disk. It returns regular files only and skips temporary
// files of Replace.
func (d *Folder) List() ([]string, error) {
	list, err := os.ReadDir(d.path)
	if err != nil {
		return nil, errors.Wrap(err, "read data folder")
	}
	var names []string
	for _, e := range list {
		if e.Type().IsRegular() && !strings.HasSuffix(e.Name(), temporarySuffix) {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

// syncFolder syncs a folder, so that files created, renamed or removed in it stay
// so after a crash.
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
	return errors.Wrap(err, "append to data file")
}

func (f file) Sync() error { return errors.Wrap(f.f.Sync(), "sync data file") }

func (f file) Close() error { return errors.Wrap(f.f.Close(), "close data file") }
