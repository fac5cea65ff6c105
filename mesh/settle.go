package mesh

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/monsoonthread/monsoonthread/placement"
)

// Settles reports whether this instance is one of the settlers of the server with the cookie.
func (m *Mesh) Settles(now time.Duration, cookie uint32) bool {
	for _, p := range m.settlers(now, cookie) {
		if p.ID == m.cfg.Self.ID {
			return true
		}
	}
	return false
}

// Settlers returns the addresses of the peers that are settlers of the server with the cookie.
func (m *Mesh) Settlers(now time.Duration, cookie uint32) []netip.AddrPort {
	var out []netip.AddrPort
	for _, p := range m.settlers(now, cookie) {
		if p.ID != m.cfg.Self.ID {
			out = append(out, p.Address)
		}
	}
	return out
}

// settlers returns the two live instances of the own failure domain that probe the server for
// the others. With two, an answer is likely while the loss of one is not noticed yet.
func (m *Mesh) settlers(now time.Duration, cookie uint32) []*member {
	within := m.aliveTime()
	var alive []*member
	var candidates []placement.Member
	for _, p := range m.ranked[m.cfg.Self.Domain] {
		if p.ID == m.cfg.Self.ID || p.alive(now, within) {
			alive, candidates = append(alive, p), append(candidates, p.placement)
		}
	}
	var out []*member
	first, second := placement.Top2(placement.Key("settle", strconv.FormatUint(uint64(cookie), 10)), candidates)
	for _, i := range []int{first, second} {
		if i >= 0 {
			out = append(out, alive[i])
		}
	}
	return out
}
