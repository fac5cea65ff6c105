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
	// instancePrefix starts the keys of the directory of instances.
	instancePrefix = "monsoonthread/instances/"
	// registrationLease is the longest lease that the store grants. Liveness comes from
	// messages; the directory only has to lead a new instance to some peer.
	registrationLease = 10 * time.Minute
	// renewInterval leaves time for a second attempt within the lease.
	renewInterval = 4 * time.Minute
	// registerAgain is the pause after a failed registration.
	registerAgain = 2 * time.Second
)

// instanceRecord is the value of an instance's key.
type instanceRecord struct {
	Domain  string         `json:"domain"`
	Address netip.AddrPort `json:"address"`
}

// register keeps the own instance in the directory. An entry that an earlier
// incarnation left is taken over later, so that restarts cost no calls.
func (f *Forwarder) register(ctx context.Context) {
	for ctx.Err() == nil && !f.complete() {
		sleep(ctx, dutyInterval)
	}
	if f.listed() {
		sleep(ctx, renewInterval/2+rand.N(renewInterval/2))
	}
	var lease uint64
	for ctx.Err() == nil {
		var err error
		if lease, err = f.renew(ctx, lease); err != nil {
			f.log.Warn().Uint16(logging.Code, errorCode(err)).Err(err).Msg("registration_failed")
			sleep(ctx, registerAgain+rand.N(registerAgain))
			continue
		}
		f.waitUnlisted(ctx, renewInterval)
	}
}

// renew renews the lease or writes the entry under a new one.
func (f *Forwarder) renew(ctx context.Context, lease uint64) (uint64, error) {
	if lease != 0 && f.listed() {
		err := f.store.Renew(ctx, lease)
		if result.CodeOf(err) != result.StoreNotFound {
			return lease, err
		}
	}
	lease, err := f.store.Grant(ctx, registrationLease)
	if err != nil {
		return 0, err
	}
	value, err := json.Marshal(instanceRecord{f.self.Domain, f.self.Address})
	if err != nil {
		return 0, err
	}
	return lease, f.store.Put(ctx, instancePrefix+f.self.ID, value, lease)
}

// listed reports whether the directory holds the own instance at its address.
func (f *Forwarder) listed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.table.Get(instancePrefix + f.self.ID)
	if !ok {
		return false
	}
	p, err := decodeInstance(r)
	return err == nil && p == f.self
}

// waitUnlisted waits until the own entry has vanished for some time or the time is over.
func (f *Forwarder) waitUnlisted(ctx context.Context, d time.Duration) {
	end := f.now() + d
	sleep(ctx, registerAgain) // until the entry has come back through the watch
	for ctx.Err() == nil && f.now() < end && f.listed() {
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

// applyInstance passes a directory entry to the mesh.
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
	f.mesh.Learn(p, true)
	f.mu.Unlock()
}
