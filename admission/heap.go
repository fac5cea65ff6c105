package admission

func (q *Queue) bucketOf(callerHash uint64) uint32 {
	h := (callerHash ^ q.cfg.Seed) * 0x9e3779b97f4a7c15
	return uint32(h>>32) & uint32(q.cfg.Buckets-1)
}

// push appends the item to its sub-queue and returns its node.
func (q *Queue) push(it Item, index uint32) int32 {
	var i int32
	if n := len(q.free); n > 0 {
		i = q.free[n-1]
		q.free = q.free[:n-1]
	} else {
		i = int32(len(q.nodes))
		q.nodes = append(q.nodes, node{})
	}
	k := &q.classes[it.Class]
	b := &k.buckets[index]
	q.nodes[i] = node{item: it, prev: b.tail, next: none, bucket: index}
	if b.tail != none {
		q.nodes[b.tail].next = i
	} else {
		b.head = i
		k.join(int32(index))
	}
	b.tail = i
	b.n++
	k.n++
	q.byID[it.ID] = i
	q.nodes[i].heap = int32(len(q.deadlines))
	q.deadlines = append(q.deadlines, i)
	q.up(len(q.deadlines) - 1)
	return i
}

// remove takes the node out of every structure and frees it.
func (q *Queue) remove(i int32) {
	nd := &q.nodes[i]
	k := &q.classes[nd.item.Class]
	b := &k.buckets[nd.bucket]
	q.unlink(b, i)
	k.n--
	if b.n == 0 {
		k.part(int32(nd.bucket))
	}
	delete(q.byID, nd.item.ID)
	at, last := int(nd.heap), len(q.deadlines)-1
	q.swap(at, last)
	q.deadlines = q.deadlines[:last]
	if at < last {
		q.up(at)
		q.down(at)
	}
	*nd = node{} // drops the payload
	q.free = append(q.free, i)
}

// unlink takes the node out of the list of its sub-queue.
func (q *Queue) unlink(b *bucket, i int32) {
	nd := &q.nodes[i]
	if nd.prev != none {
		q.nodes[nd.prev].next = nd.next
	} else {
		b.head = nd.next
	}
	if nd.next != none {
		q.nodes[nd.next].prev = nd.prev
	} else {
		b.tail = nd.prev
	}
	nd.prev, nd.next = none, none
	b.n--
}

// join puts a bucket at the end of the ring.
func (k *classQueue) join(i int32) {
	b := &k.buckets[i]
	k.active++
	if k.turn == none {
		b.prev, b.next, k.turn = i, i, i
		return
	}
	next := &k.buckets[k.turn]
	b.prev, b.next = next.prev, k.turn
	k.buckets[next.prev].next = i
	next.prev = i
}

// part takes a bucket out of the ring.
func (k *classQueue) part(i int32) {
	b := &k.buckets[i]
	k.active--
	if b.next == i {
		k.turn = none
	} else {
		k.buckets[b.prev].next = b.next
		k.buckets[b.next].prev = b.prev
		if k.turn == i {
			k.turn = b.next
		}
	}
	b.prev, b.next = none, none
}

func (q *Queue) less(a, b int) bool {
	return q.nodes[q.deadlines[a]].item.Deadline.Before(q.nodes[q.deadlines[b]].item.Deadline)
}

func (q *Queue) swap(a, b int) {
	q.deadlines[a], q.deadlines[b] = q.deadlines[b], q.deadlines[a]
	q.nodes[q.deadlines[a]].heap = int32(a)
	q.nodes[q.deadlines[b]].heap = int32(b)
}

func (q *Queue) up(i int) {
	for i > 0 {
		p := (i - 1) / 2
		if !q.less(i, p) {
			return
		}
		q.swap(i, p)
		i = p
	}
}

func (q *Queue) down(i int) {
	for {
		c := 2*i + 1
		if c >= len(q.deadlines) {
			return
		}
		if c+1 < len(q.deadlines) && q.less(c+1, c) {
			c++
		}
		if !q.less(c, i) {
			return
		}
		q.swap(i, c)
		i = c
	}
}
