package flow

// Notify returns the Observe number of the stream's next notification: the hybrid
// logical clock in ms, or one more than the last number if that is later.
func (t *Table) Notify(id uint64, hlcMillis uint64) (sequence uint32, ok bool) {
	s, e := t.lock(id)
	if e == nil {
		return 0, false
	}
	defer s.mu.Unlock()
	e.resolve(hlcMillis)
	next := max(e.sequence()+1, hlcMillis)
	if next&sequenceMask == 0 {
		next++ // 0 stands for "none" in records
	}
	e.setSequence(next)
	return e.observe(), true
}

// SetServer notes the backend server with which the stream is registered. It ends a
// planned move of the stream.
func (t *Table) SetServer(id uint64, server string, exception bool) {
	s, e := t.lock(id)
	if e == nil {
		return
	}
	defer s.mu.Unlock()
	t.setServer(e, server, exception)
	t.outbox.changed(id, e, 0, 0) // its age is checked when it is taken out
	t.endMove(id)
}

// Remove ends a stream. Its copy is removed too.
func (t *Table) Remove(id uint64) bool {
	s, e := t.lock(id)
	if e == nil {
		return false
	}
	defer s.mu.Unlock()
	t.remove(s, id, e, "")
	return true
}

// remove ends a stream whose shard is locked. The instance that becomes its holder
// needs no notice.
func (t *Table) remove(s *shard, id uint64, e *streamEntry, newHolder string) {
	if e.copiedTo != 0 && t.names.get(e.copiedTo) != newHolder {
		t.outbox.removed(t, s, e)
	}
	t.unlink(s, uint32(id&maxSlot))
	t.streamCount.Add(-1)
	t.endMove(id)
}

// unlink removes a stream from its flow and releases its slot.
func (t *Table) unlink(s *shard, slot uint32) {
	e := s.streams.at(slot)
	at := &s.flows.at(e.flow).streams
	for *at != slot {
		at = &s.streams.at(*at).next
	}
	*at = e.next
	t.requests.release(e.request)
	t.names.release(e.server)
	t.names.release(e.copiedTo)
	next := e.version() + 1
	*e = streamEntry{generation: [3]byte{byte(next), byte(next >> 8), byte(next >> 16)}}
	s.streams.release(slot)
}

func (t *Table) dropCopy(s *shard, k copyKey, c copyEntry) {
	t.requests.release(c.request)
	t.names.release(c.server)
	t.names.release(c.from)
	delete(s.copies, k)
}

// setName replaces a pooled name.
func (t *Table) setName(index *uint32, name string) {
	old := *index
	*index = t.names.acquire(name)
	t.names.release(old)
}
