// Package standin has small stand-ins for the systems around mangokeel: a fabric
// that hands each packet to a random balancer, targets of the users' kind, and
// callers that check what they get. They serve demonstrations and tests on
// loopback and are no part of the product.
package standin

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// TargetConfig sets how a target behaves.
type TargetConfig struct {
	// Host is the name in the target's answers.
	Host string
	// Slots is the number of requests that run at once.
	Slots int
	// Service is the time one request takes on a warm target.
	Service time.Duration
	// ColdRequests is the number of requests after which a cold target is warm.
	ColdRequests int
	// ColdFactor multiplies the service time of a cold target.
	ColdFactor int
	// Bears is the number of requests, running and waiting, that a cold target
	// survives; above it the target falls over for Down.
	Bears int
	Down  time.Duration
}

// Target is a back end of the users' kind: it serves feeds, downloads, reads and
// bookings, starts cold, falls over under full load while cold, and keeps a
// ledger of the bookings it ran.
type Target struct {
	cfg   TargetConfig
	slots chan struct{}

	mu sync.Mutex
	// served counts requests since the target turned cold.
	served  int
	present int
	downTo  time.Time
	falls   int
	// runs counts the executions for each key and never shrinks.
	runs map[string]int
}

// NewTarget returns a cold target.
func NewTarget(cfg TargetConfig) *Target {
	return &Target{cfg: cfg, slots: make(chan struct{}, cfg.Slots), runs: map[string]int{}}
}

// Ledger is the answer of /ledger.
type Ledger struct {
	Host string `json:"host"`
	// Runs has the number of executions for each key.
	Runs  map[string]int `json:"runs"`
	Falls int            `json:"falls"`
}

// Receipt is the answer to a booking.
type Receipt struct {
	Key  string `json:"key"`
	Host string `json:"host"`
	Run  int    `json:"run"`
}

// Handler serves the target's requests and, for the test's own use, /ledger and
// /cold.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /feed", t.feed)
	mux.HandleFunc("GET /download", t.download)
	mux.HandleFunc("GET /stock", t.work(t.read))
	mux.HandleFunc("GET /checklist", t.work(t.read))
	mux.HandleFunc("POST /bookings", t.work(t.book))
	// The health endpoint always says that all is well, as the users' ones may.
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /ledger", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(t.Ledger()) })
	mux.HandleFunc("POST /cold", func(http.ResponseWriter, *http.Request) { t.SetCold() })
	return mux
}

// Ledger returns a copy of the ledger.
func (t *Target) Ledger() Ledger {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := Ledger{Host: t.cfg.Host, Runs: map[string]int{}, Falls: t.falls}
	for k, n := range t.runs {
		l.Runs[k] = n
	}
	return l
}

// SetCold turns the target cold.
func (t *Target) SetCold() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.served = 0
}

// work runs a handler in a slot for the service time.
func (t *Target) work(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		d, up := t.enter()
		defer t.leave()
		if !up {
			panic(http.ErrAbortHandler)
		}
		select {
		case t.slots <- struct{}{}:
			defer func() { <-t.slots }()
		case <-r.Context().Done():
			return
		}
		select {
		case <-time.After(d):
			h(w, r)
		case <-r.Context().Done():
		}
	}
}

// enter counts a request in and returns its service time. It is not up while the
// target has fallen over.
func (t *Target) enter() (d time.Duration, up bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.present++
	now := time.Now()
	cold := t.served < t.cfg.ColdRequests
	if cold && t.cfg.Bears > 0 && t.present > t.cfg.Bears {
		t.falls++
		t.served = 0
		t.downTo = now.Add(t.cfg.Down)
	}
	if now.Before(t.downTo) {
		return 0, false
	}
	if cold {
		return t.cfg.Service * time.Duration(t.cfg.ColdFactor), true
	}
	return t.cfg.Service, true
}

func (t *Target) leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.present--
	t.served++
}

func (t *Target) read(w http.ResponseWriter, r *http.Request) {
	fmt.Fprintf(w, "%s %s %s\n", t.cfg.Host, r.URL.Path, r.URL.Query().Get("id"))
}

func (t *Target) book(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	key := r.URL.Query().Get("id")
	t.mu.Lock()
	t.runs[key]++
	n := t.runs[key]
	t.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Receipt{Key: key, Host: t.cfg.Host, Run: n})
}

// feed sends one numbered line for each period until the caller leaves or the
// number of lines in the query was sent.
func (t *Target) feed(w http.ResponseWriter, r *http.Request) {
	period := 200 * time.Millisecond
	lines, err := strconv.Atoi(r.URL.Query().Get("lines"))
	if err != nil {
		http.Error(w, "lines: not a number", http.StatusBadRequest)
		return
	}
	tick := time.NewTicker(period)
	defer tick.Stop()
	for i := range lines {
		fmt.Fprintf(w, "%d %s\n", i, t.cfg.Host)
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		select {
		case <-tick.C:
		case <-r.Context().Done():
			return
		}
	}
}

// downloadChunk is the number of bytes that a download sends at once.
const downloadChunk = 16 << 10

// download sends the number of bytes in the query, spread over the seconds in the
// query, in a pattern that Pattern repeats for the caller.
func (t *Target) download(w http.ResponseWriter, r *http.Request) {
	size, err := strconv.Atoi(r.URL.Query().Get("bytes"))
	if err != nil || size < 0 || size > 1<<30 {
		http.Error(w, "bytes: not a number up to 1 GiB", http.StatusBadRequest)
		return
	}
	seconds, _ := strconv.Atoi(r.URL.Query().Get("seconds"))
	pause := time.Duration(seconds) * time.Second * downloadChunk / time.Duration(max(size, downloadChunk))
	w.Header().Set("Content-Length", strconv.Itoa(size))
	w.Header().Set("Target-Host", t.cfg.Host)
	b := Pattern(downloadChunk)
	for sent := 0; sent < size; sent += downloadChunk {
		if _, err := w.Write(b[:min(downloadChunk, size-sent)]); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		// The response is complete for the agent, which may send the next request on
		// this connection; it would wait until the handler returns.
		if sent+downloadChunk >= size {
			return
		}
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			return
		}
	}
}

// Pattern returns n bytes that are the same on every call.
func Pattern(n int) []byte {
	b := make([]byte, 0, n+sha256.Size)
	sum := sha256.Sum256([]byte("pattern"))
	for len(b) < n {
		b = append(b, sum[:]...)
		sum = sha256.Sum256(sum[:])
	}
	return b[:n]
}
