package target_test

import (
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/quic-go/quic-go/http3"

	"mangokeel/internal/target"
	"mangokeel/standin"
)

// serveHTTP3 serves h over HTTP/3 and returns a client and the URL.
func serveHTTP3(c *qt.C, h http.Handler) (*http.Client, string) {
	dir := c.TempDir()
	c.Assert(standin.WriteCert(dir), qt.IsNil)
	cert, err := tls.LoadX509KeyPair(filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"))
	c.Assert(err, qt.IsNil)
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	srv := &http3.Server{Handler: h, TLSConfig: http3.ConfigureTLSConfig(&tls.Config{Certificates: []tls.Certificate{cert}})}
	go func() { _ = srv.Serve(conn) }()
	// The stand-in certificate is for 127.0.0.1 and signs itself.
	t := &http3.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}
	c.Cleanup(func() {
		t.Close()
		srv.Close()
		conn.Close()
	})
	return &http.Client{Transport: t, Timeout: 10 * time.Second}, "https://" + conn.LocalAddr().String()
}

// Guards against a truncated answer, or one whose caller reads slowly, that ends
// over HTTP/3 as if it were complete.
func TestHTTP3(t *testing.T) {
	c := qt.New(t)
	const size = 3 << 20
	_, s := serve(c, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/whole":
			_, _ = w.Write(make([]byte, size))
		case "/cut":
			_, _ = w.Write(make([]byte, size))
			panic(http.ErrAbortHandler)
		}
	})
	h, ok := s.Config.Handler.(*target.Handler)
	c.Assert(ok, qt.IsTrue)
	client, url := serveHTTP3(c, h)
	for path, want := range map[string]string{"/whole": "<nil>", "/cut": ".+"} {
		resp, err := client.Get(url + path)
		c.Assert(err, qt.IsNil)
		n := 0
		for b := make([]byte, 64<<10); err == nil; {
			var m int
			m, err = resp.Body.Read(b)
			n += m
			time.Sleep(time.Millisecond)
		}
		resp.Body.Close()
		if err == io.EOF {
			err = nil
		}
		c.Check(fmt.Sprint(err), qt.Matches, want, qt.Commentf("%s: %d bytes", path, n))
		c.Check(path != "/whole" || n == size, qt.IsTrue)
	}
}
