package jsonrpc_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"mangokeel/internal/jsonrpc"
	"mangokeel/internal/wire"
)

// authority signs certificates.
type authority struct {
	c    *qt.C
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(c *qt.C) *authority {
	a := &authority{c: c, dir: c.TempDir()}
	a.cert, a.key = a.sign("ca", nil, nil)
	return a
}

// sign writes NAME.pem and NAME.key. Without a parent the certificate signs itself.
func (a *authority) sign(name string, parent *x509.Certificate, by *ecdsa.PrivateKey) (*x509.Certificate, *ecdsa.PrivateKey) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	a.c.Assert(err, qt.IsNil)
	x := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: parent == nil, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	if parent == nil {
		parent, by = x, key
	}
	der, err := x509.CreateCertificate(rand.Reader, x, parent, &key.PublicKey, by)
	a.c.Assert(err, qt.IsNil)
	pkcs, err := x509.MarshalPKCS8PrivateKey(key)
	a.c.Assert(err, qt.IsNil)
	a.write(name+".pem", "CERTIFICATE", der)
	a.write(name+".key", "PRIVATE KEY", pkcs)
	cert, err := x509.ParseCertificate(der)
	a.c.Assert(err, qt.IsNil)
	return cert, key
}

func (a *authority) write(name, kind string, der []byte) {
	b := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	a.c.Assert(os.WriteFile(filepath.Join(a.dir, name), b, 0o600), qt.IsNil)
}

// files returns the files of a newly signed certificate.
func (a *authority) files(name string) *jsonrpc.Files {
	a.sign(name, a.cert, a.key)
	f, err := jsonrpc.NewFiles(filepath.Join(a.dir, name+".pem"), filepath.Join(a.dir, name+".key"), filepath.Join(a.dir, "ca.pem"))
	a.c.Assert(err, qt.IsNil)
	return f
}

// Guards against callers and servers without a certificate of the authority, and
// against a renewed authority that needs a restart.
func TestFiles(t *testing.T) {
	c := qt.New(t)
	ours, theirs := newAuthority(c), newAuthority(c)
	methods := jsonrpc.Methods{"status": {
		New:    func() proto.Message { return &wire.StatusRequest{} },
		Handle: func(context.Context, proto.Message) (proto.Message, error) { return &wire.StatusReply{Id: "a"}, nil },
	}}
	srv, err := jsonrpc.Listen(netip.MustParseAddrPort("127.0.0.1:0"), methods, jsonrpc.WithTLS(ours.files("server").Config()))
	c.Assert(err, qt.IsNil)
	defer srv.Close()
	call := func(opts ...jsonrpc.Option) error {
		client := jsonrpc.NewClient(opts...)
		defer client.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		return client.Call(ctx, srv.Addr(), "status", &wire.StatusRequest{}, &wire.StatusReply{})
	}
	client := ours.files("client")
	c.Assert(call(jsonrpc.WithTLS(client.Config())), qt.IsNil)
	c.Assert(call(jsonrpc.WithTLS(theirs.files("client").Config())), qt.IsNotNil)
	c.Assert(call(), qt.IsNotNil)

	// The authority is renewed: first at the client, which then refuses the server.
	ours.cert, ours.key = ours.sign("ca", nil, nil)
	later := time.Now().Add(time.Second)
	c.Assert(os.Chtimes(filepath.Join(ours.dir, "ca.pem"), later, later), qt.IsNil)
	c.Assert(call(jsonrpc.WithTLS(client.Config())), qt.IsNotNil)
	ours.sign("server", ours.cert, ours.key)
	ours.sign("client", ours.cert, ours.key)
	later = later.Add(time.Second)
	for _, name := range []string{"server.pem", "client.pem"} {
		c.Assert(os.Chtimes(filepath.Join(ours.dir, name), later, later), qt.IsNil)
	}
	c.Assert(call(jsonrpc.WithTLS(client.Config())), qt.IsNil)
}
