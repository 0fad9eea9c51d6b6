package caller

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// certPeriod is the time between two looks whether the certificate was renewed.
const certPeriod = 30 * time.Second

// Certificate is the service's TLS certificate. It is read again after its file
// has changed, because an agent outlives certificates.
type Certificate struct {
	certFile, keyFile string

	mu     sync.Mutex
	loaded *tls.Certificate
	// changed is the file's time when it was loaded.
	changed time.Time
	looked  time.Time
}

// LoadCertificate returns the certificate in two PEM files.
func LoadCertificate(certFile, keyFile string) (*Certificate, error) {
	c := &Certificate{certFile: certFile, keyFile: keyFile}
	return c, c.load()
}

// load reads the files. On an error the earlier certificate stays in use.
func (c *Certificate) load() error {
	info, err := os.Stat(c.certFile)
	if err != nil {
		return errors.Wrap(err, "load certificate")
	}
	if c.loaded != nil && info.ModTime().Equal(c.changed) {
		return nil
	}
	pair, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return errors.Wrap(err, "load certificate")
	}
	c.loaded, c.changed = &pair, info.ModTime()
	return nil
}

// get returns the certificate for a handshake.
func (c *Certificate) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.looked) > certPeriod {
		c.looked = now
		// A certificate and a key of different renewals do not fit; the next look
		// finds both.
		_ = c.load()
	}
	return c.loaded, nil
}
