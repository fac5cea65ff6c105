package forwarder

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/monsoonthread/monsoonthread/directory"
	"github.com/monsoonthread/monsoonthread/internal/logging"
	"github.com/monsoonthread/monsoonthread/mesh"
	"github.com/monsoonthread/monsoonthread/peer/exchange"
	"github.com/monsoonthread/monsoonthread/platform/wire"
	"github.com/monsoonthread/monsoonthread/result"
)

const (
	// minRetryDelay is the delay after a failed call. It doubles up to maxRetryDelay because
	// rejected calls are billed too. The maximum is a third of the default
	// ConfigurationBound and DrainBound.
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = time.Second
	// maxRetryDoublings is enough to get from minRetryDelay to maxRetryDelay.
	maxRetryDoublings = 2
	// pollInterval is the time between checks of a condition, for example whether this instance
	// must watch the store.
	pollInterval = 50 * time.Millisecond
	// seedTimeout is how long a starting instance waits for its seeds before it reads the
	// store. A connection and a response within a region take a few milliseconds.
	seedTimeout = 30 * time.Millisecond
	// maxInitialPulls limits how many seeds, and then how many members, a starting instance
	// pulls from.
	maxInitialPulls = 3
	// At the first start of a deployment, before any traffic, an instance that is no seed waits
	// up to firstStartWait, plus as much at random, for the records of others. Traffic starts 10 s
	// after the machines do.
	firstStartWait     = 2 * time.Second
	firstStartInterval = 100 * time.Millisecond
	// maxListAttempts limits the attempts to bring a stale listing up to date. They take
	// about 3 s; after that, serving with records that are seconds old is better than not
	// serving.
	maxListAttempts = 4
	// allKeysPrefix is the prefix of all keys. One watch covers configuration, servers and
	// instances.
	allKeysPrefix = ""
)

const (
	// maxWatchWait and maxBatchDelay are upper limits. A shorter ConfigurationBound, DrainBound or
	// EvacuationBound leads to shorter times.
	maxWatchWait  = 1500 * time.Millisecond
	maxBatchDelay = 300 * time.Millisecond
	// batchDelayDivisor is the shortest bound divided by the delay after a watch with changes.
	batchDelayDivisor = 10
	// minWatchWaitDivisor limits the calls to the store if the bound is too short for a takeover.
	minWatchWaitDivisor = 4
	// confirmationWait is the wait time of the first watch after a takeover or a failure. The store
	// answers it at once, so that other instances learn soon whether this one reaches the store.
	confirmationWait = time.Millisecond
)

// The steps from the last answer that a watcher gets before its calls hang, until all instances of
// its failure domain have a change that was made directly after that answer. The wait time of the
// watch comes on top. See timing.takeoverTime.
const (
	// overdueMargin is how long the answer to a watch may be late: one status message with the
	// answer before may be lost, and a response takes up to 100 ms.
	overdueMargin = 2*mesh.StatusInterval + 100*time.Millisecond
	// unreachableSuccessors is the number of instances next in rank that cannot reach the store either.
	unreachableSuccessors = 1
	// firstAnswerTime is the time in which the store answers on a new connection.
	firstAnswerTime = 50 * time.Millisecond
	// pullTime is the time of a pull from an instance that is alive.
	pullTime = 50 * time.Millisecond
	// smallDomain is the number of instances in a failure domain up to which the steps fit in a bound
	// of 3 s. In larger ones, pulls are spread over more time.
	smallDomain = 6
)

// timing holds the durations that are derived from the bounds on configuration, draining and
// evacuation.
type timing struct {
	watchWait    time.Duration // how long a watch waits for a change, including the delay before it
	batchDelay   time.Duration // delay after a watch; batches bursts of changes to save store calls
	maxRecordAge time.Duration // maximum age of records that count as current
}

func newTiming(s *Settings) timing {
	bound := min(s.ConfigurationBound, s.DrainBound)
	if s.EvacuationBound > 0 {
		bound = min(bound, s.EvacuationBound)
	}
	stepsBesideWait := timing{maxRecordAge: overdueMargin}.takeoverTime(smallDomain)
	watchWait := min(max(bound-stepsBesideWait, bound/minWatchWaitDivisor), maxWatchWait)
	return timing{watchWait: watchWait, batchDelay: min(bound/batchDelayDivisor, maxBatchDelay), maxRecordAge: watchWait + overdueMargin}
}

// takeoverTime returns the time in which a change reaches all instances of a failure domain whose
// watcher stops getting answers, also if the datagram that carries the change is lost.
func (t timing) takeoverTime(instances int) time.Duration {
	return t.maxRecordAge + // until the watch is no longer held
		pollInterval + // until the others notice
		mesh.TakeoverDelay(1+unreachableSuccessors) +
		firstAnswerTime +
		mesh.PullDelay(instances-1) + mesh.StatusInterval + pullTime // missing records are pulled at that interval
}

// recoveryTime returns the time in which a change reaches all instances after an outage in which the
// store left calls without a response, also those that it got just before it answers again.
func (t timing) recoveryTime(instances int) time.Duration {
	return storeCallTimeout + maxRetryDelay + // until the probe
		2*firstAnswerTime + // probe and watch
		mesh.PullDelay(instances-1) + mesh.StatusInterval + pullTime
}

// longWatchLimit is the time limit of a watch with many changes. While the store does not answer, the
// shorter limit of a probe applies.
func (t timing) longWatchLimit() time.Duration { return t.watchWait + storeCallTimeout }

// syncWithStore keeps the records current. It reads the store while this instance is the
// watcher of its failure domain; otherwise the records come from peers.
func (f *Forwarder) syncWithStore(ctx context.Context) {
	f.loadInitialRecords(ctx)
	f.finishInitialSync()
	listed := f.hasRecords()
	unanswered := false        // the last call got no response in time
	refused := 0               // consecutive watches that the store refused because it lacks the history
	waited := time.Duration(0) // since the last answer
	for ctx.Err() == nil {
		state := f.updateWatch()
		if state == mesh.Following {
			unanswered, waited = false, 0
			sleep(ctx, pollInterval)
			continue
		}
		wait := f.timing.watchWait - waited
		if state == mesh.Trying {
			wait = confirmationWait
		}
		waited = 0
		changed := false
		var err error
		if listed {
			if unanswered {
				changed, err = f.watchAfterProbe(ctx)
			} else {
				changed, err = f.watchOnce(ctx, wait, wait+storeCallTimeout)
			}
			listed = result.CodeOf(err) != result.StoreHistoryGone
			if err == nil {
				refused = 0
			}
		} else if err = f.list(ctx, false); err == nil {
			listed = true
		}
		unanswered = errors.Is(err, context.DeadlineExceeded)
		f.recordStoreCall(ctx, err)
		if changed { // so that the next watch returns a batch
			sleep(ctx, f.timing.batchDelay)
			waited = f.timing.batchDelay
		}
		if result.CodeOf(err) == result.StoreHistoryGone {
			if refused > 0 { // the listing after the last one did not help
				sleep(ctx, min(minRetryDelay<<min(refused-1, maxRetryDoublings), maxRetryDelay))
			}
			refused++
		}
	}
}

// updateWatch decides whether this instance calls the store and logs a change of the decision.
func (f *Forwarder) updateWatch() mesh.WatchState {
	f.mu.Lock()
	before := f.mesh.WatchState()
	state := f.mesh.UpdateWatch(f.now())
	holder := ""
	if state != before {
		holder, _ = f.mesh.WatchHolder(f.now())
	}
	f.mu.Unlock()
	if state != before {
		f.log.Info().Stringer("before", before).Stringer(logging.State, state).Str("holder", holder).Msg("store_watch")
	}
	return state
}

// finishInitialSync lets the engine refuse flows and the instance become ready.
func (f *Forwarder) finishInitialSync() {
	f.mu.Lock()
	f.engine.SetComplete()
	stats, asOf := f.engine.Stats(), f.table.AsOf()
	f.mu.Unlock()
	f.initialSyncDone.Store(true)
	f.log.Info().Int("servers", stats.Listed).Uint64(logging.Version, stats.Version).Uint64(logging.Era, asOf.Era()).Uint64(logging.Revision, asOf.Revision()).Msg("records_loaded")
	f.checkReady()
}

// recordStoreCall reports the result of a store call to the mesh, and to the peers if this instance
// thereby gains or loses the watch. It waits after a failure.
func (f *Forwarder) recordStoreCall(ctx context.Context, err error) {
	code := result.CodeOf(err)
	failed := err != nil && code != result.StoreHistoryGone
	f.mu.Lock()
	before := f.mesh.WatchState()
	if failed {
		f.mesh.StoreFailed(f.now())
	} else if err == nil {
		f.mesh.StoreAnswered(f.now())
	}
	state := f.mesh.WatchState()
	status := f.status(f.now())
	f.mu.Unlock()
	if state != before {
		f.log.Info().Stringer("before", before).Stringer(logging.State, state).Msg("store_watch")
		f.sendToDomain(&exchange.Message{Status: &status})
	}
	if err == nil {
		if f.storeRetryDelay > 0 {
			f.log.Info().Msg("store_answers_again")
		}
		f.storeRetryDelay = 0
		return
	}
	f.log.Warn().Uint16(logging.Code, uint16(code)).Err(err).Msg("store_call_failed")
	if failed {
		f.store.CloseIdle()
		f.storeRetryDelay = min(max(2*f.storeRetryDelay, minRetryDelay), maxRetryDelay)
		sleep(ctx, f.storeRetryDelay)
	}
}

// hasRecords reports whether a complete set of records has been loaded.
func (f *Forwarder) hasRecords() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.AsOf() > 0
}

// loadInitialRecords loads the first records. It prefers a peer whose records are current,
// because that puts no load on the store and includes servers that have left. Otherwise it
// reads the store, and if that fails, it uses the records of any peer.
func (f *Forwarder) loadInitialRecords(ctx context.Context) {
	if s := f.settings.Load(); s.FirstStart && s.Seeds != "" && !s.isSeed() {
		f.waitForSeeds(ctx)
	}
	pullDone := make(chan struct{}, 1)
	go func() {
		f.pullFromSeeds(ctx)
		pullDone <- struct{}{}
	}()
	select {
	case <-ctx.Done():
	case <-pullDone:
	case <-time.After(seedTimeout):
	}
	pulled := f.hasRecords()
	for range maxListAttempts {
		f.mu.Lock()
		fresh := f.mesh.Fresh(f.now()) && f.table.AsOf() > 0
		f.mu.Unlock()
		if fresh || ctx.Err() != nil {
			return
		}
		err := f.listAndWatch(ctx)
		f.recordStoreCall(ctx, err)
		if err == nil || pulled {
			return
		}
	}
}

// waitForSeeds pulls from the seeds, or from the members that they report, until the records
// are current. Each round doubles the number of instances that have records, so that a few
// readers of the store serve a deployment of any size.
func (f *Forwarder) waitForSeeds(ctx context.Context) {
	end := f.now() + firstStartWait + rand.N(firstStartWait)
	for ctx.Err() == nil && f.now() < end {
		f.pullFromSeeds(ctx)
		f.mu.Lock()
		fresh := f.mesh.Fresh(f.now()) && f.table.AsOf() > 0
		f.mu.Unlock()
		if fresh {
			return
		}
		sleep(ctx, firstStartInterval+rand.N(firstStartInterval))
	}
	f.log.Warn().Msg("seeds_without_records")
}

// listAndWatch reads a stale listing and then the current changes since that listing. The
// listing may be seconds old, but the store can serve it to all instances of a large
// deployment at once.
func (f *Forwarder) listAndWatch(ctx context.Context) error {
	if err := f.list(ctx, true); err != nil {
		return err
	}
	_, err := f.watchOnce(ctx, confirmationWait, confirmationWait+storeCallTimeout)
	if result.CodeOf(err) == result.StoreHistoryGone {
		return f.list(ctx, false)
	}
	return err
}

// pullFromSeeds pulls records from the seeds. If the seeds have no records or are busy, it
// pulls from some of the members that they reported.
func (f *Forwarder) pullFromSeeds(ctx context.Context) {
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

// pullFromAny pulls from some of the addresses in random order, with a short delay between
// the pulls. It returns true as soon as the records are current, or false once all pulls
// have finished.
func (f *Forwarder) pullFromAny(ctx context.Context, addresses []netip.AddrPort) bool {
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	addresses = addresses[:min(len(addresses), maxInitialPulls)]
	results := make(chan error, len(addresses))
	for started, finished := 0, 0; finished < len(addresses); {
		var next <-chan time.Time
		if started < len(addresses) {
			a := addresses[started]
			started++
			go func() { results <- f.pull(ctx, a, 0) }()
			next = time.After(seedTimeout / 2)
		}
		select {
		case <-next:
			continue
		case <-results:
			finished++
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

// listingPrefixes are the key prefixes of a stale listing, in the order in which a starting
// instance needs the records: at 20 Mbit/s, the listing of 600 servers takes 160 ms, and clients
// send again meanwhile. The operators' records, which include the evacuations, come before the
// servers, so that no flow goes to an evacuated failure domain.
var listingPrefixes = []string{wire.OperatorPrefix, wire.ServerPrefix, instancePrefix}

// list reads all records. If stale is set, the store may return pages of older revisions; the
// listing is then complete only up to the revision of the oldest page. The engine gets each page
// as soon as it arrives.
func (f *Forwarder) list(ctx context.Context, stale bool) error {
	prefixes := []string{allKeysPrefix}
	if stale {
		prefixes = listingPrefixes
	}
	var records []directory.Record
	var asOf directory.Position
	for _, prefix := range prefixes {
		for after, more := "", true; more; {
			page, err := f.store.Range(ctx, prefix, after, stale)
			if err != nil {
				return err
			}
			items, pageAsOf, err := f.toRecords(page.Items, page.Era, page.AsOf)
			switch {
			case err != nil:
				return err
			case asOf > 0 && pageAsOf.Era() != asOf.Era():
				return result.Errorf(result.StoreHistoryGone, "the store changed from era %d to %d during a listing", asOf.Era(), pageAsOf.Era())
			case asOf == 0 || pageAsOf < asOf:
				asOf = pageAsOf
			}
			f.applyUpdate(directory.Update{Records: items})
			records = append(records, items...)
			if more = page.More && len(page.Items) > 0; more {
				after = page.Items[len(page.Items)-1].Key
			}
		}
	}
	f.mu.Lock()
	known := f.table.AsOf()
	changed := f.table.Replace(f.now(), records, asOf)
	f.mu.Unlock()
	f.log.Info().Bool("stale", stale).Uint64(logging.Era, asOf.Era()).Uint64(logging.Revision, asOf.Revision()).Stringer("known", known).
		Int("records", len(records)).Int("changed", len(changed)).Msg("store_listed")
	f.apply(changed)
	return nil
}

// watchAfterProbe watches after a call without a response. Either the store cannot be reached, and the
// call is repeated soon, or the response takes longer than the time limit because of many changes, and
// the same call would fail again. A call with a short response tells one from the other.
func (f *Forwarder) watchAfterProbe(ctx context.Context) (changes bool, err error) {
	if _, err := f.store.Range(ctx, instancePrefix+f.self.ID, "", false); err != nil {
		return false, err
	}
	changes, err = f.watchOnce(ctx, confirmationWait, f.timing.longWatchLimit())
	if errors.Is(err, context.DeadlineExceeded) {
		return false, result.Errorf(result.StoreHistoryGone, "the store answers, but it does not send the changes in time: %w", err)
	}
	return changes, err
}

// watchOnce waits for changes, applies them and sends them to the peers. It reports whether there
// were any. limit is the time limit of the call.
func (f *Forwarder) watchOnce(ctx context.Context, wait, limit time.Duration) (changes bool, err error) {
	f.mu.Lock()
	after := f.table.AsOf()
	f.mu.Unlock()
	events, err := f.store.WatchWithin(ctx, allKeysPrefix, after.Revision(), wait, limit)
	if err != nil {
		return false, err
	}
	records, asOf, err := f.toRecords(events.Events, events.Era, events.AsOf)
	if err != nil {
		return false, err
	}
	if asOf.Era() != after.Era() {
		// The changes follow a revision of another history.
		return false, result.Errorf(result.StoreHistoryGone, "the store is in era %d, the records are of era %d", asOf.Era(), after.Era())
	}
	if asOf < after {
		f.log.Warn().Uint64(logging.Era, asOf.Era()).Uint64(logging.Revision, asOf.Revision()).Stringer("known", after).Msg("store_behind")
	}
	u := directory.Update{Base: after, AsOf: asOf, Records: directory.Latest(records)}
	f.mu.Lock()
	changed := f.table.Apply(f.now(), u)
	f.mu.Unlock()
	if len(u.Records) == 0 {
		return false, nil
	}
	f.pushUpdate(u)
	f.apply(changed)
	return true, nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
