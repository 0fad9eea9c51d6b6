package fleet

import (
	"time"

	"mangokeel/internal/capacity"
	"mangokeel/internal/fleetwire"
)

// TypicalLoad is the load of a typical target of a service.
type TypicalLoad struct {
	// Utilisation is the share of the service's capacity that open flows take, or 0 if it is not known.
	Utilisation float64
	// ServiceTime is the median service time of a request, or 0 if it is not known.
	ServiceTime time.Duration
	// At is when the node learned it.
	At time.Time
}

// perMille is the denominator of Load.utilisation and PollReply.utilisation.
const perMille = 1000

// TypicalLoads returns the typical load of each service. Targets that do not accept flows do not
// count.
func TypicalLoads(list []*fleetwire.Announcement) map[string]TypicalLoad {
	reports := map[string][]capacity.Report{}
	for _, a := range list {
		if l := a.GetLoad(); a.GetState() == fleetwire.State_STATE_READY && l.GetUtilisation() > 0 {
			reports[a.GetService()] = append(reports[a.GetService()], capacity.Report{
				Utilisation: float64(l.GetUtilisation()) / perMille, ServiceTime: time.Duration(l.GetServiceUs()) * time.Microsecond, Slots: int(l.GetSlots()),
			})
		}
	}
	out := map[string]TypicalLoad{}
	for service, r := range reports {
		var l TypicalLoad
		l.Utilisation, l.ServiceTime = capacity.Typical(r)
		out[service] = l
	}
	return out
}

// Fill adds the load to a reply.
func (l TypicalLoad) Fill(out *fleetwire.PollReply) {
	out.Utilisation = uint32(l.Utilisation * perMille)
	out.ServiceUs = uint32(l.ServiceTime.Microseconds())
}

// TypicalLoad returns the last typical load of the node's service, which is the zero value if no
// leader has sent one.
func (v *View) TypicalLoad() TypicalLoad {
	if l := v.typical.Load(); l != nil {
		return *l
	}
	return TypicalLoad{}
}

// applyTypicalLoad takes over the typical load in a leader's reply, if there is one.
func (v *View) applyTypicalLoad(r *fleetwire.PollReply, now time.Time) {
	if r.GetUtilisation() > 0 {
		v.typical.Store(&TypicalLoad{
			Utilisation: float64(r.GetUtilisation()) / perMille,
			ServiceTime: time.Duration(r.GetServiceUs()) * time.Microsecond, At: now,
		})
	}
}
