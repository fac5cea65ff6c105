// Package directory holds the records that instances read from the platform's store and
// exchange with each other. When records of one key are merged, the higher revision wins, so
// they may arrive from any source in any order without reverting to an older value. The
// package performs no I/O.
package directory

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Record is a key's value at a revision of the store. A removed record keeps the last known
// value, because open flows outlive the records of their servers.
type Record struct {
	Key      string
	Value    []byte
	Revision uint64
	Removed  bool
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
	asOf      uint64
	// forgotten is the highest revision of a removed record that was deleted.
	forgotten uint64
}

// NewTable returns an empty table that keeps removed records for the retention time.
func NewTable(retention time.Duration) *Table {
	return &Table{retention: retention, entries: make(map[string]*entry)}
}

// AsOf returns the revision up to which the table is complete.
func (t *Table) AsOf() uint64 { return t.asOf }

// Update holds all changes of the store after revision Base up to AsOf.
type Update struct {
	Base, AsOf uint64
	Records    []Record
	// Complete marks the records as all that exist at AsOf: others were removed before.
	Complete bool
}

// UpdateSince returns the changes after a revision. If removals since then have been deleted
// from the table, the update is complete instead: a receiver that was cut off for longer than
// the retention time would keep the records of servers that left.
func (t *Table) UpdateSince(base uint64) Update {
	if base > 0 && base < t.forgotten {
		return Update{AsOf: t.asOf, Records: t.Since(0), Complete: true}
	}
	return Update{Base: base, AsOf: t.asOf, Records: t.Since(base)}
}

// Apply applies an update and returns the records that changed the table. The table becomes
// complete up to the update's revision only if it was complete up to the update's base and
// every delta could be expanded.
func (t *Table) Apply(now time.Duration, u Update) []Record {
	if u.Complete {
		return t.Replace(now, u.Records, u.AsOf)
	}
	changed, expanded := t.merge(now, u.Records)
	if expanded && u.Base <= t.asOf {
		t.asOf = max(t.asOf, u.AsOf)
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
	if known.Revision != r.Delta.Base {
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
		out.Records[i].Value, out.Records[i].Delta = nil, &Delta{Base: e.previous.Revision, Parts: diff(e.previous.Value, r.Value)}
	}
	return out
}

// put stores a record unless it is outdated, and reports whether it did. A removal without a
// value keeps the last known one.
func (t *Table) put(now time.Duration, r *Record) bool {
	known := t.entries[r.Key]
	if known != nil && r.Revision <= known.Revision {
		return false
	}
	if known == nil {
		known = new(entry)
		t.entries[r.Key] = known
	}
	if r.Removed {
		known.removedAt = now
		if r.Value == nil {
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

// Replace applies a complete listing of the store that was started at revision asOf. Records
// that are missing from the listing and older than asOf count as removed. It returns the
// records that changed the table.
func (t *Table) Replace(now time.Duration, listing []Record, asOf uint64) []Record {
	listed := make(map[string]bool, len(listing))
	for _, r := range listing {
		listed[r.Key] = true
	}
	changed, _ := t.merge(now, listing)
	for _, key := range slices.Sorted(maps.Keys(t.entries)) {
		e := t.entries[key]
		if listed[key] || e.Removed || e.Revision >= asOf {
			continue
		}
		removal := Record{Key: key, Revision: asOf, Removed: true}
		if t.put(now, &removal) {
			changed = append(changed, removal)
		}
	}
	t.asOf = max(t.asOf, asOf)
	return changed
}

// Since returns the records with a higher revision, ordered by revision.
func (t *Table) Since(revision uint64) []Record {
	var out []Record
	for _, e := range t.entries {
		if e.Revision > revision {
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
