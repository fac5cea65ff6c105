package flow

import "hash/maphash"

// A cell of the index contains a slot number in its lower 20 bits and a tag from the hash
// in its upper bits. The tag avoids most accesses to entries with another key.
const (
	slotBits = 20
	maxSlot  = 1<<slotBits - 1
	tagMask  = ^uint32(maxSlot)

	minCells = 16
)

// index is a hash table with linear probing that maps flow keys to slots. The hash has a
// random seed, so that callers cannot choose addresses that collide.
type index struct {
	seed  maphash.Seed
	cells []uint32 // 0: empty
	count int
}

func (x *index) hash(k *packedKey) uint64 { return maphash.Bytes(x.seed, k[:]) }

func tagOf(hash uint64) uint32 { return uint32(hash>>32) & tagMask }

// homeCell returns the first cell to probe. It uses the middle bits of the hash, because
// the lowest bits select the shard and the upper bits form the tag.
func (x *index) homeCell(hash uint64) uint32 { return uint32(hash>>12) & uint32(len(x.cells)-1) }

// find returns the slot of the flow with the key, or 0.
func (x *index) find(hash uint64, entries *slab[flowEntry], key *packedKey) uint32 {
	if len(x.cells) == 0 {
		return 0
	}
	tag, mask := tagOf(hash), uint32(len(x.cells)-1)
	for i := x.homeCell(hash); x.cells[i] != 0; i = (i + 1) & mask {
		if c := x.cells[i]; c&tagMask == tag && entries.at(c&maxSlot).key == *key {
			return c & maxSlot
		}
	}
	return 0
}

func (x *index) insert(hash uint64, slot uint32, entries *slab[flowEntry]) {
	// The tags make long probe sequences cheap, so the load factor may reach 7/8.
	if 8*(x.count+1) > 7*len(x.cells) {
		old := x.cells
		x.cells = make([]uint32, max(minCells, 2*len(old)))
		for _, c := range old {
			if c != 0 {
				x.place(x.hash(&entries.at(c&maxSlot).key), c&maxSlot)
			}
		}
	}
	x.place(hash, slot)
	x.count++
}

func (x *index) place(hash uint64, slot uint32) {
	mask := uint32(len(x.cells) - 1)
	i := x.homeCell(hash)
	for x.cells[i] != 0 {
		i = (i + 1) & mask
	}
	x.cells[i] = tagOf(hash) | slot
}

// remove deletes a slot and moves later cells of the probe sequence back towards their
// home cells, so that no markers for deleted cells are needed.
func (x *index) remove(hash uint64, slot uint32, entries *slab[flowEntry]) {
	mask := uint32(len(x.cells) - 1)
	i := x.homeCell(hash)
	for x.cells[i]&maxSlot != slot {
		i = (i + 1) & mask
	}
	x.count--
	for hole := i; ; {
		x.cells[hole] = 0
		for i = (hole + 1) & mask; ; i = (i + 1) & mask {
			c := x.cells[i]
			if c == 0 {
				return
			}
			home := x.homeCell(x.hash(&entries.at(c & maxSlot).key))
			// A cell may move to the hole unless its home cell lies after the hole.
			if (i-home)&mask >= (i-hole)&mask {
				x.cells[hole] = c
				hole = i
				break
			}
		}
	}
}
