// Package roster is the state machine behind the replicated log: the settings
// tree of each team, services, targets, balancers, keys, and the outcomes of
// changes.
//
// A Machine applies commands in log order and answers reads at any time:
//
//	m := roster.New()
//	result := m.Apply(revision, command)
//	update := m.Update(since, wire.Role_ROLE_BALANCER, 0)
//
// The same commands at the same revisions give the same records on every
// instance. Records are never modified after they were published; a change
// replaces them, so that an update can refer to them without copying.
package roster

import (
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"mangokeel"
	"mangokeel/internal/wire"
)

// Machine is the state. All methods may be called from any goroutine.
type Machine struct {
	// mu is held for writing by Apply and Restore.
	mu sync.RWMutex
	// changed is closed and replaced by each Apply and Restore.
	changed chan struct{}
	// revision is that of the last applied command. It never falls.
	revision uint64
	// The next ids only rise, so that none is ever reused.
	nextHandle   uint32
	nextService  uint32
	nextBalancer uint32

	teams     map[string]*team
	services  map[uint32]*service
	targets   map[mangokeel.Handle]*wire.Target
	balancers map[uint32]*wire.Balancer
	// targetStarts and balancerStarts have the incarnations of the live nodes.
	targetStarts   map[uint32][]byte
	balancerStarts map[uint32][]byte
	// announced has the targets that announced their own departure. The end of
	// a drain does not return them to service.
	announced map[mangokeel.Handle]bool
	index     index
	outcomes  outcomes
	// all has every record, peers the balancers only.
	all   *journal
	peers *journal
}

var _ mangokeel.Machine = (*Machine)(nil)

// index finds live records by their unique addresses.
type index struct {
	// paths maps the paths of services to their ids.
	paths map[string]uint32
	// addresses maps the addresses of services to their ids.
	addresses map[string]uint32
	agents    map[string]mangokeel.Handle
	// endpoints maps the targets' own addresses.
	endpoints map[string]mangokeel.Handle
	data      map[string]uint32
}

// New returns an empty machine at revision 0.
func New() *Machine {
	m := &Machine{changed: make(chan struct{})}
	m.reset()
	return m
}

func (m *Machine) reset() {
	m.revision = 0
	m.nextHandle, m.nextService, m.nextBalancer = 1, 1, 1
	m.teams = map[string]*team{}
	m.services = map[uint32]*service{}
	m.targets = map[mangokeel.Handle]*wire.Target{}
	m.balancers = map[uint32]*wire.Balancer{}
	m.targetStarts = map[uint32][]byte{}
	m.balancerStarts = map[uint32][]byte{}
	m.announced = map[mangokeel.Handle]bool{}
	m.index = index{
		paths:     map[string]uint32{},
		addresses: map[string]uint32{},
		agents:    map[string]mangokeel.Handle{},
		endpoints: map[string]mangokeel.Handle{},
		data:      map[string]uint32{},
	}
	m.outcomes = outcomes{byID: map[string]*wire.Outcome{}}
	m.all = &journal{tombs: maxTombs}
	m.peers = &journal{tombs: maxTombs}
}

// Apply implements mangokeel.Machine. The command is a wire.Command and the
// result a wire.Result. Commands that do not decode, such as the empty ones of
// an election, change nothing but the revision.
func (m *Machine) Apply(r mangokeel.Revision, command []byte) []byte {
	var c wire.Command
	decoded := proto.Unmarshal(command, &c) == nil
	m.mu.Lock()
	defer m.mu.Unlock()
	defer m.wake()
	m.revision = max(m.revision, uint64(r))
	if !decoded {
		return nil
	}
	s := newStep(m, uint64(r), c.GetSeed())
	result := s.command(&c)
	s.finish()
	b, err := proto.Marshal(result)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode result"))
	}
	return b
}

// command executes one command and returns its result.
func (s *step) command(c *wire.Command) *wire.Result {
	result := &wire.Result{}
	switch b := c.GetBody().(type) {
	case *wire.Command_Change:
		result.Outcome = s.once(b.Change.GetTeam(), b.Change.GetId(), func() *wire.Outcome { return s.change(b.Change) })
	case *wire.Command_Key:
		result.Outcome = s.once(b.Key.GetTeam(), b.Key.GetId(), func() *wire.Outcome { return s.key(b.Key) })
	case *wire.Command_Join:
		result.Join = s.join(b.Join)
	case *wire.Command_Leave:
		result.Outcome = s.leave(b.Leave)
	case *wire.Command_Expire:
		s.expire(b.Expire)
	case *wire.Command_Weights:
		s.weights(b.Weights)
	case *wire.Command_Release:
		s.release(b.Release)
	case *wire.Command_Rehome:
		result.Outcome = s.rehome(b.Rehome)
	case *wire.Command_Batch:
		for _, x := range b.Batch.GetCommands() {
			result.Batch = append(result.Batch, s.command(x))
		}
	}
	return result
}

// Revision returns the revision of the last applied command.
func (m *Machine) Revision() mangokeel.Revision {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return mangokeel.Revision(m.revision)
}

// Changed returns a channel that is closed when the next command was applied.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.changed
}

func (m *Machine) wake() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func accepted(r uint64) *wire.Outcome {
	return &wire.Outcome{Code: wire.Code_CODE_ACCEPTED, Revision: r}
}

func refused(code wire.Code, path, reason string) *wire.Outcome {
	return &wire.Outcome{Code: code, Path: path, Reason: reason}
}
