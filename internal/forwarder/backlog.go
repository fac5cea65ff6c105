package forwarder

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/monsoonthread/monsoonthread/forwarding"
)

// maxBacklogTime bounds the time for reading what waited in the socket during a pause. The socket's
// buffer holds some hundred packets, which take a few milliseconds.
const maxBacklogTime = 250 * time.Millisecond

// backlog tells which packets may have waited in the socket while the process was paused, so that the routers
// may have sent their copies to another instance. All times are boot times, which include the time during
// which the machine was suspended.
type backlog struct {
	lastRun   atomic.Int64
	resumedAt atomic.Int64 // end of the last pause; 0 without one

	readAfter int64 // the pause whose backlog has been read; accessed only by the reader of the socket
}

// noteRunning records that the process runs at a time. One of the timers and the reader of the socket,
// whichever runs first, notices a pause.
func (b *backlog) noteRunning(now time.Duration) {
	if last := b.lastRun.Swap(int64(now)); last != 0 && int64(now)-last >= int64(forwarding.MinRouterDetection) {
		b.resumedAt.Store(int64(now))
	}
}

// beforeRead ends the backlog of the last pause once the socket has been empty.
func (b *backlog) beforeRead(isEmpty func() bool) {
	if at := b.resumedAt.Load(); at != b.readAfter && isEmpty() {
		b.readAfter = at
	}
}

// waited reports whether the packet that is read at a time may have waited during a pause.
func (b *backlog) waited(now time.Duration) bool {
	b.noteRunning(now)
	at := b.resumedAt.Load()
	return at != b.readAfter && int64(now)-at < int64(maxBacklogTime)
}

// isSocketEmpty reports whether no packet waits in the socket.
func (f *Forwarder) isSocketEmpty() bool {
	empty := false
	err := f.rawPackets.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = err == unix.EAGAIN
	})
	return err == nil && empty
}
