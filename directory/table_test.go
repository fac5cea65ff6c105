package directory

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// history draws a random sequence of records in the order of their store revisions.
func history(t *rapid.T) []Record {
	n := rapid.IntRange(1, 40).Draw(t, "records")
	var out []Record
	for revision := range n {
		key := fmt.Sprint("k", rapid.IntRange(0, 5).Draw(t, "key"))
		r := Record{Key: key, Revision: Position(revision + 1), Removed: rapid.IntRange(0, 3).Draw(t, "removed") == 0}
		if !r.Removed {
			r.Value = []byte(fmt.Sprint("v", revision))
		}
		out = append(out, r)
	}
	return out
}

func state(t *Table) map[string]Record {
	out := make(map[string]Record)
	for key, e := range t.entries {
		r := e.Record
		r.Value = nil // the value of a removed record depends on which records were seen before
		if !r.Removed {
			r.Value = e.Value
		}
		out[key] = r
	}
	return out
}

// Guards against instances that disagree after receiving the same records in a different
// order, twice, or through other instances.
func TestMergeIsIndependentOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := history(t)
		inOrder, reordered := NewTable(time.Hour), NewTable(time.Hour)
		inOrder.merge(0, records)
		for _, r := range rapid.Permutation(append(records, records...)).Draw(t, "order") {
			reordered.merge(0, []Record{r})
		}
		if diff := cmp.Diff(state(inOrder), state(reordered)); diff != "" {
			t.Fatal(diff)
		}
		relayed := NewTable(time.Hour)
		relayed.merge(0, reordered.Since(0))
		if diff := cmp.Diff(state(inOrder), state(relayed)); diff != "" {
			t.Fatal(diff)
		}
	})
}

// Guards against records that reappear or disappear when a listing is read instead of the
// changes because the store has discarded its history.
func TestReplaceAgreesWithChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := history(t)
		seen := rapid.IntRange(0, len(records)).Draw(t, "cut")
		all, listed := NewTable(time.Hour), NewTable(time.Hour)
		all.merge(0, records)
		listed.merge(0, records[:seen])
		var listing []Record
		for _, r := range state(all) {
			if !r.Removed {
				listing = append(listing, r)
			}
		}
		listed.Replace(0, listing, Position(len(records)))
		for key, r := range state(all) {
			got, known := listed.Get(key)
			if known == r.Removed || known && !bytes.Equal(got.Value, r.Value) {
				t.Fatalf("key %s: listed %v %q, want removed %v %q", key, known, got.Value, r.Removed, r.Value)
			}
		}
		if listed.AsOf() != Position(len(records)) {
			t.Fatalf("table is complete up to revision %d, want %d", listed.AsOf(), len(records))
		}
	})
}

// Guards against a listing of an earlier revision that removes a record written since.
func TestReplaceKeepsNewerRecords(t *testing.T) {
	table := NewTable(time.Hour)
	table.merge(0, []Record{{Key: "new", Value: []byte("x"), Revision: 12}})
	table.Replace(0, nil, 10)
	if _, ok := table.Get("new"); !ok {
		t.Error("a listing of revision 10 removed the record of revision 12")
	}
}

// Guards against a table that lacks a record up to its complete revision. This happened when
// the instance that read the store had already received the record from another one and
// passed on only the records that were new to itself.
func TestUpdatesLeaveNoGap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := history(t)
		tables := []*Table{NewTable(time.Hour), NewTable(time.Hour), NewTable(time.Hour)}
		written := 0
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			written = min(len(records), written+rapid.IntRange(0, 3).Draw(t, "written"))
			watcher := tables[rapid.IntRange(0, 2).Draw(t, "watcher")]
			u := Update{Base: watcher.AsOf(), AsOf: max(Position(written), watcher.AsOf())}
			for _, r := range records[:written] {
				if r.Revision > u.Base {
					u.Records = append(u.Records, r)
				}
			}
			u.Records = Latest(u.Records)
			watcher.Apply(0, u)
			out := watcher.WithDeltas(u)
			for _, other := range tables {
				if rapid.Bool().Draw(t, "arrives") {
					other.Apply(0, out)
				}
			}
			for _, table := range tables {
				checkComplete(t, table, records)
			}
		}
	})
}

// checkComplete fails if the table lacks a change up to its complete revision.
func checkComplete(t *rapid.T, table *Table, records []Record) {
	last := make(map[string]Record)
	for _, r := range records {
		if r.Revision <= table.AsOf() {
			last[r.Key] = r
		}
	}
	for key, r := range last {
		if e := table.entries[key]; e == nil || e.Revision < r.Revision {
			t.Fatalf("table is complete up to %d but lacks revision %d of %s", table.AsOf(), r.Revision, key)
		}
	}
}

// Guards against losing the values of removed servers, whose flows continue.
func TestRemovedRecordsKeepTheirValueForTheRetention(t *testing.T) {
	table := NewTable(time.Minute)
	table.merge(0, []Record{{Key: "s", Value: []byte("address"), Revision: 1}})
	table.merge(time.Second, []Record{{Key: "s", Revision: 2, Removed: true}})
	if _, ok := table.Get("s"); ok {
		t.Error("a removed record is returned")
	}
	if got := table.Since(1); len(got) != 1 || string(got[0].Value) != "address" {
		t.Errorf("records since 1: %v", got)
	}
	table.Expire(time.Minute)
	if len(table.Since(0)) != 1 {
		t.Error("removed record deleted before the end of the retention time")
	}
	table.Expire(time.Minute + 2*time.Second)
	if len(table.Since(0)) != 0 {
		t.Error("removed record kept after the end of the retention time")
	}
}

func configuration(routes []int) []byte {
	var b bytes.Buffer
	b.WriteString(`{"version":1,"routes":[`)
	for _, r := range routes {
		fmt.Fprintf(&b, `{"name":"route-%d","host":"10.0.0.%d","split":[{"service":"a","weight":%d}]},`, r, r, r)
	}
	b.WriteString(`],"limits":{}}`)
	return b.Bytes()
}

// Guards against a value that differs after it was sent as a delta, and against a delta that
// is applied to the wrong base.
func TestDeltaRebuildsTheValue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routes := rapid.SliceOfN(rapid.IntRange(0, 60), 10, 60)
		old, changed := configuration(routes.Draw(t, "old")), configuration(routes.Draw(t, "new"))
		from, to := NewTable(time.Hour), NewTable(time.Hour)
		from.merge(0, []Record{{Key: "c", Value: old, Revision: 3}})
		to.merge(0, []Record{{Key: "c", Value: old, Revision: 3}})
		merged, _ := from.merge(0, []Record{{Key: "c", Value: changed, Revision: 5}})
		sent := from.WithDeltas(Update{Records: merged}).Records
		if _, complete := to.merge(0, sent); !complete {
			t.Fatal("the delta was not applied")
		}
		if got, _ := to.Get("c"); !bytes.Equal(got.Value, changed) || got.Revision != 5 {
			t.Fatalf("got revision %d, %s", got.Revision, got.Value)
		}
		behind := NewTable(time.Hour)
		behind.merge(0, []Record{{Key: "c", Value: changed, Revision: 2}})
		if len(changed) >= minDeltaBytes {
			if applied, complete := behind.merge(0, sent); complete || len(applied) > 0 {
				t.Fatal("a delta was applied to another revision")
			}
		}
	})
}

// Guards against sending the whole configuration when one route changes, which saturates the
// links of small instances.
func TestDeltaOfOneRouteIsSmall(t *testing.T) {
	routes := make([]int, 240)
	for i := range routes {
		routes[i] = i
	}
	old := configuration(routes)
	routes[100] = 999
	size := 0
	for _, p := range diff(old, configuration(routes)) {
		size += 8 + len(p.Insert)
	}
	if size > 400 {
		t.Errorf("%d bytes for one of %d routes, the value has %d", size, len(routes), len(old))
	}
}

// Guards against a part outside of the base, sent by a faulty peer.
func TestDeltaOutsideOfBase(t *testing.T) {
	for _, p := range []Part{{Offset: 5, Length: 10}, {Offset: -1, Length: 3}, {Offset: 1 << 40, Length: 1}} {
		d := Delta{Parts: []Part{p}}
		if _, ok := d.apply([]byte("0123456789")); ok {
			t.Errorf("part %+v was applied", p)
		}
	}
}

// Guards against outdated versions of a key that are kept in an update during a burst of
// changes.
func TestLatest(t *testing.T) {
	got := Latest([]Record{{Key: "a", Revision: 1}, {Key: "b", Revision: 2}, {Key: "a", Revision: 3}})
	if diff := cmp.Diff([]Record{{Key: "b", Revision: 2}, {Key: "a", Revision: 3}}, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against a server that left and comes back: an instance that was cut off for longer
// than the retention time pulls from one that has deleted the removal.
func TestCutOffTableLearnsOfRemovals(t *testing.T) {
	const retention = time.Minute
	current, cutOff := NewTable(retention), NewTable(retention)
	before := Update{Base: 0, AsOf: 2, Records: []Record{{Key: "servers/a", Value: []byte("a"), Revision: 1}, {Key: "servers/b", Value: []byte("b"), Revision: 2}}}
	current.Apply(0, before)
	cutOff.Apply(0, before)
	current.Apply(0, Update{Base: 2, AsOf: 3, Records: []Record{{Key: "servers/a", Revision: 3, Removed: true}}})
	current.Expire(2 * retention)
	cutOff.Apply(2*retention, current.UpdateSince(cutOff.AsOf()))
	if r, ok := cutOff.Get("servers/a"); ok {
		t.Errorf("the removed record is in force again: %v", r)
	}
	if _, ok := cutOff.Get("servers/b"); !ok || cutOff.AsOf() != 3 {
		t.Errorf("after the pull: b known %v, complete up to %d; want true, 3", ok, cutOff.AsOf())
	}
}

// Guards against a server that left and stays in use: an instance that has listed the store does
// not know which records were removed before, and a peer that is behind pulls from it.
func TestPullFromAListedTableIncludesRemovals(t *testing.T) {
	behind, listed := NewTable(time.Hour), NewTable(time.Hour)
	behind.Apply(0, Update{AsOf: 5, Records: []Record{{Key: "servers/a", Value: []byte("a"), Revision: 4}, {Key: "servers/b", Value: []byte("b"), Revision: 5}}})
	listed.Replace(0, []Record{{Key: "servers/b", Value: []byte("b"), Revision: 5}}, 7)
	behind.Apply(0, listed.UpdateSince(behind.AsOf()))
	if r, ok := behind.Get("servers/a"); ok || behind.AsOf() != 7 {
		t.Errorf("after the pull: record %v known %v, complete up to %v; want none, 0/7", r, ok, behind.AsOf())
	}
}
