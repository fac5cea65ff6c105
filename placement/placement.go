// Package placement implements weighted rendezvous hashing: all instances with the same
// list of members compute the same owner for a key without communication, and a change of
// one member moves only the keys that it gains or loses.
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
	idHash uint64
}

// NewMember returns a member whose share of the keys is proportional to weight.
// A member of weight 0 owns nothing.
func NewMember(id string, weight uint32) Member {
	return Member{ID: id, Weight: weight, idHash: xxhash.Sum64String(id)}
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

// draw returns 53 pseudorandom bits for the member and key. The result is signed because
// converting an unsigned integer to float64 costs a branch.
func (m *Member) draw(key uint64) int64 { return int64(mix(key^m.idHash) >> 11) }

const drawUnit = 1.0 / (1 << 53)

// score returns the rendezvous score of a draw. The member with the highest score owns the
// key: -weight/ln(u) with u uniform in (0,1) gives shares proportional to the weights.
func score(weight uint32, draw int64) float64 {
	if weight == 0 {
		return math.Inf(-1)
	}
	return -float64(int64(weight)) / math.Log((float64(draw)+0.5)*drawUnit)
}

// cannotExceed reports whether score(weight, draw) is known to be at most best, without
// computing a logarithm: -ln(u) >= 1-u, hence score <= weight/(1-u). The bound is tight for
// high draws, which are the ones that win, so few members need the logarithm.
func cannotExceed(weight uint32, draw int64, best float64) bool {
	return float64(int64(weight)) <= best*drawUnit*float64(1<<53-draw)
}

// mix is a hash finalizer with full avalanche: two rounds of multiplying and folding.
func mix(x uint64) uint64 {
	hi, lo := bits.Mul64(x^0x9e3779b97f4a7c15, 0xd6e8feb86659fd93)
	hi, lo = bits.Mul64(hi^lo, 0xa0761d6478bd642f)
	return hi ^ lo
}

// Pick returns the index of the owner of key, or -1 if no weight is above 0. Among members of
// equal weight, the highest draw has the highest score, so only the highest draw in each
// run of equal weights is scored. Pick is fastest if members are sorted by weight.
func Pick(key uint64, members []Member) int {
	first, best := -1, 0.0
	for i := 0; i < len(members); {
		weight := members[i].Weight
		top, draw := i, members[i].draw(key)
		for i++; i < len(members) && members[i].Weight == weight; i++ {
			if d := members[i].draw(key); d > draw {
				top, draw = i, d
			}
		}
		if cannotExceed(weight, draw, best) {
			continue
		}
		if s := score(weight, draw); s > best {
			first, best = top, s
		}
	}
	return first
}

// Top2 returns the indexes of the two members with the highest scores for key, or -1
// where there is none.
func Top2(key uint64, members []Member) (first, second int) {
	first, second = -1, -1
	best, secondBest := 0.0, 0.0
	consider := func(i int, weight uint32, draw int64) {
		if draw < 0 || cannotExceed(weight, draw, secondBest) {
			return
		}
		s := score(weight, draw)
		switch {
		case s > best:
			second, secondBest = first, best
			first, best = i, s
		case s > secondBest:
			second, secondBest = i, s
		}
	}
	for i := 0; i < len(members); {
		weight := members[i].Weight
		top, draw := i, members[i].draw(key)
		top2, draw2 := -1, int64(-1)
		for i++; i < len(members) && members[i].Weight == weight; i++ {
			if d := members[i].draw(key); d > draw2 {
				if d > draw {
					top2, draw2 = top, draw
					top, draw = i, d
				} else {
					top2, draw2 = i, d
				}
			}
		}
		consider(top, weight, draw)
		consider(top2, weight, draw2)
	}
	return first, second
}

// Rank appends the indexes of all members with a weight above 0 to dst, highest score
// first.
func Rank(key uint64, members []Member, dst []int) []int {
	type scored struct {
		index int
		score float64
	}
	order := make([]scored, 0, len(members))
	for i := range members {
		if members[i].Weight > 0 {
			order = append(order, scored{i, score(members[i].Weight, members[i].draw(key))})
		}
	}
	slices.SortFunc(order, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	for _, o := range order {
		dst = append(dst, o.index)
	}
	return dst
}
