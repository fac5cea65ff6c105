package membership

import (
	"cmp"
	"math/bits"
	"slices"
	"strings"

	"github.com/monsoonthread/monsoonthread/placement"
)

// Instance identifies one run of an entry instance.
type Instance struct {
	ID, Domain, PeerAddress string
	Weight                  uint32
	Incarnation             uint64
}

// State is the state of an instance in a view.
type State uint8

// The states. A leaving instance that is also suspected has the state Leaving, so that
// a lost heartbeat does not make it placeable again.
const (
	Alive State = iota
	Suspect
	Leaving
	Dead
)

// String returns the name used in logs and by the command-line tool.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	case Dead:
		return "dead"
	}
	return "invalid"
}

// Entry is an instance in a view.
type Entry struct {
	Instance
	State         State
	ConfigVersion uint64
}

// placeable reports whether the instance may own new flows and dispatch servers. A
// suspect stays placeable: most suspicions are refuted, and moving its flows for a
// second would disrupt more than waiting for the outcome.
func (e *Entry) placeable() bool { return e.State == Alive || e.State == Suspect }

// Domain is a failure domain in a view. Members are sorted by ID and include dead
// instances until DeadRetention has passed.
type Domain struct {
	Name      string
	Weight    uint32
	Members   []Entry
	Reachable bool

	placeable    []placement.Member // placeable members, sorted by weight
	placeableIdx []int32            // index in Members of each element of placeable
	index        []int16            // hash table over the IDs: index in Members + 1, 0 if free
	// vacant is set if the domain has no live instance and the instance list shows none
	// either. Other domains then dispatch its backend servers.
	vacant bool
}

// View is an immutable snapshot of the membership. Version increases with every change,
// also across restarts of the instance, but is not comparable between instances.
type View struct {
	Version uint64
	Domains []Domain // sorted by name

	flowDomains []placement.Member // reachable domains with placeable members
	flowIdx     []int32
	liveDomains []placement.Member // domains with placeable members that are not vacant
	liveIdx     []int32
}

// newDomain precomputes the placement of a domain, so that lookups do not allocate. It
// sorts members in place and retains the slice.
func newDomain(name string, weight uint32, members []Entry, reachable, vacant bool) Domain {
	slices.SortFunc(members, func(a, b Entry) int { return strings.Compare(a.ID, b.ID) })
	d := Domain{Name: name, Weight: weight, Members: members, Reachable: reachable, vacant: vacant,
		index: make([]int16, 2<<bits.Len(uint(len(members))))}
	for i := range members {
		slot := d.slot(hashID(members[i].ID))
		for d.index[slot] != 0 {
			slot = d.slot(uint64(slot) + 1)
		}
		d.index[slot] = int16(i + 1)
		if members[i].placeable() && members[i].Weight > 0 {
			d.placeableIdx = append(d.placeableIdx, int32(i))
		}
	}
	// placement.Pick is cheaper if members of equal weight are adjacent.
	slices.SortStableFunc(d.placeableIdx, func(a, b int32) int { return cmp.Compare(members[a].Weight, members[b].Weight) })
	d.placeable = make([]placement.Member, len(d.placeableIdx))
	for i, j := range d.placeableIdx {
		d.placeable[i] = placement.NewMember(members[j].ID, members[j].Weight)
	}
	return d
}

func (d *Domain) slot(hash uint64) int { return int(hash & uint64(len(d.index)-1)) }

// find returns the index in Members of the instance with the ID and its hash.
func (d *Domain) find(id string, hash uint64) (int, bool) {
	if len(d.index) == 0 {
		return 0, false
	}
	for slot := d.slot(hash); d.index[slot] != 0; slot = d.slot(uint64(slot) + 1) {
		if i := int(d.index[slot]) - 1; d.Members[i].ID == id {
			return i, true
		}
	}
	return 0, false
}

// newView retains domains, which must be sorted by name.
func newView(version uint64, domains []Domain) *View {
	v := &View{Version: version, Domains: domains}
	for i := range domains {
		d := &domains[i]
		if len(d.placeable) == 0 || d.vacant {
			continue
		}
		m := placement.NewMember(d.Name, d.Weight)
		v.liveDomains = append(v.liveDomains, m)
		v.liveIdx = append(v.liveIdx, int32(i))
		if d.Reachable {
			v.flowDomains = append(v.flowDomains, m)
			v.flowIdx = append(v.flowIdx, int32(i))
		}
	}
	return v
}

func (d *Domain) pick(key uint64) (Entry, bool) {
	i := placement.Pick(key, d.placeable)
	if i < 0 {
		return Entry{}, false
	}
	return d.Members[d.placeableIdx[i]], true
}

// Owner returns the owner of the flow. It first selects a reachable domain and then an
// instance in it, so that a change in one domain does not move the flows of another. It
// does not allocate.
func (v *View) Owner(flowKey uint64) (Entry, bool) {
	i := placement.Pick(flowKey, v.flowDomains)
	if i < 0 {
		return Entry{}, false
	}
	return v.Domains[v.flowIdx[i]].pick(flowKey)
}

// Standby returns the standby instance, which takes the flow over when its owner dies: the
// second choice in the owner's domain, or the first choice in the next domain if the
// owner's domain has no other instance. It does not allocate.
func (v *View) Standby(flowKey uint64) (Entry, bool) {
	first, second := placement.Top2(flowKey, v.flowDomains)
	if first < 0 {
		return Entry{}, false
	}
	d := &v.Domains[v.flowIdx[first]]
	if _, i := placement.Top2(flowKey, d.placeable); i >= 0 {
		return d.Members[d.placeableIdx[i]], true
	}
	if second < 0 {
		return Entry{}, false
	}
	return v.Domains[v.flowIdx[second]].pick(flowKey)
}

// Dispatcher returns the instance that dispatches a backend server of a domain. An
// unreachable domain keeps its servers, because it may be partitioned and still
// dispatching. The servers of a vacant domain are dispatched by the next domain, whose
// choice does not depend on reachability, so that both sides of a partition agree. It
// does not allocate.
func (v *View) Dispatcher(domain, server string) (Entry, bool) {
	key := placement.Key("server", server)
	d := v.domain(domain)
	if d == nil {
		return Entry{}, false
	}
	if !d.vacant {
		return d.pick(key)
	}
	i := placement.Pick(key, v.liveDomains)
	if i < 0 {
		return Entry{}, false
	}
	return v.Domains[v.liveIdx[i]].pick(key)
}

// Member returns the entry of an instance.
func (v *View) Member(id string) (Entry, bool) {
	hash := hashID(id)
	for i := range v.Domains {
		if j, ok := v.Domains[i].find(id, hash); ok {
			return v.Domains[i].Members[j], true
		}
	}
	return Entry{}, false
}

func (v *View) domain(name string) *Domain {
	i, ok := slices.BinarySearchFunc(v.Domains, name, func(d Domain, n string) int { return strings.Compare(d.Name, n) })
	if !ok {
		return nil
	}
	return &v.Domains[i]
}
