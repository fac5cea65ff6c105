package forwarder

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonthread/monsoonthread/directory"
	"github.com/monsoonthread/monsoonthread/internal/logging"
	"github.com/monsoonthread/monsoonthread/mesh"
	"github.com/monsoonthread/monsoonthread/platform/kv"
	"github.com/monsoonthread/monsoonthread/platform/wire"
	"github.com/monsoonthread/monsoonthread/result"
)

const (
	// retryPause follows a failed call and doubles up to maxRetryPause, since refused calls
	// are paid for; the longest pause is a third of the shortest bound on a change.
	retryPause    = 250 * time.Millisecond
	maxRetryPause = time.Second
	// dutyInterval is the time between checks whether this instance has to watch.
	dutyInterval = 50 * time.Millisecond
	// seedPatience is how long a start waits for its seeds before it reads the store: a
	// connection within a region and an answer take a few milliseconds.
	seedPatience = 30 * time.Millisecond
	// maxFirstPulls bounds the seeds, and then the members, that a start asks.
	maxFirstPulls = 3
	// maxListAttempts bounds the attempts to make a stale listing current: about 3 s, after
	// which serving with records that are seconds old is better than not serving.
	maxListAttempts = 4
	// everything is the prefix of all keys: one watch covers configuration, servers and
	// instances.
	everything = ""
)

const (
	// maxWatchWait and maxBatchPause apply where the bounds on a change leave time.
	maxWatchWait  = 1500 * time.Millisecond
	maxBatchPause = 300 * time.Millisecond
	// watchShare and batchShare are the parts of the shortest bound that a watch and the
	// pause after it may take: a watch that has gone silent, its time limit and the
	// takeover by another instance have to fit in.
	watchShare = 2
	batchShare = 10
)

// timing holds the times that follow from the bounds on changes.
type timing struct {
	watchWait  time.Duration // how long a watch waits for a change; also notices a silent connection
	batchPause time.Duration // collects changes that follow each other, so that a storm costs few calls
	freshTime  time.Duration // age up to which records count as current
}

func newTiming(s *Settings) timing {
	bound := min(s.ConfigurationBound, s.DrainBound)
	t := timing{watchWait: min(bound/watchShare, maxWatchWait), batchPause: min(bound/batchShare, maxBatchPause)}
	t.freshTime = t.watchWait + t.batchPause + 2*mesh.StatusInterval + 100*time.Millisecond
	return t
}

// followStore keeps the records current: from the store while this instance watches it,
// else from the peers.
func (f *Forwarder) followStore(ctx context.Context) {
	f.catchUp(ctx)
	f.caughtUp.Store(true)
	f.checkReady()
	listed := f.complete()
	for ctx.Err() == nil {
		f.mu.Lock()
		watch := f.mesh.Watch(f.now())
		f.mu.Unlock()
		if !watch {
			sleep(ctx, dutyInterval)
			continue
		}
		var err error
		if listed {
			err = f.watchOnce(ctx, f.timing.watchWait, f.timing.batchPause)
			listed = result.CodeOf(err) != result.StoreHistoryGone
		} else if err = f.list(ctx, false); err == nil {
			listed = true
		}
		f.noteCall(ctx, err)
	}
}

// noteCall tells the mesh how a call went and pauses after a failure.
func (f *Forwarder) noteCall(ctx context.Context, err error) {
	code := result.CodeOf(err)
	failed := err != nil && code != result.StoreHistoryGone
	f.mu.Lock()
	if failed {
		f.mesh.StoreFailed(f.now())
	} else if err == nil {
		f.mesh.StoreAnswered(f.now())
	}
	f.mu.Unlock()
	if err == nil {
		if f.storePause > 0 {
			f.log.Info().Msg("store_answers_again")
		}
		f.storePause = 0
		return
	}
	f.log.Warn().Uint16(logging.Code, uint16(code)).Err(err).Msg("store_call_failed")
	if failed {
		f.store.CloseIdle()
		f.storePause = min(max(2*f.storePause, retryPause), maxRetryPause)
		sleep(ctx, f.storePause)
	}
}

// complete reports whether the records are a whole picture.
func (f *Forwarder) complete() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.AsOf() > 0
}

// catchUp brings the first records: from a peer whose records are current, because that
// costs the store nothing and also brings the servers that left; else from the store;
// else from any peer.
func (f *Forwarder) catchUp(ctx context.Context) {
	asked := make(chan struct{}, 1)
	go func() {
		f.pullFirst(ctx)
		asked <- struct{}{}
	}()
	select {
	case <-ctx.Done():
	case <-asked:
	case <-time.After(seedPatience):
	}
	fromPeer := f.complete()
	for range maxListAttempts {
		f.mu.Lock()
		fresh := f.mesh.Fresh(f.now()) && f.table.AsOf() > 0
		f.mu.Unlock()
		if fresh || ctx.Err() != nil {
			return
		}
		err := f.listAndWatch(ctx)
		f.noteCall(ctx, err)
		if err == nil || fromPeer {
			return
		}
	}
}

// listAndWatch reads a listing that may be seconds old, which the store serves to all
// instances of a large deployment at once, and the changes since then, which are current.
func (f *Forwarder) listAndWatch(ctx context.Context) error {
	if err := f.list(ctx, true); err != nil {
		return err
	}
	err := f.watchOnce(ctx, time.Millisecond, 0)
	if result.CodeOf(err) == result.StoreHistoryGone {
		return f.list(ctx, false)
	}
	return err
}

// pullFirst asks the seeds for records and, if they have none or are busy, some members of
// which they told.
func (f *Forwarder) pullFirst(ctx context.Context) {
	seeds, err := f.settings.Load().SeedAddresses()
	if err != nil || f.pullFromAny(ctx, seeds) {
		return
	}
	f.mu.Lock()
	members := f.mesh.Members()[1:]
	f.mu.Unlock()
	var addresses []netip.AddrPort
	for _, m := range members {
		if m.Domain == f.self.Domain && !slices.Contains(seeds, m.Address) {
			addresses = append(addresses, m.Address)
		}
	}
	f.pullFromAny(ctx, addresses)
}

// pullFromAny asks some addresses, in random order and each a little after the one before.
// It returns once one of them had current records, or false when all have answered.
func (f *Forwarder) pullFromAny(ctx context.Context, addresses []netip.AddrPort) bool {
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	addresses = addresses[:min(len(addresses), maxFirstPulls)]
	answers := make(chan error, len(addresses))
	for asked, answered := 0, 0; answered < len(addresses); {
		var next <-chan time.Time
		if asked < len(addresses) {
			a := addresses[asked]
			asked++
			go func() { answers <- f.pull(ctx, a, 0) }()
			next = time.After(seedPatience / 2)
		}
		select {
		case <-next:
			continue
		case <-answers:
			answered++
		}
		f.mu.Lock()
		fresh := f.mesh.Fresh(f.now())
		f.mu.Unlock()
		if fresh {
			return true
		}
	}
	return false
}

// list reads all records. A stale listing is complete only up to its oldest page.
func (f *Forwarder) list(ctx context.Context, stale bool) error {
	var records []directory.Record
	var asOf uint64
	for after := ""; ; {
		page, err := f.store.Range(ctx, everything, after, stale)
		if err != nil {
			return err
		}
		if asOf == 0 || page.AsOf < asOf {
			asOf = page.AsOf
		}
		records = append(records, toRecords(page.Items)...)
		if !page.More || len(page.Items) == 0 {
			break
		}
		after = page.Items[len(page.Items)-1].Key
	}
	f.mu.Lock()
	news := f.table.Replace(f.now(), records, asOf)
	f.mu.Unlock()
	f.apply(news)
	return nil
}

// watchOnce applies the next changes and then pauses for a batch.
func (f *Forwarder) watchOnce(ctx context.Context, wait, pause time.Duration) error {
	f.mu.Lock()
	after := f.table.AsOf()
	f.mu.Unlock()
	events, err := f.store.Watch(ctx, everything, after, wait)
	if err != nil {
		return err
	}
	u := directory.Update{Base: after, AsOf: events.AsOf, Records: directory.Latest(toRecords(events.Events))}
	f.mu.Lock()
	news := f.table.Apply(f.now(), u)
	f.mu.Unlock()
	if len(u.Records) == 0 {
		return nil
	}
	f.push(u)
	f.apply(news)
	sleep(ctx, pause)
	return nil
}

func toRecords(items []kv.Item) []directory.Record {
	records := make([]directory.Record, 0, len(items))
	for _, i := range items {
		records = append(records, directory.Record{Key: i.Key, Value: i.Value, Revision: i.Revision, Removed: i.Removed})
	}
	return records
}

// apply passes changed records to the engine.
func (f *Forwarder) apply(news []directory.Record) {
	for _, r := range news {
		switch {
		case r.Key == wire.ConfigurationKey && !r.Removed:
			f.applyConfiguration(r)
		case strings.HasPrefix(r.Key, wire.ServerPrefix):
			f.applyServer(r)
		case strings.HasPrefix(r.Key, instancePrefix):
			f.applyInstance(r)
		}
	}
	f.checkReady()
}

// checkReady makes the instance ready once it has current records with a configuration.
func (f *Forwarder) checkReady() {
	f.mu.Lock()
	_, configured := f.engine.Version()
	f.mu.Unlock()
	if configured && f.caughtUp.Load() {
		f.lifecycle.fire(caughtUp)
	}
}

func (f *Forwarder) applyConfiguration(r directory.Record) {
	c, err := wire.DecodeConfiguration(r.Value)
	if err != nil {
		f.log.Error().Uint16(logging.Code, errorCode(err)).Err(err).Msg("configuration_malformed")
		return
	}
	f.mu.Lock()
	inForce := f.engine.Configure(f.now(), c)
	f.mu.Unlock()
	f.log.Info().Uint64(logging.Version, c.Version).Int("routes", len(c.Routes)).Uint64("revision", r.Revision).Bool("in_force", inForce).Msg("configuration")
}

func (f *Forwarder) applyServer(r directory.Record) {
	if r.Value == nil {
		return // a removal of a record that was never known
	}
	s, err := wire.DecodeServer(r.Key, r.Value, r.Revision)
	if err != nil {
		f.log.Warn().Uint16(logging.Code, errorCode(err)).Err(err).Msg("server_malformed")
		return
	}
	put := f.engine.PutServer
	if r.Removed {
		put = f.engine.RemoveServer
	}
	f.mu.Lock()
	actions := put(f.now(), s)
	f.mu.Unlock()
	f.events.line(zerolog.InfoLevel).Str(logging.Server, s.Name).Str(logging.Service, s.Service).Str(logging.Domain, s.Domain).Stringer(logging.Address, s.Address).
		Bool("draining", s.Draining).Bool("removed", r.Removed).Dur("cold_left", s.ColdLeft).Int64("born", s.Born).Uint64("revision", r.Revision).Msg("server")
	f.perform(actions)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
