package main

import (
	"bytes"
	"net"
	"sync/atomic"
	"time"
)

// Modes of a storeLink.
const (
	passing = 0
	silent  = 1 // nothing passes, and no connection ends
)

// storeLink is a machine's link to the store.
type storeLink struct {
	target string
	mode   atomic.Int32
	used   atomic.Int64 // last watch, in Unix nanoseconds
}

func (w *world) newStoreLink(at string) (*storeLink, error) {
	l, err := net.Listen("tcp4", at)
	if err != nil {
		return nil, err
	}
	s := &storeLink{target: w.storeAddr}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s, nil
}

func (s *storeLink) serve(c net.Conn) {
	defer c.Close()
	t, err := net.Dial("tcp4", s.target)
	if err != nil {
		return
	}
	defer t.Close()
	done := make(chan bool, 2)
	pipe := func(from, to net.Conn) {
		b := make([]byte, 64<<10)
		for {
			n, err := from.Read(b)
			if from == c && bytes.Contains(b[:max(n, 0)], []byte("/kv-watch?")) {
				s.used.Store(time.Now().UnixNano())
			}
			for s.mode.Load() == silent {
				time.Sleep(20 * time.Millisecond)
			}
			if n > 0 {
				if _, err := to.Write(b[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		done <- true
	}
	go pipe(c, t)
	go pipe(t, c)
	<-done
}

// disturb records the begin or the end of a disruption of the machine.
func (f *front) disturb(on bool) {
	f.w.mu.Lock()
	defer f.w.mu.Unlock()
	if f.inTrouble = on; !on {
		f.disturbed = time.Now()
	}
}
