package directory

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// history draws the records that a store produced, in the order of its revisions.
func history(t *rapid.T) []Record {
	n := rapid.IntRange(1, 40).Draw(t, "records")
	var out []Record
	for revision := range n {
		key := fmt.Sprint("k", rapid.IntRange(0, 5).Draw(t, "key"))
		r := Record{Key: key, Revision: uint64(revision + 1), Removed: rapid.IntRange(0, 3).Draw(t, "removed") == 0}
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
		r.Value = nil // the value of a removed record depends on what was seen
		if !r.Removed {
			r.Value = e.Value
		}
		out[key] = r
	}
	return out
}

// Guards against instances that disagree after hearing the same records in another
// order, twice, or through others.
func TestMergeIsIndependentOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := history(t)
		straight, shuffled := NewTable(time.Hour), NewTable(time.Hour)
		straight.merge(0, records)
		for _, r := range rapid.Permutation(append(records, records...)).Draw(t, "order") {
			shuffled.merge(0, []Record{r})
		}
		if diff := cmp.Diff(state(straight), state(shuffled)); diff != "" {
			t.Fatal(diff)
		}
		third := NewTable(time.Hour)
		third.merge(0, shuffled.Since(0))
		if diff := cmp.Diff(state(straight), state(third)); diff != "" {
			t.Fatal(diff)
		}
	})
}

// Guards against records that come back or vanish wrongly when the history was dropped
// and a listing is read instead of the changes.
func TestReplaceAgreesWithChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := history(t)
		cut := rapid.IntRange(0, len(records)).Draw(t, "cut")
		all, listed := NewTable(time.Hour), NewTable(time.Hour)
		all.merge(0, records)
		listed.merge(0, records[:cut])
		var listing []Record
		for _, r := range state(all) {
			if !r.Removed {
				listing = append(listing, r)
			}
		}
		listed.Replace(0, listing, uint64(len(records)))
		for key, r := range state(all) {
			got, known := listed.Get(key)
			if known == r.Removed || known && !bytes.Equal(got.Value, r.Value) {
				t.Fatalf("key %s: listed %v %q, want removed %v %q", key, known, got.Value, r.Removed, r.Value)
			}
		}
		if listed.AsOf() != uint64(len(records)) {
			t.Fatalf("complete up to %d of %d", listed.AsOf(), len(records))
		}
	})
}

// Guards against a listing of an earlier moment that removes a record written since.
func TestReplaceKeepsNewerRecords(t *testing.T) {
	table := NewTable(time.Hour)
	table.merge(0, []Record{{Key: "new", Value: []byte("x"), Revision: 12}})
	table.Replace(0, nil, 10)
	if _, ok := table.Get("new"); !ok {
		t.Error("the record of revision 12 is gone after a listing of revision 10")
	}
}

// Guards against a record that an instance lacks although its table says that it is
// complete: the instance that read the store had learned the record through another one
// before, and passed on only what was news to itself.
func TestUpdatesLeaveNoGap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := history(t)
		tables := []*Table{NewTable(time.Hour), NewTable(time.Hour), NewTable(time.Hour)}
		written := 0
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			written = min(len(records), written+rapid.IntRange(0, 3).Draw(t, "written"))
			watcher := tables[rapid.IntRange(0, 2).Draw(t, "watcher")]
			u := Update{Base: watcher.AsOf(), AsOf: max(uint64(written), watcher.AsOf())}
			for _, r := range records[:written] {
				if r.Revision > u.Base {
					u.Records = append(u.Records, r)
				}
			}
			u.Records = Latest(u.Records)
			watcher.Apply(0, u)
			out := watcher.Outgoing(u)
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

// checkComplete fails if the table lacks a change that it says to have.
func checkComplete(t *rapid.T, table *Table, records []Record) {
	last := make(map[string]Record)
	for _, r := range records {
		if r.Revision <= table.AsOf() {
			last[r.Key] = r
		}
	}
	for key, r := range last {
		if e := table.entries[key]; e == nil || e.Revision < r.Revision {
			t.Fatalf("complete up to %d without revision %d of %s", table.AsOf(), r.Revision, key)
		}
	}
}

// Guards against lost values of servers that left, whose flows go on.
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
		t.Error("forgotten before the retention")
	}
	table.Expire(time.Minute + 2*time.Second)
	if len(table.Since(0)) != 0 {
		t.Error("kept after the retention")
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

// Guards against a value that differs after it travelled as a delta, and against a delta
// that is applied to another base.
func TestDeltaRebuildsTheValue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routes := rapid.SliceOfN(rapid.IntRange(0, 60), 10, 60)
		old, changed := configuration(routes.Draw(t, "old")), configuration(routes.Draw(t, "new"))
		from, to := NewTable(time.Hour), NewTable(time.Hour)
		from.merge(0, []Record{{Key: "c", Value: old, Revision: 3}})
		to.merge(0, []Record{{Key: "c", Value: old, Revision: 3}})
		news, _ := from.merge(0, []Record{{Key: "c", Value: changed, Revision: 5}})
		sent := from.Outgoing(Update{Records: news}).Records
		if _, complete := to.merge(0, sent); !complete {
			t.Fatal("the delta was not applied")
		}
		if got, _ := to.Get("c"); !bytes.Equal(got.Value, changed) || got.Revision != 5 {
			t.Fatalf("got revision %d, %s", got.Revision, got.Value)
		}
		behind := NewTable(time.Hour)
		behind.merge(0, []Record{{Key: "c", Value: changed, Revision: 2}})
		if len(changed) >= deltaFrom {
			if news, complete := behind.merge(0, sent); complete || len(news) > 0 {
				t.Fatal("a delta was applied to another revision")
			}
		}
	})
}

// Guards against changes of one route that travel as the whole configuration, which fills
// the links of small instances.
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

// Guards against a part outside of the base, from a faulty peer.
func TestDeltaOutsideOfBase(t *testing.T) {
	for _, p := range []Part{{Offset: 5, Length: 10}, {Offset: -1, Length: 3}, {Offset: 1 << 40, Length: 1}} {
		d := Delta{Parts: []Part{p}}
		if _, ok := d.apply([]byte("0123456789")); ok {
			t.Errorf("part %+v was applied", p)
		}
	}
}

// Guards against storms in which only the last of many versions matters.
func TestLatest(t *testing.T) {
	got := Latest([]Record{{Key: "a", Revision: 1}, {Key: "b", Revision: 2}, {Key: "a", Revision: 3}})
	if diff := cmp.Diff([]Record{{Key: "b", Revision: 2}, {Key: "a", Revision: 3}}, got); diff != "" {
		t.Error(diff)
	}
}
