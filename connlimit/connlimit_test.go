package connlimit

import "testing"

// Guards against servers that are full without a limit, and against flows up to the limit itself,
// where those that nobody has reported yet exceed it.
func TestFull(t *testing.T) {
	for _, c := range []struct {
		own, reported, max int
		full               bool
	}{
		{1 << 20, 1 << 20, 0, false}, {0, 0, 1, false}, {1, 0, 1, true}, {100, 1799, 2000, false}, {100, 1800, 2000, true}, {0, 2500, 2000, true},
	} {
		if got := Full(c.own, c.reported, c.max); got != c.full {
			t.Errorf("%d own and %d reported of %d: full %v", c.own, c.reported, c.max, got)
		}
	}
}

// Guards against flows that close being taken for flows that peers open.
func TestUnreported(t *testing.T) {
	if got := Unreported(12, 10, 19); got != 38 {
		t.Errorf("%d flows at peers for 2 more of this instance", got)
	}
	if got := Unreported(8, 10, 19); got != 0 {
		t.Errorf("%d flows at peers for 2 fewer of this instance", got)
	}
}

// Guards against idle flows that fill a server without any instance reporting them, and against
// reports of servers with few flows, which would make messages long.
func TestMatters(t *testing.T) {
	const peers, limit = 44, 2000
	if !Matters(limit/2/(peers+1)+1, peers, limit) {
		t.Error("flows that fill half of the server are not reported")
	}
	if Matters(5, peers, limit) || Matters(0, peers, limit) || Matters(1<<20, peers, 0) {
		t.Error("flows that do not matter are reported")
	}
}
