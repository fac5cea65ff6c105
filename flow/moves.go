package flow

import "time"

const (
	// scanStreamLimit limits the streams that one call of PlanMoves examines. Selecting
	// one of 12,000 servers takes 0.3 ms, so a call takes at most 160 ms.
	scanStreamLimit = 512
	// scanBatchStreams is the number of streams that are read per lock of a shard.
	scanBatchStreams = 16
)

// moveState is the state of PlanMoves between calls.
type moveState struct {
	position   cursor
	shardsLeft int // shards left in the current pass, 0 after its end
	nextPass   time.Time
	retryAt    map[uint64]time.Time // time from which the move of a stream ID may be planned again
}

// Replan makes PlanMoves examine all streams again. The daemon calls it when servers,
// their weights or their states have changed.
func (t *Table) Replan() {
	t.moveMu.Lock()
	defer t.moveMu.Unlock()
	t.moves.nextPass = time.Time{}
}

func (t *Table) endMove(id uint64) {
	t.moveMu.Lock()
	defer t.moveMu.Unlock()
	delete(t.moves.retryAt, id)
}

// PlanMoves returns moves for up to limit streams that are not on their target server. A
// stream is not returned again until SetServer ends its move or MoveTimeout passes.
// Each call examines a part of the streams; a pass over all of them starts after Replan
// and every ReplanInterval. The target "" leaves a stream on its server.
func (t *Table) PlanMoves(now time.Time, target func(Record) string, limit int) []Move {
	t.moveMu.Lock()
	m := &t.moves
	if m.shardsLeft == 0 || m.nextPass.IsZero() {
		if now.Before(m.nextPass) {
			t.moveMu.Unlock()
			return nil
		}
		m.position, m.shardsLeft, m.nextPass = cursor{}, len(t.shards), now.Add(t.cfg.ReplanInterval)
	}
	at, left := m.position, m.shardsLeft
	t.moveMu.Unlock()

	var moves []Move
	t.scan(&at, &left, scanStreamLimit, func(r Record) bool {
		if to := target(r); to != "" && to != r.Server && r.Server != "" && t.startMove(now, r.ID) {
			moves = append(moves, Move{ID: r.ID, From: r.Server, To: to})
		}
		return len(moves) < limit
	})

	t.moveMu.Lock()
	defer t.moveMu.Unlock()
	if !m.nextPass.IsZero() { // otherwise Replan was called during the scan
		m.position, m.shardsLeft = at, left
	}
	return moves
}

// startMove starts a move of the stream. It reports false if one is in progress.
func (t *Table) startMove(now time.Time, id uint64) bool {
	t.moveMu.Lock()
	defer t.moveMu.Unlock()
	if until, ok := t.moves.retryAt[id]; ok && now.Before(until) {
		return false
	}
	if t.moves.retryAt == nil {
		t.moves.retryAt = make(map[uint64]time.Time)
	}
	t.moves.retryAt[id] = now.Add(t.cfg.MoveTimeout)
	return true
}

// scan calls visit for the streams from position at, in at most shardsLeft shards, until
// visit returns false or maxStreams streams have been visited. It advances at, decrements
// shardsLeft and returns the number of streams visited. No lock is held during visit, which
// may be slow.
func (t *Table) scan(at *cursor, shardsLeft *int, maxStreams int, visit func(Record) bool) (visited int) {
	batch := make([]Record, 0, scanBatchStreams)
	for *shardsLeft > 0 && visited < maxStreams {
		s, from := &t.shards[at.shard], *at
		batch = batch[:0]
		s.mu.Lock()
		for len(batch) < min(scanBatchStreams, maxStreams-visited) && at.slot < s.streams.used {
			at.slot++
			if e := s.streams.at(at.slot); e.flow != 0 {
				batch = append(batch, t.record(s, t.makeID(at.shard, at.slot, e), e, nil))
			}
		}
		finished := at.slot >= s.streams.used
		if finished {
			*at = cursor{shard: (at.shard + 1) % len(t.shards)}
			*shardsLeft--
		}
		s.mu.Unlock()
		for i, r := range batch {
			visited++
			if visit(r) {
				continue
			}
			if i+1 < len(batch) { // the rest of the batch is visited in the next call
				if finished {
					*shardsLeft++
				}
				*at = cursor{from.shard, uint32(r.ID & maxSlot)}
			}
			return visited
		}
	}
	return visited
}

// HandOver removes up to limit streams that have a new owner and returns them by
// owner. The function newOwner returns "" for streams that stay. If the result is
// empty, no stream has a new owner. The daemon registers the records of a batch again if
// it cannot be delivered.
func (t *Table) HandOver(now time.Time, limit int, newOwner func(Key) string) map[string][]Record {
	t.handOverMu.Lock()
	defer t.handOverMu.Unlock()
	out := make(map[string][]Record)
	count, left := 0, len(t.shards)+1 // the shard at the cursor is visited in two parts
	t.scan(&t.handOverPosition, &left, int(^uint(0)>>1), func(r Record) bool {
		to := newOwner(r.Key)
		if to == "" {
			return true
		}
		if s, e := t.lockStream(r.ID); e != nil {
			r = t.record(s, r.ID, e, nil)
			r.Sequence = t.outgoingSequence(e)
			out[to] = append(out[to], r)
			t.removeStream(s, r.ID, e, to)
			s.mu.Unlock()
			count++
		}
		return count < limit
	})
	return out
}
