package admission

// bucketOf returns the index of the sub-queue of a caller, by multiplicative hashing with
// 2^64 divided by the golden ratio.
func (q *Queue) bucketOf(callerHash uint64) uint32 {
	h := (callerHash ^ q.cfg.Seed) * 0x9e3779b97f4a7c15
	return uint32(h>>32) & uint32(q.cfg.Buckets-1)
}

// push appends the item to the sub-queue with this index and returns the index of its node.
func (q *Queue) push(it Item, index uint32) int32 {
	var i int32
	if n := len(q.freeNodes); n > 0 {
		i = q.freeNodes[n-1]
		q.freeNodes = q.freeNodes[:n-1]
	} else {
		i = int32(len(q.nodes))
		q.nodes = append(q.nodes, node{})
	}
	k := &q.classes[it.Class]
	b := &k.buckets[index]
	q.nodes[i] = node{item: it, prev: b.tail, next: noIndex, bucket: index}
	if b.tail != noIndex {
		q.nodes[b.tail].next = i
	} else {
		b.head = i
		k.linkBucket(int32(index))
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

// remove removes the node from its sub-queue, the deadline heap and the index, and frees
// it.
func (q *Queue) remove(i int32) {
	nd := &q.nodes[i]
	k := &q.classes[nd.item.Class]
	b := &k.buckets[nd.bucket]
	q.unlinkNode(b, i)
	k.n--
	if b.n == 0 {
		k.unlinkBucket(int32(nd.bucket))
	}
	delete(q.byID, nd.item.ID)
	at, last := int(nd.heap), len(q.deadlines)-1
	q.swap(at, last)
	q.deadlines = q.deadlines[:last]
	if at < last {
		q.up(at)
		q.down(at)
	}
	*nd = node{} // releases the payload
	q.freeNodes = append(q.freeNodes, i)
}

// unlinkNode removes the node from the list of its sub-queue.
func (q *Queue) unlinkNode(b *bucket, i int32) {
	nd := &q.nodes[i]
	if nd.prev != noIndex {
		q.nodes[nd.prev].next = nd.next
	} else {
		b.head = nd.next
	}
	if nd.next != noIndex {
		q.nodes[nd.next].prev = nd.prev
	} else {
		b.tail = nd.prev
	}
	nd.prev, nd.next = noIndex, noIndex
	b.n--
}

// linkBucket adds a bucket at the end of the ring.
func (k *classQueue) linkBucket(i int32) {
	b := &k.buckets[i]
	k.activeBuckets++
	if k.nextBucket == noIndex {
		b.prev, b.next, k.nextBucket = i, i, i
		return
	}
	next := &k.buckets[k.nextBucket]
	b.prev, b.next = next.prev, k.nextBucket
	k.buckets[next.prev].next = i
	next.prev = i
}

// unlinkBucket removes a bucket from the ring.
func (k *classQueue) unlinkBucket(i int32) {
	b := &k.buckets[i]
	k.activeBuckets--
	if b.next == i {
		k.nextBucket = noIndex
	} else {
		k.buckets[b.prev].next = b.next
		k.buckets[b.next].prev = b.prev
		if k.nextBucket == i {
			k.nextBucket = b.next
		}
	}
	b.prev, b.next = noIndex, noIndex
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
