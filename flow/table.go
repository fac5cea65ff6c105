package flow

import (
	"bytes"
	"sync"
	"time"

	"github.com/monsoonthread/monsoonthread/result"
)

// SequenceModulus bounds Observe numbers (RFC 7641, 3.4).
const SequenceModulus = 1 << 24

type streamKey struct {
	key   Key
	token string
}

type copyKey struct {
	streamKey
}

type stream struct {
	rec      Record
	sequence uint64
	copiedTo string
	dirty    bool
}

type storedCopy struct {
	rec  Record
	from string
}

// Table holds the flows, streams and copies of one instance.
type Table struct {
	cfg Config

	mu      sync.Mutex
	flows   map[Key]time.Time
	streams map[uint64]*stream
	byKey   map[streamKey]*stream
	copies  map[copyKey]*storedCopy
	removed map[string][]Record
	nextID  uint64
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	return &Table{
		cfg:     cfg.withDefaults(),
		flows:   make(map[Key]time.Time),
		streams: make(map[uint64]*stream),
		byKey:   make(map[streamKey]*stream),
		copies:  make(map[copyKey]*storedCopy),
		removed: make(map[string][]Record),
	}
}

// Touch notes a packet of the flow. For a new flow the error is PrefixLimited or
// TableFull.
func (t *Table) Touch(now time.Time, k Key) (isNew bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.flows[k]; !ok {
		if t.cfg.Limiter != nil && !t.cfg.Limiter.Allow(now, k.Caller.Addr()) {
			return true, result.Errorf(result.PrefixLimited, "too many new flows from the prefix of %s", k.Caller.Addr())
		}
		if len(t.flows) >= t.cfg.MaxFlows {
			return true, result.Errorf(result.TableFull, "%d flows are held", len(t.flows))
		}
		isNew = true
	}
	t.flows[k] = now
	return isNew, nil
}

// Register adds a stream, or renews the one with the same flow and token.
func (t *Table) Register(now time.Time, r Record) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sk := streamKey{r.Key, string(r.Token)}
	if s, ok := t.byKey[sk]; ok {
		if !bytes.Equal(s.rec.Request, r.Request) {
			s.rec.Request, s.dirty = r.Request, true
		}
		return s.rec.ID, nil
	}
	if len(t.streams) >= t.cfg.MaxStreams {
		return 0, result.Errorf(result.TableFull, "%d streams are held", len(t.streams))
	}
	t.nextID++
	r.ID = t.nextID
	if r.Created.IsZero() {
		r.Created = now
	}
	s := &stream{rec: r, sequence: uint64(r.Sequence), dirty: true}
	t.streams[r.ID], t.byKey[sk] = s, s
	t.flows[r.Key] = now
	delete(t.copies, copyKey{sk})
	return r.ID, nil
}

// Stream returns the stream of a flow and token.
func (t *Table) Stream(k Key, token []byte) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.byKey[streamKey{k, string(token)}]; ok {
		return s.rec, true
	}
	return Record{}, false
}

// ByID returns the stream with the ID that Register returned.
func (t *Table) ByID(id uint64) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.streams[id]; ok {
		return s.rec, true
	}
	return Record{}, false
}

// Notify returns the Observe number of the stream's next notification.
func (t *Table) Notify(id uint64, hlcMillis uint64) (sequence uint32, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.streams[id]
	if !ok {
		return 0, false
	}
	s.sequence = max(s.sequence+1, hlcMillis)
	s.rec.Sequence = uint32(s.sequence % SequenceModulus)
	return s.rec.Sequence, true
}

// Remove ends a stream.
func (t *Table) Remove(id uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.remove(id)
}

func (t *Table) remove(id uint64) bool {
	s, ok := t.streams[id]
	if !ok {
		return false
	}
	delete(t.streams, id)
	delete(t.byKey, streamKey{s.rec.Key, string(s.rec.Token)})
	if s.copiedTo != "" {
		r := s.rec
		r.Removed = true
		t.removed[s.copiedTo] = append(t.removed[s.copiedTo], r)
	}
	return true
}

// SetServer notes the backend server with which the stream is registered.
func (t *Table) SetServer(id uint64, server string, exception bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.streams[id]; ok {
		s.rec.Server, s.rec.Exception, s.dirty = server, exception, true
	}
}

// Copies returns records to send to each runner-up, within budget bytes per second.
func (t *Table) Copies(now time.Time, runnerUp func(Key) string, budget int) map[string][]Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.removed
	t.removed = make(map[string][]Record)
	for _, s := range t.streams {
		to := runnerUp(s.rec.Key)
		if to == "" || (s.copiedTo == to && !s.dirty) || now.Sub(s.rec.Created) < t.cfg.CopyAge {
			continue
		}
		s.copiedTo, s.dirty = to, false
		out[to] = append(out[to], s.rec)
	}
	return out
}

// StoreCopies stores the copies that the holder sent.
func (t *Table) StoreCopies(now time.Time, from string, rs []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range rs {
		ck := copyKey{streamKey{r.Key, string(r.Token)}}
		if r.Removed {
			delete(t.copies, ck)
			continue
		}
		t.copies[ck] = &storedCopy{rec: r, from: from}
	}
}

// TakeOver removes and returns the copies whose holder died.
func (t *Table) TakeOver(now time.Time, dead string) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Record
	for ck, c := range t.copies {
		if c.from == dead {
			out = append(out, c.rec)
			delete(t.copies, ck)
		}
	}
	return out
}

// HandOver removes and returns up to limit streams that have a new holder. An empty
// holder means that the stream stays.
func (t *Table) HandOver(now time.Time, limit int, newHolder func(Key) string) map[string][]Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string][]Record)
	for id, s := range t.streams {
		if limit == 0 {
			break
		}
		if to := newHolder(s.rec.Key); to != "" {
			s.copiedTo = ""
			t.remove(id)
			out[to] = append(out[to], s.rec)
			limit--
		}
	}
	return out
}

// PlanMoves returns up to limit streams whose backend server is not their target.
func (t *Table) PlanMoves(now time.Time, target func(Record) string, limit int) []Move {
	t.mu.Lock()
	defer t.mu.Unlock()
	var moves []Move
	for id, s := range t.streams {
		if len(moves) == limit {
			break
		}
		if to := target(s.rec); to != "" && to != s.rec.Server {
			moves = append(moves, Move{ID: id, From: s.rec.Server, To: to})
		}
	}
	return moves
}

// Len returns the numbers of flows, streams and copies.
func (t *Table) Len() (flows, streams, copies int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.flows), len(t.streams), len(t.copies)
}
