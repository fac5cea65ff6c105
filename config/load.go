package config

import (
	"context"
	"slices"
	"sync"

	"golang.org/x/time/rate"

	"github.com/monsoonthread/monsoonthread/result"
)

// LoaderConfig bounds the calls of a Loader.
type LoaderConfig struct {
	// ReadsPerSecond limits the reads of service values. The default of 50 keeps the 38
	// watching instances of 19 failure domains within the 2,000 reads/s of the key-value
	// service. As many reads are allowed at once.
	ReadsPerSecond float64
	Concurrency    int // default 8
}

// Loader reads configurations from the store. It fetches only the service values
// that differ from the configuration it loaded or was given last. It is safe for
// concurrent use; loads run one at a time.
type Loader struct {
	store       Store
	limiter     *rate.Limiter
	concurrency int

	mu    sync.Mutex
	base  *Config
	known map[string]*Service // services of base by digest
}

// NewLoader returns a Loader without a known configuration.
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

// Load reads the accepted configuration. It fails with code 504 if none was accepted.
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
	l.seed(base)
	var missing []string
	for _, digest := range h.Services {
		if _, ok := l.known[digest]; !ok {
			missing = append(missing, digest)
		}
	}
	fetched, err := l.fetch(ctx, missing)
	if err != nil {
		return nil, err
	}
	c := &Config{Version: h.Version, NextServiceID: h.NextServiceID, Domains: h.Domains, Services: make([]Service, 0, len(h.Services))}
	known := make(map[string]*Service, len(h.Services))
	for name, digest := range h.Services {
		s := l.known[digest]
		if s == nil {
			s = fetched[digest]
		}
		if s.Name != name {
			return nil, result.Errorf(result.ConfigMalformed, "head names service %q for the value of %q", name, s.Name)
		}
		c.Services = append(c.Services, *s)
		known[digest] = s
	}
	slices.SortFunc(c.Services, byName)
	if err := c.Validate(); err != nil {
		return nil, err
	}
	l.base, l.known = c, known
	return c, nil
}

// seed makes the services of base known, unless they already are.
func (l *Loader) seed(base *Config) {
	if base == nil || base == l.base {
		return
	}
	known := make(map[string]*Service, len(base.Services))
	for i := range base.Services {
		known[Digest(&base.Services[i])] = &base.Services[i]
	}
	l.base, l.known = base, known
}

// fetch reads the values with these digests. The first error ends it.
func (l *Loader) fetch(ctx context.Context, digests []string) (map[string]*Service, error) {
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
		return nil, codedCause(ctx)
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

// codedCause returns the reason for which ctx ended, with a result code.
func codedCause(ctx context.Context) error {
	err := context.Cause(ctx)
	if result.CodeOf(err) == result.InternalInvariant {
		return result.Errorf(result.StoreUnavailable, "time is up: %w", err)
	}
	return err
}
