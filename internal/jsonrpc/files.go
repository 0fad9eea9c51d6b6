package jsonrpc

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Files are the certificate, key and certificate authority of a process in PEM
// form. The files are read again at the next handshake after they changed, so
// that a certificate is renewed without a restart.
//
// Both sides of a connection present a certificate and accept any that the
// authority signed: processes are called by IP address, and what a caller may do
// is decided by its key and not by its certificate.
type Files struct {
	cert, key, ca string

	mu     sync.Mutex
	loaded time.Time
	pair   *tls.Certificate
	pool   *x509.CertPool
}

// NewFiles reads the files for the first time.
func NewFiles(cert, key, ca string) (*Files, error) {
	f := &Files{cert: cert, key: key, ca: ca}
	_, _, err := f.load()
	return f, err
}

// load returns what the files hold. While they cannot be read or do not fit
// together, as in the middle of a renewal, it returns what they held before.
func (f *Files) load() (*tls.Certificate, *x509.CertPool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := f.changed()
	if f.pair != nil && !changed.After(f.loaded) {
		return f.pair, f.pool, nil
	}
	pair, pool, err := read(f.cert, f.key, f.ca)
	if err == nil {
		f.pair, f.pool, f.loaded = pair, pool, changed
	}
	if f.pair == nil {
		return nil, nil, err
	}
	return f.pair, f.pool, nil
}

// changed returns the latest modification time of the files.
func (f *Files) changed() (latest time.Time) {
	for _, name := range []string{f.cert, f.key, f.ca} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}

func read(cert, key, ca string) (*tls.Certificate, *x509.CertPool, error) {
	pair, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		return nil, nil, errors.Wrap(err, "load certificate")
	}
	b, err := os.ReadFile(ca)
	if err != nil {
		return nil, nil, errors.Wrap(err, "load certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(b) {
		return nil, nil, errors.Newf("%s has no certificate", ca)
	}
	return &pair, pool, nil
}

// Config returns the TLS configuration for servers and clients.
func (f *Files) Config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			pair, _, err := f.load()
			return pair, err
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			pair, _, err := f.load()
			return pair, err
		},
		// VerifyConnection checks the chain on both sides, against the present
		// authority and without host names.
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true,
		VerifyConnection:   f.verify,
	}
}

func (f *Files) verify(s tls.ConnectionState) error {
	_, pool, err := f.load()
	if err != nil {
		return err
	}
	if len(s.PeerCertificates) == 0 {
		return errors.New("the other side has no certificate")
	}
	others := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		others.AddCert(c)
	}
	_, err = s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: pool, Intermediates: others, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}
