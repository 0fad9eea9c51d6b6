package settings

import (
	"fmt"
	"net/netip"
	"slices"
)

// Cluster is how a node of the packet path finds control.
type Cluster struct {
	// Seeds are some control instances. Only their IPs count; all others are learned.
	Seeds []netip.AddrPort `yaml:"seeds"`
	// Port is the port on which all control instances take calls.
	Port int `yaml:"port"`
}

// Calls returns where the seeds take calls.
func (c Cluster) Calls() []netip.AddrPort {
	var out []netip.AddrPort
	for _, a := range c.Seeds {
		out = append(out, netip.AddrPortFrom(a.Addr(), uint16(c.Port)))
	}
	return out
}

const (
	maxPort     = 1<<16 - 1
	minMemoryMB = 16
	maxLosses   = 4
)

func (c Cluster) check() *Error {
	if len(c.Seeds) == 0 {
		return need("cluster.seeds", false)
	}
	return fault(c.Port > 0 && c.Port <= maxPort, "cluster.port", "%d is not a port", c.Port)
}

// DefaultLines bounds a process's log to 0.7 GB a day: two classes of 20 lines a second,
// of 200 bytes each.
const DefaultLines = 20

// Lines is how many lines about decisions are logged in a second for ordinary ones, and as
// many for failures; 0 means DefaultLines.
type Lines int

// Rate returns l with the default applied.
func (l Lines) Rate() int {
	if l == 0 {
		return DefaultLines
	}
	return int(l)
}

func (l Lines) check() *Error { return fault(l >= 0, "lines", "%d is negative", l) }

func checkMemory(mb int) *Error {
	return fault(mb == 0 || mb >= minMemoryMB, "memory", "%d MB is below %d MB", mb, minMemoryMB)
}

// PacketBalancer is the settings of a balancer for packets that name both ends.
type PacketBalancer struct {
	Name string `yaml:"name"`
	Zone string `yaml:"zone"`
	// Data is where the fabric hands over callers' packets.
	Data netip.AddrPort `yaml:"data"`
	// Hints is where agents answer.
	Hints netip.AddrPort `yaml:"hints"`
	// Ready answers the fabric's checks.
	Ready netip.AddrPort `yaml:"ready"`
	// Status serves /metrics and /dump.
	Status netip.AddrPort `yaml:"status"`
	// Memory is the limit of the process in MB; 0 is no limit.
	Memory  int   `yaml:"memory"`
	Lines   Lines `yaml:"lines"`
	Cluster `yaml:"cluster"`
}

// Check implements Checker.
func (s *PacketBalancer) Check() error {
	return first(
		needName("name", s.Name), needName("zone", s.Zone), needAddr("data", s.Data), needAddr("hints", s.Hints),
		needAddr("ready", s.Ready), optionalAddr("status", s.Status), checkMemory(s.Memory), s.Lines.check(), s.Cluster.check(),
	)
}

// PacketAgent is the settings of an agent for packets that name both ends.
type PacketAgent struct {
	Name string `yaml:"name"`
	Zone string `yaml:"zone"`
	// Service is the target's service. Reports that name another one are rejected.
	Service string `yaml:"service"`
	// Data is where balancers and other agents send frames.
	Data netip.AddrPort `yaml:"data"`
	// Outbound is where the target sends its packets, Target where it takes packets.
	Outbound netip.AddrPort `yaml:"outbound"`
	Target   netip.AddrPort `yaml:"target"`
	// Reports is where the target reports, and Period the time between its reports; 0 if it is
	// not known.
	Reports netip.AddrPort `yaml:"reports"`
	Period  Duration       `yaml:"period"`
	// Balance is what new flows are placed by.
	Balance Balance `yaml:"balance"`
	// Ready answers checks.
	Ready netip.AddrPort `yaml:"ready"`
	// Status serves /metrics and /dump.
	Status netip.AddrPort `yaml:"status"`
	// Memory is the limit of the process in MB; 0 is no limit.
	Memory int   `yaml:"memory"`
	Lines  Lines `yaml:"lines"`
	// Overload is what the agent does with flows that its target cannot take at once.
	Overload Overload `yaml:"overload"`
	Cluster  `yaml:"cluster"`
}

// Values of Overload.Refuse and Overload.Order. The first of each is the default.
const (
	// RefuseLate refuses a flow after it has waited in vain, RefuseEarly at once if it would.
	RefuseLate  = "late"
	RefuseEarly = "early"
	// OrderArrival serves waiting flows of a priority in the order of their arrival, OrderCallers the
	// first one of each caller before the second one of any.
	OrderArrival = "arrival"
	OrderCallers = "callers"
)

// Overload is the policy for flows that a target cannot take at once. The zero value has the
// defaults.
type Overload struct {
	Refuse string `yaml:"refuse"`
	Order  string `yaml:"order"`
	// Reserves has each priority at most once. Their shares add up to at most 1.
	Reserves []Reserve `yaml:"reserves"`
}

// Reserve is the share of the flows that are served after a wait which is kept for a priority, while
// flows of it wait.
type Reserve struct {
	// Priority is one of the routes' priorities; 0 is the most urgent.
	Priority int `yaml:"priority"`
	// Share is above 0 and at most 1.
	Share float64 `yaml:"share"`
}

func (o Overload) check() *Error {
	if !slices.Contains([]string{"", RefuseLate, RefuseEarly}, o.Refuse) {
		return fault(false, "overload.refuse", "%q is neither %s nor %s", o.Refuse, RefuseLate, RefuseEarly)
	}
	if !slices.Contains([]string{"", OrderArrival, OrderCallers}, o.Order) {
		return fault(false, "overload.order", "%q is neither %s nor %s", o.Order, OrderArrival, OrderCallers)
	}
	sum, seen := 0.0, map[int]bool{}
	for i, r := range o.Reserves {
		key := fmt.Sprintf("overload.reserves[%d]", i)
		sum += r.Share
		switch {
		case r.Priority < 0:
			return fault(false, key+".priority", "%d is not a priority: priorities start at 0", r.Priority)
		case seen[r.Priority]:
			return fault(false, key+".priority", "priority %d has two reserves", r.Priority)
		case !(r.Share > 0 && r.Share <= 1):
			return fault(false, key+".share", "%v is not above 0 and at most 1", r.Share)
		case sum > 1:
			return fault(false, key+".share", "the shares add up to more than 1")
		}
		seen[r.Priority] = true
	}
	return nil
}

// Balance is what new flows are placed by. The empty value means BalanceSlots.
type Balance string

const (
	// BalanceSlots places flows by the slots that targets have free.
	BalanceSlots Balance = "slots"
	// BalanceCapacity places long flows by what targets can serve, as learned from their answers.
	BalanceCapacity Balance = "capacity"
)

func (b Balance) check() *Error {
	return fault(b == "" || b == BalanceSlots || b == BalanceCapacity, "balance", "%q is not slots or capacity", string(b))
}

// Check implements Checker.
func (s *PacketAgent) Check() error {
	return first(
		needName("name", s.Name), needName("zone", s.Zone), needAddr("data", s.Data), needAddr("outbound", s.Outbound),
		needAddr("target", s.Target), needAddr("reports", s.Reports), optionalAddr("ready", s.Ready),
		fault(s.Period >= 0, "period", "%v is negative", s.Period.Value()), s.Balance.check(),
		optionalAddr("status", s.Status), checkMemory(s.Memory), s.Lines.check(), s.Overload.check(), s.Cluster.check(),
	)
}

// PacketControl is the settings of a control instance for packets that name both ends.
type PacketControl struct {
	Name string `yaml:"name"`
	Zone string `yaml:"zone"`
	// Address is where other control instances and nodes call.
	Address netip.AddrPort `yaml:"address"`
	// Operators is where operators call.
	Operators netip.AddrPort `yaml:"operators"`
	// Status serves /metrics and /dump.
	Status netip.AddrPort `yaml:"status"`
	// Data is the data folder.
	Data string `yaml:"data"`
	// First is set when the whole system starts for the first time.
	First bool `yaml:"first"`
	// Losses is how many control instances may be lost at once.
	Losses int `yaml:"losses"`
	// Memory is the limit of the process in MB; 0 is no limit.
	Memory  int `yaml:"memory"`
	Cluster `yaml:"cluster"`
}

// Check implements Checker.
func (s *PacketControl) Check() error {
	return first(
		needName("name", s.Name), needName("zone", s.Zone), needAddr("address", s.Address), needAddr("operators", s.Operators),
		optionalAddr("status", s.Status), need("data", s.Data != ""),
		fault(s.Losses >= 0 && s.Losses <= maxLosses, "losses", "%d is not between 0 and %d", s.Losses, maxLosses),
		checkMemory(s.Memory), s.Cluster.check(),
	)
}
