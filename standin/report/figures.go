package report

import (
	"strings"
	"time"

	"mangokeel/standin"
)

// settle is how long after its return an availability zone still counts as moving:
// its agents join, and its targets start cold.
const settle = 5 * time.Second

// Move is one availability zone's way out of service and back.
type Move struct {
	Zone string
	// From is when the zone was taken out, To is settle after it was brought back or
	// the end of the run.
	From, To time.Duration
}

// Moves returns the moves of availability zones in the order in which they began.
// They are found by the events "zone NAME out" and "zone NAME back".
func (r *Run) Moves() []Move {
	var moves []Move
	for i, e := range r.Events {
		zone, ok := zoneEvent(e.Text, "out")
		if !ok {
			continue
		}
		m := Move{Zone: zone, From: e.At, To: r.length()}
		for _, b := range r.Events[i+1:] {
			if z, ok := zoneEvent(b.Text, "back"); ok && z == zone {
				m.To = b.At + settle
				break
			}
		}
		moves = append(moves, m)
	}
	return moves
}

func zoneEvent(text, what string) (zone string, ok bool) {
	f := strings.Fields(text)
	if len(f) != 3 || f[0] != "zone" || f[2] != what {
		return "", false
	}
	return f[1], true
}

// length is the length of the longest timeline.
func (r *Run) length() time.Duration {
	n := 0
	for _, s := range r.Services {
		n = max(n, len(s.Timeline))
	}
	return time.Duration(n) * time.Second
}

// Imbalance returns the maximum over the mean of counts by host. The mean is over
// hosts, the number of hosts of the service. It is 0 without data.
func Imbalance(counts map[string]int, hosts int) float64 {
	sum, most := 0, 0
	for _, n := range counts {
		sum += n
		most = max(most, n)
	}
	if sum == 0 {
		return 0
	}
	return float64(most) * float64(hosts) / float64(sum)
}

// seen returns the number of hosts that served any flow or request.
func (s *Service) seen() int {
	seen := map[string]bool{}
	for h := range s.FlowsAt {
		seen[h] = true
	}
	for h := range s.AnswersAt {
		seen[h] = true
	}
	return len(seen)
}

// Share is the share of the requests that were answered in the end.
type Share struct {
	// Started counts the requests that began in the time of the share; the others
	// have no meaning when it is 0.
	Started int64
	// Lowest is the share of the requests of the worst second, LowestAt the start of
	// that second; Mean is the share of all of them.
	Lowest, Mean float64
	LowestAt     time.Duration
	// Answered is the lowest number of answers in one second.
	Answered int64
}

// Rejected returns the number of tries that were refused as not run.
func (s *Service) Rejected() int64 {
	var n int64
	for _, sec := range s.Timeline {
		n += sec.Rejected
	}
	return n
}

// During returns the share of answered requests during m. Seconds in which the move
// began or ended count whole; those without requests have no share.
func (s *Service) During(m Move) Share {
	// A lowest share above 1 lets the first second with requests set it.
	share := Share{Lowest: 2}
	first, seconds := window(s.Timeline, m)
	var served int64
	for i, sec := range seconds {
		share.Started += sec.Started
		served += sec.Served
		if i == 0 || sec.Answered < share.Answered {
			share.Answered = sec.Answered
		}
		if sec.Started == 0 {
			continue
		}
		if v := float64(sec.Served) / float64(sec.Started); v < share.Lowest {
			share.Lowest, share.LowestAt = v, time.Duration(first+i)*time.Second
		}
	}
	if share.Started > 0 {
		share.Mean = float64(served) / float64(share.Started)
	}
	return share
}

// window returns the seconds that m touches and the number of the first. Seconds
// after the last start of a request are left out: callers only wait for answers then.
func window(timeline []standin.Second, m Move) (first int, seconds []standin.Second) {
	end := len(timeline)
	for end > 0 && timeline[end-1].Started == 0 {
		end--
	}
	first = min(int(m.From/time.Second), end)
	end = min(int((m.To+time.Second-1)/time.Second), end)
	return first, timeline[first:max(first, end)]
}
