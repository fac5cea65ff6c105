package forwarder

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"github.com/monsoonthread/monsoonthread/directory"
	"github.com/monsoonthread/monsoonthread/internal/logging"
	"github.com/monsoonthread/monsoonthread/mesh"
	"github.com/monsoonthread/monsoonthread/platform/kv"
	"github.com/monsoonthread/monsoonthread/result"
)

const (
	// instancePrefix is the key prefix of the instance directory.
	instancePrefix = "monsoonthread/instances/"
	// registrationLeaseTTL is the longest lease that the store grants. Liveness is detected by
	// peer messages; the directory only helps a new instance to find a peer.
	registrationLeaseTTL = 10 * time.Minute
	// leaseRenewInterval leaves time for a second renewal attempt within the lease.
	leaseRenewInterval = 4 * time.Minute
	// registrationInterval is the time between checks for instances that the directory lacks.
	registrationInterval = 2 * time.Second
	// settledWatchTime is how long an instance must have watched the store before it registers
	// others: after a start of all instances, many watch until they have heard each other.
	settledWatchTime = 3 * time.Second
	// ownRegistrationDelay is how long an instance waits for the watcher of its failure domain
	// to register it.
	ownRegistrationDelay = 15 * time.Second
	// registrationRetryDelay is the delay after a failed registration.
	registrationRetryDelay = 2 * time.Second
	// maxRegistrations is the maximum number of writes in one call to the store.
	maxRegistrations = 32
)

// instanceRecord is the value stored under an instance's key.
type instanceRecord struct {
	Domain  string         `json:"domain"`
	Address netip.AddrPort `json:"address"`
}

// register keeps the directory of instances complete. The watcher of a failure domain registers
// all of its instances, many with one call: calls to the store are priced, and with hundreds of
// instances, two by each were most of all calls of a quiet day.
func (f *Forwarder) register(ctx context.Context) {
	r := registrar{f: f, unregisteredSince: -1, watchingSince: -1}
	for ctx.Err() == nil {
		sleep(ctx, registrationInterval/2+rand.N(registrationInterval))
		if ctx.Err() != nil || !f.hasRecords() {
			continue
		}
		if err := r.update(ctx); err != nil {
			f.log.Warn().Uint16(logging.Code, errorCode(err)).Err(err).Msg("registration_failed")
			sleep(ctx, registrationRetryDelay+rand.N(registrationRetryDelay))
		}
	}
}

// registrar writes entries of the instance directory under a lease of this instance.
type registrar struct {
	f                 *Forwarder
	lease             kv.Lease // zero for none
	renewedAt         time.Duration
	unregisteredSince time.Duration // since when this instance's own entry is missing; -1 if it is not
	watchingSince     time.Duration // since when this instance watches the store; -1 if it does not
}

func (r *registrar) update(ctx context.Context) error {
	now := r.f.now()
	if r.lease.Era != r.f.store.Era() {
		r.lease = kv.Lease{} // its ID may be another holder's by now
	}
	if r.lease.ID != 0 && now-r.renewedAt >= leaseRenewInterval {
		err := r.f.store.Renew(ctx, r.lease.ID)
		if result.CodeOf(err) == result.StoreNotFound {
			r.lease = kv.Lease{} // its entries are gone; they are written again below
		} else if err != nil {
			return err
		}
		r.renewedAt = now
	}
	peers := r.due(now)
	if len(peers) == 0 {
		return r.removeSilent(ctx, now)
	}
	return r.write(ctx, now, peers)
}

// due returns the instances that this one has to register now.
func (r *registrar) due(now time.Duration) []mesh.Peer {
	f := r.f
	f.mu.Lock()
	defer f.mu.Unlock()
	ownMissing := !f.isRegistered(f.self)
	switch {
	case !ownMissing:
		r.unregisteredSince = -1
	case r.unregisteredSince < 0:
		r.unregisteredSince = now
	}
	switch {
	case !f.mesh.Watching():
		r.watchingSince = -1
	case r.watchingSince < 0:
		r.watchingSince = now
	}
	if r.watchingSince < 0 || now-r.watchingSince < settledWatchTime {
		if ownMissing && now-r.unregisteredSince >= ownRegistrationDelay {
			return []mesh.Peer{f.self}
		}
		return nil
	}
	var out []mesh.Peer
	for _, p := range append(f.mesh.AliveDomainMembers(now), f.self) {
		if !f.isRegistered(p) && len(out) < maxRegistrations {
			out = append(out, p)
		}
	}
	return out
}

// write registers the instances under the lease, which it grants first if there is none.
func (r *registrar) write(ctx context.Context, now time.Duration, peers []mesh.Peer) error {
	hadLease := r.lease.ID != 0
	if !hadLease {
		lease, err := r.f.store.Grant(ctx, registrationLeaseTTL)
		if err != nil {
			return err
		}
		r.lease, r.renewedAt = lease, now
	}
	items := make([]kv.Item, 0, len(peers))
	for _, p := range peers {
		value, err := json.Marshal(instanceRecord{p.Domain, p.Address})
		if err != nil {
			return err
		}
		items = append(items, kv.Item{Key: instancePrefix + p.ID, Value: value, Lease: r.lease.ID})
	}
	err := r.f.store.Write(ctx, items, nil)
	if result.CodeOf(err) != result.StoreNotFound {
		return err
	}
	r.lease = kv.Lease{} // it has ended
	if hadLease {
		return r.write(ctx, now, peers)
	}
	return err
}

// removeSilent removes the entries of instances that have been silent for as long as a lease: the
// watcher renews the lease for all entries that it has written.
func (r *registrar) removeSilent(ctx context.Context, now time.Duration) error {
	f := r.f
	f.mu.Lock()
	var keys []string
	if f.mesh.Watching() && now > registrationLeaseTTL {
		for _, id := range f.mesh.SilentDomainMembers(now, registrationLeaseTTL) {
			if _, listed := f.table.Get(instancePrefix + id); listed && len(keys) < maxRegistrations {
				keys = append(keys, instancePrefix+id)
			}
		}
	}
	f.mu.Unlock()
	if len(keys) == 0 {
		return nil
	}
	return f.store.Write(ctx, nil, keys)
}

// isRegistered reports whether the directory contains the instance with its current address. The
// caller must hold mu.
func (f *Forwarder) isRegistered(p mesh.Peer) bool {
	r, ok := f.table.Get(instancePrefix + p.ID)
	if !ok {
		return false
	}
	registered, err := decodeInstance(r)
	return err == nil && registered == p
}

func decodeInstance(r directory.Record) (mesh.Peer, error) {
	var in instanceRecord
	if err := json.Unmarshal(r.Value, &in); err != nil {
		return mesh.Peer{}, result.Errorf(result.StoreMalformed, "instance %s: %w", r.Key, err)
	}
	return mesh.Peer{ID: strings.TrimPrefix(r.Key, instancePrefix), Domain: in.Domain, Address: in.Address}, nil
}

// applyInstance passes a changed directory entry to the mesh.
func (f *Forwarder) applyInstance(r directory.Record) {
	if r.Removed {
		f.mu.Lock()
		f.mesh.Unlist(f.now(), strings.TrimPrefix(r.Key, instancePrefix))
		f.mu.Unlock()
		return
	}
	p, err := decodeInstance(r)
	if err != nil || !p.Address.IsValid() || p.Domain == "" {
		f.log.Warn().Uint16(logging.Code, uint16(result.StoreMalformed)).Str("key", r.Key).Msg("instance_malformed")
		return
	}
	f.mu.Lock()
	f.mesh.List(f.now(), p)
	f.mu.Unlock()
}
