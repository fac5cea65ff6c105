package config

import (
	"context"
	"slices"
	"sync"

	"golang.org/x/time/rate"

	"github.com/monsoonthread/monsoonthread/result"
)

// LoaderConfig limits the calls of a Loader.
type LoaderConfig struct {
	// ReadsPerSecond limits the reads of service values; the burst has the same size. The
	// default of 50 keeps the 38 watching instances of 19 failure domains within the 2,000
	// reads/s of the key-value service.
	ReadsPerSecond float64
	Concurrency    int // concurrent reads of one load, default 8
}

// Loader reads configurations from the store. It reads only the service values that are
// not part of its base, the configuration that it loaded or was passed last. It is safe
// for concurrent use; loads are serialized.
type Loader struct {
	store       Store
	limiter     *rate.Limiter
	concurrency int

	mu               sync.Mutex
	base             *Config
	servicesByDigest map[string]*Service // services of base by digest
}

// NewLoader returns a Loader without a base configuration.
func NewLoader(s Store, cfg LoaderConfig) *Loader {
	if cfg.ReadsPerSecond <= 0 {
		cfg.ReadsPerSecond = 50
	}
	if cfg.Concurrency <= 0 {
		cfg.Concurrency = 8
	}
	burst := max(1, int(cfg.ReadsPerSecond))
	return &Loader{store: s, limiter: rate.NewLimiter(rate.Limit(cfg.ReadsPerSecond), burst), concurrency: cfg.Concurrency}
}

// Load reads the accepted configuration. It fails with code result.StoreNotFound if there
// is none.
func Load(ctx context.Context, s Store) (*Config, error) {
	c, _, err := NewLoader(s, LoaderConfig{}).Load(ctx, nil)
	return c, err
}

// Load reads the head and the service values that differ from base, which may be nil.
func (l *Loader) Load(ctx context.Context, base *Config) (*Config, *Head, error) {
	h, _, err := ReadHead(ctx, l.store)
	if err != nil {
		return nil, nil, err
	}
	c, err := l.LoadHead(ctx, h, base)
	return c, h, err
}

// ReadHead reads the head and its revision.
func ReadHead(ctx context.Context, s Store) (*Head, uint64, error) {
	value, revision, err := s.Get(ctx, HeadKey)
	if err != nil {
		return nil, 0, err
	}
	h, err := DecodeHead(value)
	return h, revision, err
}

// LoadHead reads the service values of a head that differ from base, which may be nil.
func (l *Loader) LoadHead(ctx context.Context, h *Head, base *Config) (*Config, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setBase(base)
	var missing []string
	for _, digest := range h.Services {
		if _, ok := l.servicesByDigest[digest]; !ok {
			missing = append(missing, digest)
		}
	}
	fetched, err := l.readServices(ctx, missing)
	if err != nil {
		return nil, err
	}
	c := &Config{Version: h.Version, NextServiceID: h.NextServiceID, Domains: h.Domains, Services: make([]Service, 0, len(h.Services))}
	known := make(map[string]*Service, len(h.Services))
	for name, digest := range h.Services {
		s := l.servicesByDigest[digest]
		if s == nil {
			s = fetched[digest]
		}
		if s.Name != name {
			return nil, result.Errorf(result.ConfigMalformed, "head lists service %q with the digest of service %q", name, s.Name)
		}
		c.Services = append(c.Services, *s)
		known[digest] = s
	}
	slices.SortFunc(c.Services, compareServiceNames)
	if err := c.Validate(); err != nil {
		return nil, err
	}
	l.base, l.servicesByDigest = c, known
	return c, nil
}

// setBase indexes the services of base, unless base is already the current one.
func (l *Loader) setBase(base *Config) {
	if base == nil || base == l.base {
		return
	}
	known := make(map[string]*Service, len(base.Services))
	for i := range base.Services {
		known[Digest(&base.Services[i])] = &base.Services[i]
	}
	l.base, l.servicesByDigest = base, known
}

// readServices reads the service values with these digests concurrently. The first error
// cancels the remaining reads.
func (l *Loader) readServices(ctx context.Context, digests []string) (map[string]*Service, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var (
		work  = make(chan string)
		group sync.WaitGroup
		mu    sync.Mutex
		found = make(map[string]*Service, len(digests))
	)
	for range min(l.concurrency, len(digests)) {
		group.Go(func() {
			for digest := range work {
				s, err := l.readService(ctx, digest)
				if err != nil {
					cancel(err)
					continue
				}
				mu.Lock()
				found[digest] = s
				mu.Unlock()
			}
		})
	}
	for _, digest := range digests {
		if ctx.Err() != nil {
			break
		}
		work <- digest
	}
	close(work)
	group.Wait()
	if ctx.Err() != nil {
		return nil, causeWithCode(ctx)
	}
	return found, nil
}

func (l *Loader) readService(ctx context.Context, digest string) (*Service, error) {
	if err := l.limiter.Wait(ctx); err != nil {
		return nil, result.Errorf(result.StoreUnavailable, "wait to read a service value: %w", err)
	}
	value, _, err := l.store.Get(ctx, ServiceKey(digest))
	if err != nil {
		return nil, result.Errorf(result.CodeOf(err), "read service value %s: %w", digest, err)
	}
	return decodeService(digest, value)
}

// causeWithCode returns the cause of the end of ctx as an error with a result code.
func causeWithCode(ctx context.Context) error {
	err := context.Cause(ctx)
	if result.CodeOf(err) == result.InternalInvariant {
		return result.Errorf(result.StoreUnavailable, "reading from the store was cancelled or timed out: %w", err)
	}
	return err
}
