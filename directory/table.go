// Package directory holds the records that instances read from the platform's store and
// exchange with each other. When records of one key are merged, the later position wins within
// an era of the store and the writer's order between eras, so they may arrive from any source in
// any order without reverting to an older value. The package performs no I/O.
package directory

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Record is a key's value at a position of the store's changes. A removed record keeps the last
// known value, because open flows outlive the records of their servers.
type Record struct {
	Key      string
	Value    []byte
	Revision Position
	Removed  bool
	// Unconfirmed marks a record that was removed in an earlier era and is back in the store with a
	// value of that time: the copy is older than the removal, so the writer may be gone.
	Unconfirmed bool
	// Delta replaces Value in updates between instances.
	Delta *Delta
}

type entry struct {
	Record
	removedAt time.Duration
	previous  Record // the record before this one, as the base of deltas
}

// Table is an instance's copy of the records. It is not safe for concurrent use. Times are
// monotonic durations since the start of the process.
type Table struct {
	retention time.Duration
	entries   map[string]*entry
	asOf      Position
	// forgotten is the position up to which the table may lack removals: those that were deleted
	// after the retention time, and those before the listing that the table began with.
	forgotten Position
	order     func(key string, value []byte) WriterOrder // nil if values have no order
}

// NewTable returns an empty table that keeps removed records for the retention time.
func NewTable(retention time.Duration) *Table {
	return &Table{retention: retention, entries: make(map[string]*entry)}
}

// AsOf returns the position up to which the table is complete.
func (t *Table) AsOf() Position { return t.asOf }

// Update holds all changes of the store after position Base up to AsOf.
type Update struct {
	Base, AsOf Position
	Records    []Record
	// Complete marks an update after which nothing else exists at AsOf but its records and those
	// whose keys have a hash in Kept: others were removed before.
	Complete bool
	Kept     []uint64
}

// UpdateSince returns the changes after a position; 0 stands for all records. The update is
// complete if this table may not know all removals since then, as the receiver would keep the
// records of servers that left, and if the position is of an earlier era, as the store may have
// lost what the receiver has.
func (t *Table) UpdateSince(base Position) Update {
	u := Update{Base: base, AsOf: t.asOf, Records: t.Since(base)}
	if u.Complete = t.asOf > 0 && (base == 0 || base < t.forgotten || base.Era() < t.asOf.Era()); !u.Complete {
		return u
	}
	for key, e := range t.entries {
		if !e.Removed && e.Revision <= base {
			u.Kept = append(u.Kept, xxhash.Sum64String(key))
		}
	}
	return u
}

// Apply applies an update and returns the records that changed the table. The table becomes
// complete up to the update's position only if it was complete up to the update's base in the
// same era and every delta could be expanded.
func (t *Table) Apply(now time.Duration, u Update) []Record {
	if u.Complete {
		return t.replace(now, u.Records, u.Kept, u.AsOf)
	}
	changed, expanded := t.merge(now, u.Records)
	sameEra := t.asOf == 0 || t.asOf.Era() == u.AsOf.Era()
	if expanded && sameEra && u.Base <= t.asOf {
		t.asOf = max(t.asOf, u.AsOf)
	}
	if u.Base == 0 {
		t.forgotten = max(t.forgotten, u.AsOf)
	}
	return changed
}

// merge applies records and returns those that changed the table; expanded is false if a
// record was skipped because its delta could not be expanded.
func (t *Table) merge(now time.Duration, records []Record) (changed []Record, expanded bool) {
	expanded = true
	for _, r := range records {
		if !t.expand(&r) {
			expanded = false
			continue
		}
		if t.put(now, &r) {
			changed = append(changed, r)
		}
	}
	return changed, expanded
}

// expand replaces a record's delta by the value that it describes. It returns false if the
// table lacks the delta's base.
func (t *Table) expand(r *Record) bool {
	if r.Delta == nil {
		return true
	}
	known := t.entries[r.Key]
	if known == nil {
		return false
	}
	if known.Revision >= r.Revision {
		return true // put ignores it
	}
	if known.Revision != r.Delta.Base || xxhash.Sum64(known.Value) != r.Delta.BaseSum {
		return false
	}
	value, ok := r.Delta.apply(known.Value)
	r.Value, r.Delta = value, nil
	return ok
}

// minDeltaBytes is the size from which a value is sent as a delta.
const minDeltaBytes = 512

// WithDeltas returns the update in the form that is sent to other instances, with large values
// replaced by deltas. It includes the records that did not change this table, because they
// may be new to others.
func (t *Table) WithDeltas(u Update) Update {
	out := Update{Base: u.Base, AsOf: u.AsOf, Records: make([]Record, len(u.Records))}
	for i, r := range u.Records {
		out.Records[i] = r
		e := t.entries[r.Key]
		if e == nil || r.Removed || len(r.Value) < minDeltaBytes || e.previous.Value == nil || e.Revision != r.Revision {
			continue
		}
		out.Records[i].Value, out.Records[i].Delta = nil, newDelta(&e.previous, r.Value)
	}
	return out
}

// put stores a record unless it is outdated, and reports whether the stored value changed. A
// removal keeps the last known value.
func (t *Table) put(now time.Duration, r *Record) bool {
	known := t.entries[r.Key]
	if known == nil {
		known = new(entry)
		t.entries[r.Key] = known
	} else if r.Revision.Era() != known.Revision.Era() {
		*r = t.mergeEras(&known.Record, r)
		if r.Removed == known.Removed && r.Unconfirmed == known.Unconfirmed && bytes.Equal(r.Value, known.Value) {
			known.Revision = r.Revision
			return false
		}
	} else if !t.isNewer(r, &known.Record) {
		return false
	}
	if r.Removed {
		known.removedAt = now
		if r.Value == nil || t.compareValues(r, &known.Record) < 0 {
			r.Value = known.Value
		}
	}
	known.previous = Record{}
	if len(known.Value) >= minDeltaBytes {
		known.previous = known.Record
	}
	known.Record = *r
	return true
}

// isNewer reports whether a record replaces the known one of the same era. Two records with one
// position differ if only one of their tables knew the key before the store was restored.
func (t *Table) isNewer(r, known *Record) bool {
	if r.Revision != known.Revision || r.Removed || known.Removed {
		return r.Revision > known.Revision
	}
	order := t.compareValues(r, known)
	return order > 0 || order == 0 && r.Unconfirmed && !known.Unconfirmed
}

// Replace applies a complete listing of the store that was started at position asOf. Records
// that are missing from the listing and older than asOf count as removed. It returns the
// records that changed the table.
func (t *Table) Replace(now time.Duration, listing []Record, asOf Position) []Record {
	return t.replace(now, listing, nil, asOf)
}

func (t *Table) replace(now time.Duration, listing []Record, kept []uint64, asOf Position) []Record {
	listed := make(map[uint64]bool, len(listing)+len(kept))
	for _, hash := range kept {
		listed[hash] = true
	}
	for _, r := range listing {
		if !r.Removed {
			listed[xxhash.Sum64String(r.Key)] = true
		}
	}
	changed, expanded := t.merge(now, listing)
	for _, key := range slices.Sorted(maps.Keys(t.entries)) {
		e := t.entries[key]
		if e.Removed || e.Revision >= asOf || listed[xxhash.Sum64String(key)] {
			continue
		}
		removal := Record{Key: key, Revision: asOf, Removed: true}
		if t.put(now, &removal) {
			changed = append(changed, removal)
		}
	}
	if expanded {
		t.asOf = max(t.asOf, asOf)
	}
	t.forgotten = max(t.forgotten, asOf)
	return changed
}

// Since returns the records with a later position, ordered by position.
func (t *Table) Since(position Position) []Record {
	var out []Record
	for _, e := range t.entries {
		if e.Revision > position {
			out = append(out, e.Record)
		}
	}
	slices.SortFunc(out, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key))
	})
	return out
}

// Latest returns only the last record of each key, reusing the slice.
func Latest(records []Record) []Record {
	last := make(map[string]int, len(records))
	for i, r := range records {
		last[r.Key] = i
	}
	out := records[:0]
	for i, r := range records {
		if last[r.Key] == i {
			out = append(out, r)
		}
	}
	return out
}

// Get returns a record unless it is unknown or removed.
func (t *Table) Get(key string) (Record, bool) {
	e := t.entries[key]
	if e == nil || e.Removed {
		return Record{}, false
	}
	return e.Record, true
}

// Expire deletes removed records that are older than the retention time.
func (t *Table) Expire(now time.Duration) {
	for key, e := range t.entries {
		if e.Removed && now-e.removedAt > t.retention {
			t.forgotten = max(t.forgotten, e.Revision)
			delete(t.entries, key)
		}
	}
}
