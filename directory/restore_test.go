package directory

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// testOrder reads the order of values of the form START.NUMBER.
func testOrder(_ string, value []byte) WriterOrder {
	start, number, _ := strings.Cut(string(value), ".")
	s, _ := strconv.ParseUint(start, 10, 64)
	n, _ := strconv.ParseUint(number, 10, 64)
	return WriterOrder{Start: s, Number: n}
}

func newOrderedTable() *Table {
	t := NewTable(time.Hour)
	t.OrderValuesBy(testOrder)
	return t
}

func at(era, revision uint64) Position {
	p, ok := NewPosition(era, revision)
	if !ok {
		panic("position out of range")
	}
	return p
}

// writer is the only writer of a key: it knows what it wrote last.
type writer struct {
	start, number int
	gone          bool
}

func (w *writer) value() []byte { return []byte(fmt.Sprint(w.start, ".", w.number)) }

// storeModel is a store that can be restored from an older copy.
type storeModel struct {
	era, revision uint64
	records       map[string]Record
	history       []Record // of the current era and of the copy that it began with
	writers       map[string]*writer
}

func (s *storeModel) write(r Record) {
	s.revision++
	r.Revision = at(s.era, s.revision)
	if r.Removed {
		delete(s.records, r.Key)
	} else {
		s.records[r.Key] = r
	}
	s.history = append(s.history, r)
}

// repair does what follows a restore: living writers write again, and the entries of those that
// have left lapse.
func (s *storeModel) repair() {
	for _, key := range slices.Sorted(maps.Keys(s.writers)) {
		w, r := s.writers[key], s.records[key]
		switch {
		case w.gone && r.Value != nil:
			s.write(Record{Key: key, Removed: true})
		case !w.gone && !bytes.Equal(r.Value, w.value()):
			w.number++
			s.write(Record{Key: key, Value: w.value()})
		}
	}
}

func (s *storeModel) copy() storeModel {
	return storeModel{revision: s.revision, records: maps.Clone(s.records), history: slices.Clone(s.history)}
}

// restore replaces the contents by a copy. Positions name the era in which the store hands them out.
func (s *storeModel) restore(c storeModel) {
	s.era++
	s.revision = c.revision
	s.records, s.history = make(map[string]Record), nil
	inEra := func(r Record) Record { r.Revision = at(s.era, r.Revision.Revision()); return r }
	for key, r := range c.records {
		s.records[key] = inEra(r)
	}
	for _, r := range c.history {
		s.history = append(s.history, inEra(r))
	}
}

// read brings a table up to date as a watcher does.
func (s *storeModel) read(t *Table) Update {
	base := t.AsOf()
	if base.Era() != s.era || base.Revision() > s.revision {
		t.Replace(0, slices.Collect(maps.Values(s.records)), at(s.era, s.revision))
		return Update{}
	}
	u := Update{Base: base, AsOf: at(s.era, s.revision)}
	for _, r := range s.history {
		if r.Revision > base {
			u.Records = append(u.Records, r)
		}
	}
	u.Records = Latest(u.Records)
	t.Apply(0, u)
	return t.WithDeltas(u)
}

// Guards against a store that comes back from an older copy: values that go back, changes under
// revisions that were given out before and are ignored, and tables that disagree afterwards.
func TestRestoredStoreTakesNothingBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &storeModel{era: 1, records: make(map[string]Record), writers: make(map[string]*writer)}
		tables := []*Table{newOrderedTable(), newOrderedTable(), newOrderedTable()}
		highest := make([]int, len(tables))
		config := &writer{}
		s.writers["config"] = config
		copies := []storeModel{s.copy()}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			table := tables[rapid.IntRange(0, len(tables)-1).Draw(t, "table")]
			switch rapid.IntRange(0, 8).Draw(t, "step") {
			case 0, 1:
				config.number++
				s.write(Record{Key: "config", Value: config.value()})
			case 2, 3:
				key := fmt.Sprint("server", rapid.IntRange(0, 3).Draw(t, "server"))
				w := s.writers[key]
				switch {
				case w == nil || w.gone:
					start := 1
					if w != nil {
						start = w.start + 1
					}
					s.writers[key] = &writer{start: start}
					s.write(Record{Key: key, Value: s.writers[key].value()})
				case rapid.Bool().Draw(t, "leaves"):
					w.gone = true
					s.write(Record{Key: key, Removed: true})
				default:
					w.number++
					s.write(Record{Key: key, Value: w.value()})
				}
			case 4:
				copies = append(copies, s.copy())
			case 5:
				s.restore(copies[rapid.IntRange(0, len(copies)-1).Draw(t, "copy")])
				if rapid.Bool().Draw(t, "repaired at once") {
					s.repair()
				}
			case 6:
				u := s.read(table)
				for _, other := range tables {
					if rapid.Bool().Draw(t, "arrives") {
						other.Apply(0, u)
					}
				}
			default:
				from := tables[rapid.IntRange(0, len(tables)-1).Draw(t, "from")]
				if from.AsOf() > table.AsOf() {
					table.Apply(0, from.UpdateSince(table.AsOf()))
				}
			}
			for i, table := range tables {
				if e := table.entries["config"]; e != nil {
					n := int(testOrder("", e.Value).Number)
					if n < highest[i] {
						t.Fatalf("table %d went back from version %d to %d", i, highest[i], n)
					}
					highest[i] = n
				}
			}
		}
		s.repair()
		s.read(tables[0])
		for _, table := range tables[1:] {
			if rapid.Bool().Draw(t, "reads the store") {
				s.read(table)
			} else {
				table.Apply(0, tables[0].UpdateSince(table.AsOf()))
			}
		}
		for i, table := range tables {
			for key := range s.writers {
				want, listed := s.records[key]
				got, known := table.Get(key)
				if known != listed || listed && !bytes.Equal(got.Value, want.Value) {
					t.Fatalf("table %d has %s %v %q, the store %v %q", i, key, known, got.Value, listed, want.Value)
				}
			}
			if table.AsOf() != tables[0].AsOf() {
				t.Fatalf("table %d is complete up to %v, table 0 up to %v", i, table.AsOf(), tables[0].AsOf())
			}
		}
	})
}

// Guards against an invalid value that is built from a delta on another value with the same
// revision.
func TestDeltaIsNotAppliedToAnotherEraOfItsBase(t *testing.T) {
	old, other, changed := configuration(make([]int, 40)), configuration(make([]int, 50)), configuration([]int{1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
	from, to := NewTable(time.Hour), NewTable(time.Hour)
	from.merge(0, []Record{{Key: "c", Value: old, Revision: at(2, 20)}})
	to.merge(0, []Record{{Key: "c", Value: other, Revision: at(2, 20)}})
	changes, _ := from.merge(0, []Record{{Key: "c", Value: changed, Revision: at(2, 25)}})
	sent := from.WithDeltas(Update{Records: changes}).Records
	if sent[0].Delta == nil {
		t.Fatal("the change is not sent as a delta")
	}
	if applied, complete := to.merge(0, sent); complete || len(applied) > 0 {
		t.Error("the delta was applied to another value")
	}
}

// Guards against a table that counts as complete although it missed what was written between the
// copy and the first change that it heard of.
func TestPushOfALaterEraDoesNotCompleteTheTable(t *testing.T) {
	table := newOrderedTable()
	table.Apply(0, Update{AsOf: at(1, 28), Records: []Record{{Key: "config", Value: []byte("0.9"), Revision: at(1, 28)}}})
	table.Apply(0, Update{Base: at(2, 20), AsOf: at(2, 30), Records: []Record{{Key: "config", Value: []byte("0.11"), Revision: at(2, 30)}}})
	if r, _ := table.Get("config"); string(r.Value) != "0.11" || table.AsOf() != at(1, 28) {
		t.Errorf("after the push: value %s, complete up to %v; want 0.11, 1/28", r.Value, table.AsOf())
	}
}
