package standin

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the response times in a timeline.
const (
	minResponse    = time.Millisecond
	maxResponse    = time.Minute
	responseDigits = 2
)

// Second is what callers saw in one second of the load. Requests count in the
// second in which they ended, but for Started and Served.
type Second struct {
	// Started counts the requests that began in this second, Served those of them
	// that were answered in the end.
	Started int64 `json:"started"`
	Served  int64 `json:"served"`

	Answered   int64 `json:"answered"`
	Refused    int64 `json:"refused"`
	Unknown    int64 `json:"unknown"`
	Unanswered int64 `json:"unanswered"`
	// Rejected counts the tries that were refused as not run. Callers send such a
	// request again, so that most of them are answered in the end.
	Rejected int64 `json:"rejected"`
	// Broken counts the flows that broke, Open those open at the end of the second.
	Broken int64 `json:"broken"`
	Open   int64 `json:"open"`
	// P99 is the 99th percentile of the time from the first sending of a request to
	// its answer, in nanoseconds; 0 when nothing was answered.
	P99 time.Duration `json:"p99"`
}

// timeline records seconds since the start of a load. It is not safe for
// concurrent use, and the time of an event is not before that of the previous one.
type timeline struct {
	start   time.Time
	seconds []Second
	// times has as many elements as seconds, nil where nothing was answered.
	times []*hdrhistogram.Histogram
	open  int64
}

// at returns the second of t, and fills the seconds before it that saw nothing.
func (l *timeline) at(t time.Time) *Second {
	i := l.index(t)
	for len(l.seconds) <= i {
		l.seconds = append(l.seconds, Second{Open: l.open})
		l.times = append(l.times, nil)
	}
	return &l.seconds[i]
}

func (l *timeline) index(t time.Time) int {
	return int(max(0, t.Sub(l.start)) / time.Second)
}

// begin records the start of a request.
func (l *timeline) begin(t time.Time) { l.at(t).Started++ }

// finish records the end at now of a request that began at began.
func (l *timeline) finish(v verdict, began, now time.Time) {
	s := l.at(now)
	switch v {
	case answered:
		s.Answered++
		l.at(began).Served++
		l.respond(l.index(now), now.Sub(began))
	case refused:
		s.Refused++
	case unknown:
		s.Unknown++
	case unanswered:
		s.Unanswered++
	}
}

// respond records a response time in second i.
func (l *timeline) respond(i int, d time.Duration) {
	if l.times[i] == nil {
		l.times[i] = hdrhistogram.New(int64(minResponse), int64(maxResponse), responseDigits)
	}
	// The value is within the histogram's range, so that recording cannot fail.
	_ = l.times[i].RecordValue(int64(min(d, maxResponse)))
}

// flow records at t that n flows opened, or ended when n is negative.
func (l *timeline) flow(n int64, t time.Time) {
	s := l.at(t)
	l.open += n
	s.Open = l.open
}

// list returns a copy of the seconds so far.
func (l *timeline) list() []Second {
	list := make([]Second, len(l.seconds))
	for i, s := range l.seconds {
		if h := l.times[i]; h != nil {
			s.P99 = time.Duration(h.ValueAtQuantile(99))
		}
		list[i] = s
	}
	return list
}
