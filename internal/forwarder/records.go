package forwarder

import (
	"strings"

	"github.com/rs/zerolog"

	"github.com/monsoonthread/monsoonthread/directory"
	"github.com/monsoonthread/monsoonthread/internal/logging"
	"github.com/monsoonthread/monsoonthread/platform/kv"
	"github.com/monsoonthread/monsoonthread/platform/wire"
	"github.com/monsoonthread/monsoonthread/result"
)

// toRecords converts the items of a response with the revision asOf. All revisions in it are of
// the era that the response names. A configuration or a server's entry that cannot be decoded
// counts as removed, so that the last value that could be is kept, also for instances that start later.
func (f *Forwarder) toRecords(items []kv.Item, era, asOf uint64) ([]directory.Record, directory.Position, error) {
	records := make([]directory.Record, 0, len(items))
	var configuration []byte // the last one among the items that could be decoded
	for _, i := range items {
		at, ok := directory.NewPosition(era, i.Revision)
		if !ok {
			return nil, 0, result.Errorf(result.StoreMalformed, "key %s: revision %d of era %d is out of range", i.Key, i.Revision, era)
		}
		r := directory.Record{Key: i.Key, Value: i.Value, Revision: at, Removed: i.Removed}
		if r.Key == wire.ConfigurationKey && !r.Removed {
			if _, err := wire.DecodeConfiguration(r.Value); err != nil {
				f.log.Error().Uint16(logging.Code, errorCode(err)).Err(err).Stringer(logging.Revision, at).Msg("configuration_malformed")
				r.Value, r.Removed = configuration, true
			}
			configuration = r.Value
		}
		if strings.HasPrefix(r.Key, wire.ServerPrefix) && !r.Removed {
			if _, err := wire.DecodeServer(r.Key, r.Value, 0); err != nil {
				f.events.newEvent(zerolog.WarnLevel).Uint16(logging.Code, errorCode(err)).Err(err).Msg("server_malformed")
				r.Value, r.Removed = nil, true
			}
		}
		records = append(records, r)
	}
	at, ok := directory.NewPosition(era, asOf)
	if !ok {
		return nil, 0, result.Errorf(result.StoreMalformed, "revision %d of era %d is out of range", asOf, era)
	}
	return records, at, nil
}

// apply passes changed records to the engine. Evacuations come first: packets are handled between
// two records, and a server must not get a new flow before the evacuation of its failure domain is
// known.
func (f *Forwarder) apply(changed []directory.Record) {
	for _, r := range changed {
		if strings.HasPrefix(r.Key, wire.EvacuationPrefix) {
			f.applyEvacuation(r)
		}
	}
	for _, r := range changed {
		switch {
		case r.Key == wire.ConfigurationKey && r.Value != nil:
			// Also if it is removed: a store that lost it does not withdraw it.
			f.applyConfiguration(r)
		case strings.HasPrefix(r.Key, wire.ServerPrefix):
			f.applyServer(r)
		case strings.HasPrefix(r.Key, instancePrefix):
			f.applyInstance(r)
		}
	}
	f.checkReady()
}

// checkReady marks the instance as ready once its records are complete and include a
// configuration. Until a first listing has ended, evacuations may be missing although the
// configuration is there.
func (f *Forwarder) checkReady() {
	f.mu.Lock()
	_, configured := f.engine.Version()
	complete := f.table.AsOf() > 0
	f.mu.Unlock()
	if configured && complete && f.initialSyncDone.Load() {
		f.lifecycle.fire(triggerCaughtUp)
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
	f.log.Info().Uint64(logging.Version, c.Version).Int("routes", len(c.Routes)).Stringer(logging.Revision, r.Revision).Bool("in_force", inForce).Msg("configuration")
}

func (f *Forwarder) applyServer(r directory.Record) {
	if r.Value == nil {
		return // removal of an unknown record
	}
	s, err := wire.DecodeServer(r.Key, r.Value, uint64(r.Revision))
	if err != nil {
		f.events.newEvent(zerolog.WarnLevel).Uint16(logging.Code, errorCode(err)).Err(err).Msg("server_malformed")
		return
	}
	s.Unconfirmed = r.Unconfirmed
	put := f.engine.PutServer
	if r.Removed {
		put = f.engine.RemoveServer
	}
	f.mu.Lock()
	actions := put(f.now(), s)
	f.mu.Unlock()
	f.perform(actions)
	if !f.initialSyncDone.Load() {
		return // a line for each of hundreds of servers would delay the start by 70 ms
	}
	f.events.newEvent(zerolog.InfoLevel).Str(logging.Server, s.Name).Str(logging.Service, s.Service).Str(logging.Domain, s.Domain).Stringer(logging.Address, s.Address).
		Bool("draining", s.Draining).Bool("removed", r.Removed).Bool("unconfirmed", s.Unconfirmed).Dur("cold_left", s.ColdLeft).Int64("born", s.StartedAt).Stringer(logging.Revision, r.Revision).Msg("server")
}
