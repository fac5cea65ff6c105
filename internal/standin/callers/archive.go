package callers

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/monsoonthread/monsoonthread/caller"
	"github.com/monsoonthread/monsoonthread/internal/standin/backendserver"
)

// archiveFetchTimeout bounds the transfer of one archive.
const archiveFetchTimeout = 2 * time.Minute

// archiveRunner executes one ArchiveLoad.
type archiveRunner struct {
	load ArchiveLoad

	mu     sync.Mutex // protects report
	report ArchiveReport
}

func newArchiveRunner(l ArchiveLoad) *archiveRunner {
	return &archiveRunner{load: l, report: ArchiveReport{Service: l.Service, Path: l.Path}}
}

// run fetches archives until the context ends. Transfers in progress are completed.
func (a *archiveRunner) run(ctx context.Context, _ time.Time) error {
	var readers sync.WaitGroup
	errs := make(chan error, a.load.Readers)
	for i := range a.load.Readers {
		readers.Add(1)
		go func() {
			defer readers.Done()
			for n := 0; ctx.Err() == nil && (a.load.Fetches == 0 || n < a.load.Fetches); n++ {
				// Each transfer uses its own source port: 8 MB take 8,192 message IDs, and
				// a port has only 65,536 per exchange lifetime of 247 s.
				client, err := caller.Dial(caller.Config{}, a.load.Address)
				if err != nil {
					errs <- err
					return
				}
				a.fetch(ctx, client, a.load.Names[(i+n)%len(a.load.Names)])
				_ = client.Close()
			}
		}()
	}
	readers.Wait()
	close(errs)
	return <-errs
}

func (a *archiveRunner) fetch(ctx context.Context, client *caller.Client, name string) {
	a.mu.Lock()
	a.report.Started++
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), archiveFetchTimeout)
	defer cancel()
	got, err := client.Fetch(ctx, a.load.Path+"/"+name)
	want := backendserver.ArchiveContent(a.load.Service, name, a.load.Seed, a.load.Bytes)

	a.mu.Lock()
	defer a.mu.Unlock()
	a.report.Bytes += int64(len(got))
	switch {
	case err != nil:
		a.report.Incomplete++
		if len(a.report.Errors) < maxErrors {
			a.report.Errors = append(a.report.Errors, name+": "+err.Error())
		}
	case !bytes.Equal(got, want):
		a.report.Wrong++
	default:
		a.report.Complete++
	}
}

func (a *archiveRunner) snapshot() ArchiveReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.report
	r.Errors = append([]string{}, r.Errors...)
	return r
}
