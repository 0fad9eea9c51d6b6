package caller

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"mangokeel/standin"
)

// Guards against an agent that serves an expired certificate until it restarts, or
// none while files of two renewals do not fit.
func TestCertificateIsRenewed(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	file, key := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	c.Assert(standin.WriteCert(dir), qt.IsNil)
	x, err := LoadCertificate(file, key)
	c.Assert(err, qt.IsNil)
	first, _ := x.get(nil)
	renew := func(age time.Duration) {
		c.Assert(standin.WriteCert(dir), qt.IsNil)
		c.Assert(os.Chtimes(file, time.Time{}, time.Now().Add(age)), qt.IsNil)
		x.looked = time.Time{}
	}
	renew(time.Minute)
	c.Assert(os.WriteFile(key, []byte("not a key"), 0o600), qt.IsNil)
	got, _ := x.get(nil)
	c.Assert(got, qt.Equals, first)
	renew(2 * time.Minute)
	got, _ = x.get(nil)
	c.Assert(bytes.Equal(got.Certificate[0], first.Certificate[0]), qt.IsFalse)
}
