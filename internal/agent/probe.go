package agent

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// probePeriod is the time between two tries to connect to the target.
	probePeriod = time.Second
	// probeTimeout bounds one try.
	probeTimeout = 900 * time.Millisecond
	// probeMisses is the number of tries in a row that time out before the target
	// counts as down. A refused connection counts at once.
	probeMisses = 2
)

// probe finds out whether the target accepts connections.
type probe struct {
	target netip.AddrPort
	misses atomic.Int32
	down   atomic.Bool
}

func (p *probe) up() bool { return !p.down.Load() }

// check tries once to connect.
func (p *probe) check() {
	c, err := net.DialTimeout("tcp", p.target.String(), probeTimeout)
	switch {
	case err == nil:
		c.Close()
		p.misses.Store(0)
		p.down.Store(false)
	case errors.Is(err, syscall.ECONNREFUSED) || p.misses.Add(1) >= probeMisses:
		p.down.Store(true)
	}
}

// relayTo returns a handler that passes requests on to the target without
// admission.
func relayTo(target netip.AddrPort) http.Handler {
	client := &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out := r.Clone(r.Context())
		out.URL.Scheme, out.URL.Host = "http", target.String()
		out.RequestURI = ""
		resp, err := client.RoundTrip(out)
		if err != nil {
			http.Error(w, "target failed", http.StatusBadGateway)
			return
		}
		defer resp.Body.Close()
		for k, v := range resp.Header {
			w.Header()[k] = v
		}
		w.WriteHeader(resp.StatusCode)
		copyFlushing(w, resp)
	})
}

// copyFlushing passes on each part of a body as it arrives. A body that ends
// early aborts the response, so that the caller does not take it for a whole one.
func copyFlushing(w http.ResponseWriter, resp *http.Response) {
	b := make([]byte, 32<<10)
	rc := http.NewResponseController(w)
	for {
		n, err := resp.Body.Read(b)
		if n > 0 {
			if _, werr := w.Write(b[:n]); werr != nil {
				return
			}
			_ = rc.Flush()
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				panic(http.ErrAbortHandler)
			}
			return
		}
	}
}
