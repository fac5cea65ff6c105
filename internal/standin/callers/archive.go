package callers

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/monsoonthread/monsoonthread/caller"
	"github.com/monsoonthread/monsoonthread/internal/standin/backendserver"
)

// fetchTimeout bounds the transfer of one archive.
const fetchTimeout = 2 * time.Minute

// archives is the state of one ArchiveLoad.
type archives struct {
	load ArchiveLoad

	mu     sync.Mutex // protects report
	report ArchiveReport
}

func newArchives(l ArchiveLoad) *archives {
	return &archives{load: l, report: ArchiveReport{Service: l.Service, Path: l.Path}}
}

// run fetches until the context ends; a transfer in progress is completed.
func (a *archives) run(ctx context.Context, _ time.Time) error {
	var readers sync.WaitGroup
	errs := make(chan error, a.load.Readers)
	for i := range a.load.Readers {
		readers.Add(1)
		go func() {
			defer readers.Done()
			for n := 0; ctx.Err() == nil && (a.load.Fetches == 0 || n < a.load.Fetches); n++ {
				// Each transfer has its own source port: 8 MB take 8,192 message IDs,
				// and one port has 65,536 in 247 s.
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

func (a *archives) fetch(ctx context.Context, client *caller.Client, name string) {
	a.mu.Lock()
	a.report.Started++
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), fetchTimeout)
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

func (a *archives) snapshot() ArchiveReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.report
	r.Errors = append([]string{}, r.Errors...)
	return r
}
