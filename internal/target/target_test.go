package target_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"mangokeel/internal/target"
)

func addrOf(s *httptest.Server) netip.AddrPort {
	return s.Listener.Addr().(*net.TCPAddr).AddrPort()
}

// serve starts a target and a handler in front of it.
func serve(c *qt.C, fn http.HandlerFunc, opts ...target.Option) (*target.Handler, *httptest.Server) {
	t := httptest.NewServer(fn)
	c.Cleanup(t.Close)
	h, err := target.New(addrOf(t), opts...)
	c.Assert(err, qt.IsNil)
	c.Cleanup(h.Close)
	s := httptest.NewServer(h)
	c.Cleanup(s.Close)
	return h, s
}

func TestRelay(t *testing.T) {
	c := qt.New(t)
	_, s := serve(c, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Pod", "7")
		w.WriteHeader(http.StatusCreated)
		b, _ := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.RequestURI(), b)
	})
	resp, err := http.Post(s.URL+"/book?pod=7", "text/plain", http.NoBody)
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(string(b), qt.Equals, "POST /book?pod=7 ")
	c.Assert(resp.StatusCode, qt.Equals, http.StatusCreated)
	c.Assert(resp.Header.Get("Pod"), qt.Equals, "7")
}

// Guards against a truncated answer that ends at the caller as if complete: by
// length, within chunks, and with neither.
func TestTruncatedAnswerAborts(t *testing.T) {
	for _, head := range []string{
		"Content-Length: 100\r\n\r\nhalf",
		"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"\r\nhalf",
	} {
		c := qt.New(t)
		_, s := serve(c, func(w http.ResponseWriter, _ *http.Request) {
			conn, buf, err := http.NewResponseController(w).Hijack()
			c.Check(err, qt.IsNil)
			fmt.Fprint(buf, "HTTP/1.1 200 OK\r\n"+head)
			buf.Flush()
			conn.Close()
		})
		resp, err := http.Get(s.URL)
		if err != nil {
			continue
		}
		_, err = io.ReadAll(resp.Body)
		c.Check(err != nil || resp.StatusCode == http.StatusGatewayTimeout, qt.IsTrue, qt.Commentf("%q", head))
		resp.Body.Close()
	}
}
