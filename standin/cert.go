package standin

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
)

// WriteCert writes a self-signed certificate for 127.0.0.1 and more, and its key, to
// cert.pem and key.pem in dir. Callers of the stand-in trust the certificate.
func WriteCert(dir string, more ...net.IP) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(err, "make key")
	}
	tmpl := &x509.Certificate{
		SerialNumber:          big.NewInt(time.Now().UnixNano()),
		Subject:               pkix.Name{CommonName: "mangokeel stand-in"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(7 * 24 * time.Hour),
		IPAddresses:           append(more, net.IPv4(127, 0, 0, 1)),
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		IsCA:                  true,
		BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		return errors.Wrap(err, "make certificate")
	}
	k, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return errors.Wrap(err, "encode key")
	}
	if err := writePEM(filepath.Join(dir, "cert.pem"), "CERTIFICATE", der); err != nil {
		return err
	}
	return writePEM(filepath.Join(dir, "key.pem"), "EC PRIVATE KEY", k)
}

func writePEM(path, kind string, der []byte) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)
}
