package claim

import (
	"slices"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"mangokeel"
	"mangokeel/internal/wire"
)

// Bounds on what a member keeps.
const (
	// maxKeys bounds the number of keys.
	maxKeys = 100_000
	// maxAttemptsPerKey bounds the attempts at one key.
	maxAttemptsPerKey = 8
	// MaxAnswerBytes bounds one stored answer, in encoded bytes.
	MaxAnswerBytes = 64 << 10
	// maxAnswerBytesTotal bounds all stored answers; the oldest are dropped first.
	maxAnswerBytesTotal = 16 << 20
	// maxLifetime bounds the lifetime that a claimer may ask for.
	maxLifetime = 24 * time.Hour
	// maxPageKeys and pageBytes bound one page of a copy.
	maxPageKeys  = 256
	maxPageBytes = 512 << 10
	// viewAgeSlack is added where the ages of views at two agents are compared: a view
	// may be confirmed by a control instance that lags by view.MaxAge.
	viewAgeSlack = 10 * time.Second
)

// entry is what a member knows of one key.
type entry struct {
	// attempts never has two in state ANSWERED or GRANTED by this member's own
	// vote; copies may add more.
	attempts []*wire.Attempt
	expires  time.Time
	seq      uint64
}

// arrival is an entry's position in the order of arrival.
type arrival struct {
	seq uint64
	key Key
}

// Member holds claims for one agent. It is not safe for concurrent use.
type Member struct {
	lifetime time.Duration
	// self is 0 before the agent has joined; it then abstains.
	self mangokeel.Handle
	home Home
	// fence is the lowest home epoch under which claims are granted. It never
	// falls and is at least home.Epoch.
	fence uint64
	// ready means that the member knows all claims of home.Now that it has to know;
	// nextReady is the same for home.Next.
	ready, nextReady bool
	// homeSince is when home became known.
	homeSince time.Time
	// confirmed is the last time at which control confirmed the view.
	confirmed time.Time
	// copied has the members of home.Now that were copied under home.Epoch, and
	// after the place reached in each.
	copied     map[uint32]bool
	copyCursor map[uint32]uint64
	// copyOverflowed is set when a copy did not fit; the copies are then worth nothing.
	copyOverflowed bool

	claims map[Key]*entry
	// arrivals lists entries by place, with gaps for those that expired.
	arrivals []arrival
	lastSeq  uint64
	// answeredKeys lists the keys with stored answers, oldest first.
	answeredKeys []Key
	answerBytes  int
	// Conflicts counts attempts that ran beside another one or after they were
	// withdrawn. It stays 0.
	Conflicts uint64
}

// NewMember returns a member that knows no home.
func NewMember(now time.Time, lifetime time.Duration) *Member {
	return &Member{lifetime: lifetime, confirmed: now, claims: map[Key]*entry{}}
}

// SetLifetime changes the lifetime of claims made from now on.
func (m *Member) SetLifetime(d time.Duration) { m.lifetime = d }

// ConfirmView tells when control last confirmed the view on which SetHome is based. A
// member that has not been confirmed for the lifetime abstains, so that a home
// which it has not heard of can rely on its silence.
func (m *Member) ConfirmView(at time.Time) {
	if at.After(m.confirmed) {
		m.confirmed = at
	}
}

// SetHome takes the home and the agent's own handle from a newer view.
func (m *Member) SetHome(now time.Time, self mangokeel.Handle, home Home) {
	if self != m.self {
		m.self = self
		m.home, m.ready, m.nextReady = Home{}, false, false
	}
	if home.Epoch <= m.home.Epoch {
		return
	}
	m.ready, m.nextReady = m.knowsClaimsOf(home), false
	m.home, m.homeSince = home, now
	m.fence = max(m.fence, home.Epoch)
	m.copied, m.copyCursor, m.copyOverflowed = map[uint32]bool{}, map[uint32]uint64{}, false
	if m.ready {
		m.copied[uint32(m.self)] = true
	}
	m.nextReady = len(home.Now) == 0
}

// knowsClaimsOf reports whether the member knows the claims of a home that follows the
// present one. Control ends a joint knowsClaimsOf only when all new members have reported
// that they are ready, so a member cannot miss the knowsClaimsOf in which it entered, and
// a home that is the first one known holds no claims that it would have to copy.
func (m *Member) knowsClaimsOf(home Home) bool {
	switch {
	case !slices.Contains(home.Now, uint32(m.self)):
		return false
	case len(m.home.Now) == 0 && len(m.home.Next) == 0:
		return true
	case slices.Equal(home.Now, m.home.Now):
		return m.ready
	case len(home.Next) == 0 && slices.Equal(home.Now, m.home.Next):
		return m.nextReady
	}
	return false
}

// ReadyEpoch returns the home epoch for which the member is ready to serve as a member
// of the next home, or 0. Control ends the joint step of that epoch once all
// members of the next home have reported it.
func (m *Member) ReadyEpoch(now time.Time) uint64 {
	m.becomeReadyByAge(now)
	if m.inRoster(m.home.Next) && m.nextReady {
		return m.home.Epoch
	}
	return 0
}

// becomeReadyByAge makes a member ready that has waited for so long that all claims it could
// have missed have expired: agents with an older view abstain after one lifetime,
// and what they granted before expires after another.
func (m *Member) becomeReadyByAge(now time.Time) {
	if now.Sub(m.homeSince) >= 2*m.lifetime+viewAgeSlack {
		m.ready = m.ready || m.inRoster(m.home.Now)
		m.nextReady = m.nextReady || m.inRoster(m.home.Next)
	}
}

func (m *Member) inRoster(roster []uint32) bool {
	return m.self != 0 && slices.Contains(roster, uint32(m.self))
}

// mayVote reports whether the member may grant claims on a key.
func (m *Member) mayVote(now time.Time, k Key) bool {
	m.becomeReadyByAge(now)
	old, next := m.inRoster(m.home.Now), m.inRoster(m.home.Next)
	switch {
	case !old && !next:
		return false
	case old && !m.ready || next && !m.nextReady && !m.copiedMajorityFor(k):
		return false
	}
	return now.Sub(m.confirmed) < m.lifetime
}

// copiedMajorityFor reports whether a majority of the old home of a key was copied.
func (m *Member) copiedMajorityFor(k Key) bool {
	if m.copyOverflowed {
		return false
	}
	n := 0
	party := Members(m.home.Now, k)
	for _, h := range party {
		if m.copied[uint32(h)] {
			n++
		}
	}
	return n >= majority(len(party))
}

// Claim answers a claim.
func (m *Member) Claim(now time.Time, r *wire.ClaimRequest) *wire.ClaimReply {
	reply := &wire.ClaimReply{Vote: wire.Vote_VOTE_ABSENT, Epoch: r.GetEpoch()}
	if !m.isAddressee(r.GetMember(), r.GetKey()) || len(r.GetId()) != len(AttemptID{}) {
		return reply
	}
	e := m.lookup(now, Key(r.GetKey()))
	reply.Held = e.blockingAttempt(r.GetId())
	switch {
	case r.GetEpoch() < m.fence:
		reply.Vote = wire.Vote_VOTE_FENCED
	case !m.mayVote(now, Key(r.GetKey())):
	default:
		m.fence = r.GetEpoch()
		reply.Vote = m.grant(now, e, r)
	}
	return reply
}

func (m *Member) isAddressee(member uint32, key []byte) bool {
	return m.self != 0 && member == uint32(m.self) && len(key) == len(Key{})
}

// grant grants a claim unless another attempt stands in its way.
func (m *Member) grant(now time.Time, e *entry, r *wire.ClaimRequest) wire.Vote {
	if a := e.findAttempt(r.GetId()); a != nil {
		switch a.GetProgress() {
		case wire.Progress_PROGRESS_WITHDRAWN:
			return wire.Vote_VOTE_REVOKED
		case wire.Progress_PROGRESS_GRANTED:
			if e.blockingAttempt(r.GetId()) == nil {
				return wire.Vote_VOTE_GRANTED
			}
		}
		return wire.Vote_VOTE_HELD
	}
	if e.blockingAttempt(r.GetId()) != nil {
		return wire.Vote_VOTE_HELD
	}
	a := &wire.Attempt{Id: r.GetId(), Hash: r.GetHash(), Owner: r.GetOwner(), Progress: wire.Progress_PROGRESS_GRANTED}
	if !m.addAttempt(now, Key(r.GetKey()), a) {
		return wire.Vote_VOTE_FULL
	}
	life := min(maxLifetime, time.Duration(r.GetLifeMs())*time.Millisecond)
	if e = m.claims[Key(r.GetKey())]; now.Add(life).After(e.expires) {
		e.expires = now.Add(life)
	}
	return wire.Vote_VOTE_GRANTED
}

// lookup returns what is known of a key, or nil. Expired entries are not known.
func (m *Member) lookup(now time.Time, k Key) *entry {
	e := m.claims[k]
	if e != nil && !now.Before(e.expires) {
		delete(m.claims, k)
		return nil
	}
	return e
}

func (e *entry) findAttempt(id []byte) *wire.Attempt {
	if e == nil {
		return nil
	}
	for _, a := range e.attempts {
		if slices.Equal(a.GetId(), id) {
			return a
		}
	}
	return nil
}

// blockingAttempt returns the attempt that keeps another one with the given id from
// running: one that ran if there is one.
func (e *entry) blockingAttempt(id []byte) *wire.Attempt {
	if e == nil {
		return nil
	}
	var found *wire.Attempt
	for _, a := range e.attempts {
		if a.GetProgress() == wire.Progress_PROGRESS_WITHDRAWN || slices.Equal(a.GetId(), id) {
			continue
		}
		if found == nil || a.GetProgress() == wire.Progress_PROGRESS_ANSWERED {
			found = a
		}
	}
	return found
}

// addAttempt appends an attempt. It returns false when there is no room.
func (m *Member) addAttempt(now time.Time, k Key, a *wire.Attempt) bool {
	e := m.lookup(now, k)
	if e == nil {
		if len(m.claims) >= maxKeys {
			return false
		}
		m.lastSeq++
		e = &entry{seq: m.lastSeq}
		m.claims[k] = e
		m.arrivals = append(m.arrivals, arrival{m.lastSeq, k})
	}
	if len(e.attempts) >= maxAttemptsPerKey && !e.evictWithdrawn() {
		return false
	}
	e.attempts = append(e.attempts, a)
	// Each attempt extends the life of the key, since it may run until later.
	e.expires = now.Add(m.lifetime)
	return true
}

// evictWithdrawn drops the oldest withdrawn attempt.
func (e *entry) evictWithdrawn() bool {
	i := slices.IndexFunc(e.attempts, func(a *wire.Attempt) bool {
		return a.GetProgress() == wire.Progress_PROGRESS_WITHDRAWN
	})
	if i >= 0 {
		e.attempts = slices.Delete(e.attempts, i, i+1)
	}
	return i >= 0
}

// Record stores the end of an attempt that ran or may have run. It is a fact under
// any epoch.
func (m *Member) Record(now time.Time, r *wire.RecordRequest) *wire.RecordReply {
	p := r.GetAttempt().GetProgress()
	valid := p == wire.Progress_PROGRESS_ANSWERED || p == wire.Progress_PROGRESS_LOST
	if !valid || !m.isAddressee(r.GetMember(), r.GetKey()) || len(r.GetAttempt().GetId()) != len(AttemptID{}) {
		return &wire.RecordReply{}
	}
	return &wire.RecordReply{Stored: m.storeAttempt(now, Key(r.GetKey()), r.GetAttempt())}
}

func (m *Member) storeAttempt(now time.Time, k Key, a *wire.Attempt) bool {
	e := m.lookup(now, k)
	for _, b := range e.allAttempts() {
		if isAnswered(b) && isAnswered(a) && !slices.Equal(a.GetId(), b.GetId()) {
			m.Conflicts++
		}
	}
	old := e.findAttempt(a.GetId())
	if isAnswered(a) && old.GetProgress() == wire.Progress_PROGRESS_WITHDRAWN {
		m.Conflicts++
	}
	if old == nil {
		// The entry keeps a copy, so that dropping its answer changes no message.
		old = &wire.Attempt{Id: a.GetId(), Hash: a.GetHash(), Owner: a.GetOwner()}
		if !m.addAttempt(now, k, old) {
			return false
		}
	}
	if old.GetProgress() == wire.Progress_PROGRESS_ANSWERED {
		return true
	}
	if a.GetProgress() > old.GetProgress() || isAnswered(a) {
		old.Progress = a.GetProgress()
	}
	if a.GetProgress() == wire.Progress_PROGRESS_ANSWERED && a.GetAnswer() != nil {
		m.storeAnswer(k, old, a.GetAnswer())
	}
	return true
}

func (e *entry) allAttempts() []*wire.Attempt {
	if e == nil {
		return nil
	}
	return e.attempts
}

func isAnswered(a *wire.Attempt) bool { return a.GetProgress() == wire.Progress_PROGRESS_ANSWERED }

// storeAnswer stores an answer and drops the oldest ones beyond the bound.
func (m *Member) storeAnswer(k Key, a *wire.Attempt, answer *wire.Answer) {
	n := proto.Size(answer)
	if n > MaxAnswerBytes {
		return
	}
	a.Answer = answer
	m.answeredKeys = append(m.answeredKeys, k)
	m.answerBytes += n
	for m.answerBytes > maxAnswerBytesTotal {
		if e := m.claims[m.answeredKeys[0]]; e != nil {
			m.dropAnswers(e)
		}
		m.answeredKeys = m.answeredKeys[1:]
	}
}

// dropAnswers forgets the answers of an entry, not that it ran.
func (m *Member) dropAnswers(e *entry) {
	for _, a := range e.attempts {
		if a.Answer != nil {
			m.answerBytes -= proto.Size(a.Answer)
			a.Answer = nil
		}
	}
}

// Withdraw notes that an attempt never runs, even if its claim arrives later.
func (m *Member) Withdraw(now time.Time, r *wire.WithdrawRequest) *wire.WithdrawReply {
	if !m.isAddressee(r.GetMember(), r.GetKey()) {
		return &wire.WithdrawReply{}
	}
	k := Key(r.GetKey())
	a := m.lookup(now, k).findAttempt(r.GetId())
	if a == nil {
		a = &wire.Attempt{Id: r.GetId(), Progress: wire.Progress_PROGRESS_WITHDRAWN}
		return &wire.WithdrawReply{Stored: m.addAttempt(now, k, a)}
	}
	if a.GetProgress() == wire.Progress_PROGRESS_GRANTED {
		a.Progress = wire.Progress_PROGRESS_WITHDRAWN
	}
	return &wire.WithdrawReply{Stored: true}
}

// Copy answers a new member with a page of claims. From then on, claims under
// epochs before the asker's are rejected, so that the copy stays complete.
func (m *Member) Copy(now time.Time, r *wire.CopyRequest) *wire.CopyReply {
	if m.self == 0 || r.GetMember() != uint32(m.self) {
		return &wire.CopyReply{}
	}
	m.becomeReadyByAge(now)
	m.fence = max(m.fence, r.GetEpoch())
	if !m.ready {
		return &wire.CopyReply{}
	}
	reply := &wire.CopyReply{Ready: true, Last: r.GetAfter()}
	i := sort.Search(len(m.arrivals), func(i int) bool { return m.arrivals[i].seq > r.GetAfter() })
	size := 0
	for ; i < len(m.arrivals) && len(reply.GetClaims()) < maxPageKeys && size < maxPageBytes; i++ {
		p := m.arrivals[i]
		reply.Last = p.seq
		e := m.lookup(now, p.key)
		if e == nil || e.seq != p.seq || !slices.Contains(Members(r.GetNext(), p.key), mangokeel.Handle(r.GetAsker())) {
			continue
		}
		c := &wire.KeyClaim{Key: p.key[:], Attempts: cloneAttempts(e.attempts)}
		size += proto.Size(c)
		reply.Claims = append(reply.Claims, c)
	}
	reply.End = i == len(m.arrivals)
	return reply
}

// cloneAttempts copies attempts, whose progress and answer may change while a reply is
// sent.
func cloneAttempts(attempts []*wire.Attempt) []*wire.Attempt {
	out := make([]*wire.Attempt, len(attempts))
	for i, a := range attempts {
		out[i] = &wire.Attempt{Id: a.GetId(), Hash: a.GetHash(), Owner: a.GetOwner(), Progress: a.GetProgress(), Answer: a.GetAnswer()}
	}
	return out
}

// CopyRequests returns the next request to each old member that has to be copied.
func (m *Member) CopyRequests() []*wire.CopyRequest {
	if !m.inRoster(m.home.Next) || m.nextReady {
		return nil
	}
	var rs []*wire.CopyRequest
	for _, h := range m.home.Now {
		if h != 0 && h != uint32(m.self) && !m.copied[h] {
			rs = append(rs, &wire.CopyRequest{
				Member: h, Asker: uint32(m.self), Epoch: m.home.Epoch, Next: m.home.Next, After: m.copyCursor[h],
			})
		}
	}
	return rs
}

// ApplyCopyReply takes the reply to a request that Wants returned. Replies to requests of
// earlier epochs or places change nothing.
func (m *Member) ApplyCopyReply(now time.Time, r *wire.CopyRequest, reply *wire.CopyReply) {
	h := r.GetMember()
	if r.GetEpoch() != m.home.Epoch || r.GetAsker() != uint32(m.self) || r.GetAfter() != m.copyCursor[h] || m.copied[h] || !reply.GetReady() {
		return
	}
	for _, c := range reply.GetClaims() {
		if len(c.GetKey()) == len(Key{}) {
			m.mergeAttempts(now, Key(c.GetKey()), c)
		}
	}
	m.copyCursor[h] = reply.GetLast()
	m.copied[h] = reply.GetEnd()
	m.nextReady = m.nextReady || m.copiedMajorityForAll()
}

// mergeAttempts adds another member's attempts to the own ones. None is replaced: each of
// them may have a majority elsewhere.
func (m *Member) mergeAttempts(now time.Time, k Key, c *wire.KeyClaim) {
	for _, a := range c.GetAttempts() {
		if !m.storeAttempt(now, k, a) {
			m.copyOverflowed = true
		}
	}
}

// copiedMajorityForAll reports whether a majority of the old home of every key was copied: at
// most one old member is missing, or all missing ones are in one availability zone
// of three.
func (m *Member) copiedMajorityForAll() bool {
	if m.copyOverflowed {
		return false
	}
	cs := candidates(m.home.Now, Key{})
	zones, missing := map[int]bool{}, map[int]bool{}
	n := 0
	for _, c := range cs {
		zones[c.zone] = true
		if !m.copied[c.handle] {
			missing[c.zone] = true
			n++
		}
	}
	if len(cs) < membersPerKey {
		return len(cs)-n >= majority(len(cs))
	}
	return n <= 1 || len(missing) == 1 && len(zones) >= membersPerKey
}

// Sweep forgets expired claims.
func (m *Member) Sweep(now time.Time) {
	m.arrivals = slices.DeleteFunc(m.arrivals, func(p arrival) bool {
		e := m.lookup(now, p.key)
		return e == nil || e.seq != p.seq
	})
	m.answeredKeys = slices.DeleteFunc(m.answeredKeys, func(k Key) bool { return m.claims[k] == nil })
	m.answerBytes = 0
	for _, k := range m.answeredKeys {
		for _, a := range m.claims[k].attempts {
			m.answerBytes += proto.Size(a.GetAnswer())
		}
	}
}

// Len is the number of keys held.
func (m *Member) Len() int { return len(m.claims) }
