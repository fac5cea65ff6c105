package flow

// Notify returns the Observe number of the stream's next notification. It is the hybrid
// logical clock in ms, or the last number plus one if that is later.
func (t *Table) Notify(id uint64, hlcMillis uint64) (sequence uint32, ok bool) {
	s, e := t.lockStream(id)
	if e == nil {
		return 0, false
	}
	defer s.mu.Unlock()
	e.extendSequence(hlcMillis)
	next := max(e.sequence()+1, hlcMillis)
	if next&sequenceMask == 0 {
		next++ // 0 stands for "none" in records
	}
	e.setSequence(next)
	return e.observeNumber(), true
}

// SetServer records the backend server with which the stream is registered and ends a
// planned move of the stream.
func (t *Table) SetServer(id uint64, server string, exception bool) {
	s, e := t.lockStream(id)
	if e == nil {
		return
	}
	defer s.mu.Unlock()
	t.setServer(e, server, exception)
	t.outbox.enqueueStream(id, e, 0, 0) // MinCopyAge is checked when it is dequeued
	t.endMove(id)
}

// Remove ends a stream and queues the removal of its copy. It reports whether the stream
// existed.
func (t *Table) Remove(id uint64) bool {
	s, e := t.lockStream(id)
	if e == nil {
		return false
	}
	defer s.mu.Unlock()
	t.removeStream(s, id, e, "")
	return true
}

// removeStream ends a stream whose shard is locked. No removal is sent to newOwner, which
// replaces its copy when it registers the stream.
func (t *Table) removeStream(s *shard, id uint64, e *streamEntry, newOwner string) {
	if e.copiedTo != 0 && t.names.get(e.copiedTo) != newOwner {
		t.outbox.enqueueRemoval(t, s, e)
	}
	t.unlinkStream(s, uint32(id&maxSlot))
	t.streamCount.Add(-1)
	t.endMove(id)
}

// unlinkStream removes a stream from the list of its flow and releases its slot.
func (t *Table) unlinkStream(s *shard, slot uint32) {
	e := s.streams.at(slot)
	at := &s.flows.at(e.flow).streams
	for *at != slot {
		at = &s.streams.at(*at).next
	}
	*at = e.next
	t.requests.release(e.request)
	t.names.release(e.server)
	t.names.release(e.copiedTo)
	next := e.generationNumber() + 1
	*e = streamEntry{generation: [3]byte{byte(next), byte(next >> 8), byte(next >> 16)}}
	s.streams.release(slot)
}

func (t *Table) removeCopy(s *shard, k copyKey, c copyEntry) {
	t.requests.release(c.request)
	t.names.release(c.server)
	t.names.release(c.from)
	delete(s.copies, k)
}

// replaceName stores the name in the pool and releases the name that index referred to.
func (t *Table) replaceName(index *uint32, name string) {
	old := *index
	*index = t.names.acquire(name)
	t.names.release(old)
}
