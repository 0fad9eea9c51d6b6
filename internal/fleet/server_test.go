package fleet

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"mangokeel"
	"mangokeel/internal/fleetwire"
)

// pendingElection is a log that has no leader until a given time.
type pendingElection struct {
	fixedLog
	until time.Time
	voter bool
}

func (l *pendingElection) Status() mangokeel.LogStatus {
	st := mangokeel.LogStatus{Voter: l.voter}
	if !time.Now().Before(l.until) {
		st.Leader = addr(2)
	}
	return st
}

// Guards against nodes that learn of a new leader late because they query during the election
// and then wait for the next round, and against a query that is held for longer than its
// timeout or at an instance that is not informed of elections.
func TestSearchWaitsForElection(t *testing.T) {
	for _, x := range []struct {
		election time.Duration
		voter    bool
		leader   string
		most     time.Duration
	}{
		{electionWait / 2, true, addr(2).String(), leaderQueryTimeout},
		{time.Minute, true, "", leaderQueryTimeout},
		{time.Minute, false, "", electionWait},
	} {
		c := qt.New(t)
		s := NewServer(NewDesiredState(), &pendingElection{until: time.Now().Add(x.election), voter: x.voter}, nil)
		began := time.Now()
		out, err := s.handlePoll(context.Background(), &fleetwire.PollRequest{Node: "n", Search: true})
		c.Assert(err, qt.IsNil)
		c.Assert(out.GetLeading(), qt.IsFalse)
		c.Assert(out.GetLeader(), qt.Equals, x.leader)
		c.Assert(time.Since(began) < x.most, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
		s.Close()
	}
}
