package directory

import (
	"strconv"
	"strings"
	"testing"
	"time"
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
