package flow

import "time"

const (
	// scanLimit bounds the streams that one call of PlanMoves examines. The choice
	// among 12,000 servers was measured at 0.3 ms, so a call takes at most 160 ms.
	scanLimit = 512
	// scanBatch is the number of streams that are read under one lock of a shard.
	scanBatch = 16
)

// moveState is the progress of PlanMoves.
type moveState struct {
	at       cursor
	left     int // shards left in the pass, 0 when it has ended
	next     time.Time
	inFlight map[uint64]time.Time // when the move may be planned again
}

// Replan makes PlanMoves examine all streams again. The daemon calls it when servers,
// their weights or their states have changed.
func (t *Table) Replan() {
	t.moveMu.Lock()
	defer t.moveMu.Unlock()
	t.moves.next = time.Time{}
}

func (t *Table) endMove(id uint64) {
	t.moveMu.Lock()
	defer t.moveMu.Unlock()
	delete(t.moves.inFlight, id)
}

// PlanMoves returns up to limit streams that are not on their target server. A
// stream is not returned again until SetServer ends its move or MoveTimeout passes.
// Calls examine the streams bit by bit; a pass over all of them starts after Replan
// and every ReplanInterval. The target "" leaves a stream where it is.
func (t *Table) PlanMoves(now time.Time, target func(Record) string, limit int) []Move {
	t.moveMu.Lock()
	m := &t.moves
	if m.left == 0 || m.next.IsZero() {
		if now.Before(m.next) {
			t.moveMu.Unlock()
			return nil
		}
		m.at, m.left, m.next = cursor{}, len(t.shards), now.Add(t.cfg.ReplanInterval)
	}
	at, left := m.at, m.left
	t.moveMu.Unlock()

	var moves []Move
	t.scan(&at, &left, scanLimit, func(r Record) bool {
		if to := target(r); to != "" && to != r.Server && r.Server != "" && t.startMove(now, r.ID) {
			moves = append(moves, Move{ID: r.ID, From: r.Server, To: to})
		}
		return len(moves) < limit
	})

	t.moveMu.Lock()
	defer t.moveMu.Unlock()
	if !m.next.IsZero() { // otherwise Replan was called meanwhile
		m.at, m.left = at, left
	}
	return moves
}

// startMove reports whether the stream has no move in progress.
func (t *Table) startMove(now time.Time, id uint64) bool {
	t.moveMu.Lock()
	defer t.moveMu.Unlock()
	if until, ok := t.moves.inFlight[id]; ok && now.Before(until) {
		return false
	}
	if t.moves.inFlight == nil {
		t.moves.inFlight = make(map[uint64]time.Time)
	}
	t.moves.inFlight[id] = now.Add(t.cfg.MoveTimeout)
	return true
}

// scan calls visit with the streams from at on, in at most left shards, until visit
// returns false or so many streams were examined. It advances at and left and returns
// the number of streams visited. No lock is held during visit, which may be slow.
func (t *Table) scan(at *cursor, left *int, examine int, visit func(Record) bool) (visited int) {
	batch := make([]Record, 0, scanBatch)
	for *left > 0 && visited < examine {
		s, from := &t.shards[at.shard], *at
		batch = batch[:0]
		s.mu.Lock()
		for len(batch) < min(scanBatch, examine-visited) && at.slot < s.streams.used {
			at.slot++
			if e := s.streams.at(at.slot); e.flow != 0 {
				batch = append(batch, t.record(s, t.makeID(at.shard, at.slot, e), e, nil))
			}
		}
		finished := at.slot >= s.streams.used
		if finished {
			*at = cursor{shard: (at.shard + 1) % len(t.shards)}
			*left--
		}
		s.mu.Unlock()
		for i, r := range batch {
			visited++
			if visit(r) {
				continue
			}
			if i+1 < len(batch) { // the others are visited next time
				if finished {
					*left++
				}
				*at = cursor{from.shard, uint32(r.ID & maxSlot)}
			}
			return visited
		}
	}
	return visited
}

// HandOver removes up to limit streams that have a new holder and returns them by
// holder. The function newHolder returns "" for streams that stay. When the result is
// empty, no stream has a new holder. If a batch cannot be delivered, its records are
// registered again.
func (t *Table) HandOver(now time.Time, limit int, newHolder func(Key) string) map[string][]Record {
	t.handOverMu.Lock()
	defer t.handOverMu.Unlock()
	out := make(map[string][]Record)
	count, left := 0, len(t.shards)+1
	t.scan(&t.handOver, &left, int(^uint(0)>>1), func(r Record) bool {
		to := newHolder(r.Key)
		if to == "" {
			return true
		}
		if s, e := t.lock(r.ID); e != nil {
			r = t.record(s, r.ID, e, nil)
			r.Sequence = t.outgoing(e)
			out[to] = append(out[to], r)
			t.remove(s, r.ID, e, to)
			s.mu.Unlock()
			count++
		}
		return count < limit
	})
	return out
}
