package process

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/monsoonthread/monsoonthread/caller"
	"github.com/monsoonthread/monsoonthread/internal/standin/backendserver"
	"github.com/monsoonthread/monsoonthread/internal/standin/fabric"
	"github.com/monsoonthread/monsoonthread/test/lab/cluster"
)

const (
	archiveReaders = 8
	archiveTimeout = 25 * time.Second
)

// Guards against incomplete or corrupted archives when the backend server that sends the
// blocks starts draining during the transfer, while the network drops, duplicates and
// reorders datagrams.
func TestArchiveWhileServerDrains(t *testing.T) {
	d := start(t, 1001, nil)
	d.impair(impairedNetwork)
	defer d.impair(fabric.Impairment{})
	ctx, cancel := context.WithTimeout(d.ctx, archiveTimeout)
	defer cancel()
	var readers sync.WaitGroup
	for i := range archiveReaders {
		readers.Go(func() { d.readArchive(ctx, fmt.Sprintf("log-%d", i%3)) })
	}
	for range 2 {
		d.sleep(700 * time.Millisecond)
		server, blocks := d.busiestArchiveServer()
		d.requireNoError(d.DrainServer(ctx, server, time.Second))
		d.Logf("%s starts draining after sending %d blocks", server, blocks)
		if blocks == 0 {
			d.Error("no backend server had sent blocks before the drain, so the test is inconclusive")
		}
	}
	readers.Wait()
	d.checkInvariants()
}

// readArchive fetches an archive and compares it with the content that the backend
// servers generate.
func (d *deployment) readArchive(ctx context.Context, name string) {
	s, _ := d.Deployment().Service("catalogue")
	c, err := caller.Dial(caller.Config{AckTimeout: 200 * time.Millisecond, MaxRetransmit: 8}, s.Address)
	if err != nil {
		d.Error(err)
		return
	}
	defer func() { _ = c.Close() }()
	begin := time.Now()
	got, err := c.Fetch(ctx, cluster.Path(s.Name, cluster.ArchivePath)+"/"+name)
	want := backendserver.ArchiveContent(s.Name, name, d.Deployment().Seed, d.Deployment().Workload.ArchiveBytes)
	if err != nil || !bytes.Equal(got, want) {
		d.Errorf("archive %s after %v: got %d of %d bytes, content equal: %t, error: %v", name, time.Since(begin), len(got), len(want), bytes.Equal(got, want), err)
	}
	d.Logf("fetched archive %s in %v", name, time.Since(begin).Round(time.Millisecond))
}

// busiestArchiveServer returns the server that sent the most blocks, among those that are
// not draining.
func (d *deployment) busiestArchiveServer() (server string, blocks int) {
	d.Helper()
	log, err := d.Executions(d.ctx)
	d.requireNoError(err)
	sent := map[string]int{}
	for _, e := range log {
		if strings.Contains(e.Path, cluster.ArchivePath) {
			sent[e.Server]++
		}
	}
	for _, st := range d.servers("catalogue") {
		if !st.Draining && (server == "" || sent[st.Name] > blocks) {
			server, blocks = st.Name, sent[st.Name]
		}
	}
	return server, blocks
}
