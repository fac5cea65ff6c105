// Package placement implements weighted rendezvous hashing: every instance that
// knows the same members computes the same owner of a key without communication,
// and a change of one member moves only the keys that it gains or loses.
package placement

import (
	"cmp"
	"math"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is a candidate owner of keys.
type Member struct {
	ID     string
	Weight uint32
	seed   uint64
}

// NewMember returns a member whose share of the keys is proportional to weight.
// A member of weight 0 owns nothing.
func NewMember(id string, weight uint32) Member {
	return Member{ID: id, Weight: weight, seed: xxhash.Sum64String(id)}
}

// Key hashes parts into a placement key. Parts are length-delimited, so ("ab","c")
// and ("a","bc") differ.
func Key(parts ...string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, p := range parts {
		n := uint32(len(p))
		d.Write([]byte{byte(n), byte(n >> 8), byte(n >> 16), byte(n >> 24)})
		d.WriteString(p)
	}
	return d.Sum64()
}

// score returns the rendezvous score of member m for key; the highest score owns
// the key. -weight/ln(u) with u uniform in (0,1) gives shares proportional to the
// weights.
func (m *Member) score(key uint64) float64 {
	if m.Weight == 0 {
		return math.Inf(-1)
	}
	u := (float64(mix(key^m.seed)>>11) + 0.5) * (1.0 / (1 << 53))
	return -float64(m.Weight) / math.Log(u)
}

// mix is a finalizer with full avalanche (two rounds of multiply and fold).
func mix(x uint64) uint64 {
	hi, lo := bits.Mul64(x^0x9e3779b97f4a7c15, 0xd6e8feb86659fd93)
	hi, lo = bits.Mul64(hi^lo, 0xa0761d6478bd642f)
	return hi ^ lo
}

// Pick returns the index of the owner of key, or -1 if no member has weight.
func Pick(key uint64, members []Member) int {
	first, _ := Top2(key, members)
	return first
}

// Top2 returns the indexes of the two best members for key, -1 where there is none.
func Top2(key uint64, members []Member) (first, second int) {
	first, second = -1, -1
	best, next := math.Inf(-1), math.Inf(-1)
	for i := range members {
		s := members[i].score(key)
		switch {
		case s > best:
			second, next = first, best
			first, best = i, s
		case s > next:
			second, next = i, s
		}
	}
	return first, second
}

// Rank appends the indexes of all members with weight to dst, best first.
func Rank(key uint64, members []Member, dst []int) []int {
	type scored struct {
		index int
		score float64
	}
	order := make([]scored, 0, len(members))
	for i := range members {
		if members[i].Weight > 0 {
			order = append(order, scored{i, members[i].score(key)})
		}
	}
	slices.SortFunc(order, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	for _, o := range order {
		dst = append(dst, o.index)
	}
	return dst
}
