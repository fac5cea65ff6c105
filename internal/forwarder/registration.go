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
	// registrationRetryDelay is the delay after a failed registration.
	registrationRetryDelay = 2 * time.Second
)

// instanceRecord is the value stored under an instance's key.
type instanceRecord struct {
	Domain  string         `json:"domain"`
	Address netip.AddrPort `json:"address"`
}

// register keeps this instance registered in the directory. If an entry of an earlier
// incarnation still exists, it is rewritten under a new lease only later, so that restarts
// cause no store calls.
func (f *Forwarder) register(ctx context.Context) {
	for ctx.Err() == nil && !f.hasRecords() {
		sleep(ctx, pollInterval)
	}
	if f.isRegistered() {
		sleep(ctx, leaseRenewInterval/2+rand.N(leaseRenewInterval/2))
	}
	var lease uint64
	for ctx.Err() == nil {
		var err error
		if lease, err = f.renewRegistration(ctx, lease); err != nil {
			f.log.Warn().Uint16(logging.Code, errorCode(err)).Err(err).Msg("registration_failed")
			sleep(ctx, registrationRetryDelay+rand.N(registrationRetryDelay))
			continue
		}
		f.waitUntilUnlisted(ctx, leaseRenewInterval)
	}
}

// renewRegistration renews the lease, or grants a new lease and writes the entry under it.
func (f *Forwarder) renewRegistration(ctx context.Context, lease uint64) (uint64, error) {
	if lease != 0 && f.isRegistered() {
		err := f.store.Renew(ctx, lease)
		if result.CodeOf(err) != result.StoreNotFound {
			return lease, err
		}
	}
	lease, err := f.store.Grant(ctx, registrationLeaseTTL)
	if err != nil {
		return 0, err
	}
	value, err := json.Marshal(instanceRecord{f.self.Domain, f.self.Address})
	if err != nil {
		return 0, err
	}
	return lease, f.store.Put(ctx, instancePrefix+f.self.ID, value, lease)
}

// isRegistered reports whether the directory contains this instance with its current address.
func (f *Forwarder) isRegistered() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.table.Get(instancePrefix + f.self.ID)
	if !ok {
		return false
	}
	p, err := decodeInstance(r)
	return err == nil && p == f.self
}

// waitUntilUnlisted waits until the entry of this instance has disappeared, at most for d.
func (f *Forwarder) waitUntilUnlisted(ctx context.Context, d time.Duration) {
	end := f.now() + d
	sleep(ctx, registrationRetryDelay) // until the watch has returned the new entry
	for ctx.Err() == nil && f.now() < end && f.isRegistered() {
		sleep(ctx, time.Second)
	}
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
		f.mesh.Unlist(strings.TrimPrefix(r.Key, instancePrefix))
		f.mu.Unlock()
		return
	}
	p, err := decodeInstance(r)
	if err != nil || !p.Address.IsValid() || p.Domain == "" {
		f.log.Warn().Uint16(logging.Code, uint16(result.StoreMalformed)).Str("key", r.Key).Msg("instance_malformed")
		return
	}
	f.mu.Lock()
	f.mesh.AddPeer(p, true)
	f.mu.Unlock()
}
