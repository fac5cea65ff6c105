package directory

import (
	"bytes"
	"cmp"
)

// WriterOrder is the place of a value among all values that its writer has written under one key.
// Unlike a revision, it is a part of the value, so that a restore of the store does not change it.
type WriterOrder struct {
	Start  uint64 // start of the writer, if it counts anew after each start
	Number uint64
}

func (o WriterOrder) compare(other WriterOrder) int {
	return cmp.Or(cmp.Compare(o.Start, other.Start), cmp.Compare(o.Number, other.Number))
}

// OrderValuesBy sets the function that reads the writer's order from a value. It returns the zero
// order for values that have none.
func (t *Table) OrderValuesBy(order func(key string, value []byte) WriterOrder) { t.order = order }

// compareValues compares the writers' order of the last known values of two records of one key.
func (t *Table) compareValues(a, b *Record) int {
	if t.order == nil || bytes.Equal(a.Value, b.Value) {
		return 0
	}
	return t.valueOrder(a).compare(t.valueOrder(b))
}

func (t *Table) valueOrder(r *Record) WriterOrder {
	if r.Value == nil {
		return WriterOrder{}
	}
	return t.order(r.Key, r.Value)
}

// mergeEras combines two records of one key from different eras. The later era decides whether
// the key exists, because the store does not bring back what it lost. The writers' order decides
// which value holds: the copy that the store was restored from may have an older one than was
// acknowledged before.
func (t *Table) mergeEras(a, b *Record) Record {
	older, newer := a, b
	if older.Revision > newer.Revision {
		older, newer = newer, older
	}
	out := *newer
	order := t.compareValues(newer, older)
	if order < 0 {
		out.Value = older.Value
	}
	switch {
	case out.Removed:
	case older.Removed:
		out.Unconfirmed = newer.Unconfirmed || order <= 0
	case order < 0:
		out.Unconfirmed = older.Unconfirmed
	}
	return out
}
