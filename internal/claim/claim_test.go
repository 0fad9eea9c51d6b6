package claim

import (
	"context"
	"fmt"
	"net/netip"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"mangokeel"
	"mangokeel/internal/jsonrpc"
	"mangokeel/internal/view"
	"mangokeel/internal/wire"
)

// Guards against claimers that choose different members for one key, and against members
// that share an availability zone while another zone has agents.
func TestMembers(t *testing.T) {
	c := qt.New(t)
	zones := map[mangokeel.Handle]mangokeel.AvailabilityZone{}
	for h := mangokeel.Handle(1); h <= 9; h++ {
		zones[h] = mangokeel.AvailabilityZone(fmt.Sprint(h % 3))
	}
	roster := Roster(zones)
	c.Check(roster, qt.DeepEquals, []uint32{3, 6, 9, 0, 1, 4, 7, 0, 2, 5, 8})
	load := map[mangokeel.Handle]int{}
	for i := range 3000 {
		ms := Members(roster, KeyOf(1, fmt.Sprint(i)))
		c.Assert(ms, qt.HasLen, 3)
		c.Assert(ms[0]%3 != ms[1]%3 && ms[1]%3 != ms[2]%3 && ms[0]%3 != ms[2]%3, qt.IsTrue)
		for _, h := range ms {
			load[h]++
		}
	}
	for h, n := range load {
		c.Check(n > 800 && n < 1200, qt.IsTrue, qt.Commentf("agent %d has %d of 3000 keys", h, n))
	}
	c.Check(Members([]uint32{1, 2, 0, 3}, Key{}), qt.HasLen, 3)
	c.Check(Members([]uint32{5, 6, 7}, Key{}), qt.HasLen, 3)
	c.Check(Members([]uint32{5}, Key{}), qt.DeepEquals, []mangokeel.Handle{5})
}

// Guards against stored answers that exhaust memory, and against dropping the record of a
// run together with its answer.
func TestAnswersAreBounded(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	m := NewMember(now, DefaultLifetime)
	m.SetHome(now, 1, Home{Epoch: 1, Now: []uint32{1}})
	n := 2 * maxAnswerBytesTotal / (MaxAnswerBytes - 100)
	for i := range n {
		k := KeyOf(1, fmt.Sprint(i))
		a := &wire.Attempt{Id: make([]byte, 16), Hash: make([]byte, 16), Progress: wire.Progress_PROGRESS_ANSWERED}
		a.Answer = &wire.Answer{Body: make([]byte, MaxAnswerBytes-100)}
		c.Assert(m.Record(now, &wire.RecordRequest{Member: 1, Key: k[:], Attempt: a}).GetStored(), qt.IsTrue)
	}
	c.Check(m.answerBytes <= maxAnswerBytesTotal, qt.IsTrue)
	claim := New(now, DefaultLifetime, m.home, KeyOf(1, "0"), Hash{}, 2)
	o, _ := claim.AddReply(1, m.Claim(now, claim.Request(1, 1)), func(mangokeel.Handle) bool { return true })
	c.Check(o.Verdict, qt.Equals, Ran)
	m.Sweep(now.Add(DefaultLifetime))
	c.Check(m.Len(), qt.Equals, 0)
	c.Check(m.answerBytes, qt.Equals, 0)
}

// delayedRemote delays each call and its reply, as a network between availability zones
// does.
type delayedRemote struct {
	mangokeel.Remote
	delay time.Duration
}

func (s delayedRemote) Call(ctx context.Context, a netip.AddrPort, method string, req, resp proto.Message) error {
	time.Sleep(s.delay)
	err := s.Remote.Call(ctx, a, method, req, resp)
	time.Sleep(s.delay)
	return err
}

// fleet is a set of managers that call each other over loopback.
type fleet struct {
	managers []*Manager
	service  *view.Service
}

func newFleet(c *qt.C, n int, delay time.Duration) *fleet {
	f := &fleet{service: &view.Service{ID: 1, Service: &wire.Service{Id: 1}, Targets: map[mangokeel.Handle]*view.Target{}}}
	for i := range n {
		client := jsonrpc.NewClient()
		k := NewManager(delayedRemote{client, delay})
		srv, err := jsonrpc.Listen(netip.MustParseAddrPort("127.0.0.1:0"), k.Methods())
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() {
			k.Close()
			client.Close()
			srv.Close()
		})
		a := srv.Addr()
		f.service.Targets[mangokeel.Handle(i+1)] = &view.Target{Agent: netip.AddrPortFrom(a.Addr(), a.Port()-1)}
		f.managers = append(f.managers, k)
	}
	return f
}

// setHome updates all managers with a home.
func (f *fleet) setHome(h *wire.Home) {
	f.service.Home = h
	for i, k := range f.managers {
		k.Update(f.service, mangokeel.Handle(i+1))
	}
}

// Guards against two simultaneous submissions of one request that both run or neither
// runs, and against a key that is accepted for a request with another hash.
func TestCopiesAtTheSameMoment(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 4, time.Millisecond)
	f.setHome(&wire.Home{Epoch: 1, Now: []uint32{1, 2, 3}})
	for i := range 50 {
		key := fmt.Sprint(i)
		var wg sync.WaitGroup
		var got [2]Outcome
		var claims [2]*Claim
		for j := range got {
			wg.Go(func() { got[j], claims[j] = f.managers[2*j+i%2].Claim(context.Background(), key, Hash{1}) })
		}
		wg.Wait()
		verdicts := []Verdict{got[0].Verdict, got[1].Verdict}
		slices.Sort(verdicts)
		c.Assert(verdicts, qt.DeepEquals, []Verdict{Run, Running})
		winner := claims[0]
		if got[1].Verdict == Run {
			winner = claims[1]
		}
		f.managers[winner.Owner-1].Record(winner, &wire.Answer{Status: 201, Body: []byte(key)}, false)
	}
	time.Sleep(50 * time.Millisecond)
	o, _ := f.managers[0].Claim(context.Background(), "7", Hash{1})
	c.Check(o.Verdict, qt.Equals, Stored)
	c.Check(string(o.Answer.GetBody()), qt.Equals, "7")
	o, _ = f.managers[1].Claim(context.Background(), "7", Hash{2})
	c.Check(o.Verdict, qt.Equals, Mismatch)
}

// Guards against a change of the home that loses answers, and against new members that
// report that they are ready before they have copied the claims.
func TestHomeChangeKeepsAnswers(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 6, 0)
	f.setHome(&wire.Home{Epoch: 1, Now: []uint32{1, 2, 3}})
	o, claim := f.managers[0].Claim(context.Background(), "key", Hash{1})
	c.Assert(o.Verdict, qt.Equals, Run)
	f.managers[0].Record(claim, &wire.Answer{Status: 201}, false)
	time.Sleep(20 * time.Millisecond)
	f.setHome(&wire.Home{Epoch: 2, Now: []uint32{1, 2, 3}, Next: []uint32{4, 5, 6}})
	c.Check(f.managers[0].ReadyEpoch(1), qt.Equals, uint64(0))
	for i, k := range f.managers[3:] {
		own := mangokeel.Handle(i + 4)
		for range 50 {
			if k.ReadyEpoch(own) == 2 {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		c.Check(k.ReadyEpoch(own), qt.Equals, uint64(2))
		c.Check(k.ReadyEpoch(own+1), qt.Equals, uint64(0))
	}
	f.setHome(&wire.Home{Epoch: 3, Now: []uint32{4, 5, 6}})
	o, _ = f.managers[1].Claim(context.Background(), "key", Hash{1})
	c.Check(o.Verdict, qt.Equals, Stored)
	o, _ = f.managers[1].Claim(context.Background(), "other", Hash{1})
	c.Check(o.Verdict, qt.Equals, Run)
}

// Guards against an agent that still grants claims after a lifetime without contact to
// control, when a newer home that it doesn't know may grant them too.
func TestUnconfirmedMemberAbstains(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	m := NewMember(now, DefaultLifetime)
	m.SetHome(now, 1, Home{Epoch: 1, Now: []uint32{1}})
	vote := func(at time.Time) wire.Vote {
		claim := New(at, DefaultLifetime, m.home, KeyOf(1, at.String()), Hash{}, 2)
		return m.Claim(at, claim.Request(1, 1)).GetVote()
	}
	c.Check(vote(now.Add(DefaultLifetime-1)), qt.Equals, wire.Vote_VOTE_GRANTED)
	c.Check(vote(now.Add(DefaultLifetime)), qt.Equals, wire.Vote_VOTE_ABSENT)
	m.ConfirmView(now.Add(DefaultLifetime))
	c.Check(vote(now.Add(DefaultLifetime)), qt.Equals, wire.Vote_VOTE_GRANTED)
}

// BenchmarkClaim measures the latency of a claim by an agent outside the home, with a
// one-way delay of 1.5 ms between availability zones.
func BenchmarkClaim(b *testing.B) {
	c := qt.New(b)
	f := newFleet(c, 4, 1500*time.Microsecond)
	f.setHome(&wire.Home{Epoch: 1, Now: []uint32{1, 2, 3}})
	i := 0
	for b.Loop() {
		i++
		o, _ := f.managers[3].Claim(context.Background(), fmt.Sprint(i), Hash{1})
		c.Assert(o.Verdict, qt.Equals, Run)
	}
	// time.Sleep lasts longer than requested, so report what both delays alone take.
	start := time.Now()
	for range 50 {
		time.Sleep(1500 * time.Microsecond)
		time.Sleep(1500 * time.Microsecond)
	}
	b.ReportMetric(float64(time.Since(start).Microseconds())/50, "µs-both-delays")
}

// BenchmarkMembers measures the choice of members from a roster of nine agents.
func BenchmarkMembers(b *testing.B) {
	roster := []uint32{3, 6, 9, 0, 1, 4, 7, 0, 2, 5, 8}
	for b.Loop() {
		Members(roster, Key{})
	}
}

// BenchmarkMemberMemory measures the memory that one key takes at a member, without an
// answer.
func BenchmarkMemberMemory(b *testing.B) {
	now := time.Unix(0, 0)
	var before, after runtime.MemStats
	for b.Loop() {
		m := NewMember(now, DefaultLifetime)
		m.SetHome(now, 1, Home{Epoch: 1, Now: []uint32{1}})
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range maxKeys {
			c := New(now, DefaultLifetime, m.home, KeyOf(1, fmt.Sprint(i)), Hash{}, 2)
			m.Claim(now, proto.Clone(c.Request(1, 1)).(*wire.ClaimRequest))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(m.Len()), "B/key")
	}
}
