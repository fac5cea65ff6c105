package config

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/monsoonthread/monsoonthread/result"
)

// drawChange returns a copy of c with some services changed, removed or added.
func drawChange(t *rapid.T, c *Config) *Config {
	n := testConfig(rapid.IntRange(1, 8).Draw(t, "services"), 8, 100)
	n.Version = c.Version + uint64(rapid.IntRange(1, 3).Draw(t, "step"))
	for i := range n.Services {
		n.Services[i].MaxDeadline += Milliseconds(rapid.IntRange(0, 1).Draw(t, "changed"))
	}
	n.Domains[0].Weight = uint32(rapid.IntRange(0, 2).Draw(t, "weight"))
	return n
}

// Guards against a delta that does not produce the version in force, and against a delta
// applied to a version other than its base.
func TestEncodeSinceReproducesContent(t *testing.T) {
	deltas, full := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		var ahead, behind Current
		c := testConfig(3, 8, 100)
		for range rapid.IntRange(1, 12).Draw(t, "versions") {
			c = drawChange(t, c)
			if rapid.IntRange(0, 4).Draw(t, "skipped") == 0 { // a version that the responding peer never had
				behind.Apply(c)
				continue
			}
			ahead.Apply(c)
			if !rapid.Bool().Draw(t, "fetch") {
				continue
			}
			known := behind.Version()
			b, err := ahead.EncodeSince(known)
			if err != nil {
				t.Fatal(err)
			}
			if known >= ahead.Version() {
				continue
			}
			doc, err := decodeDocument(b)
			if err != nil {
				t.Fatal(err)
			}
			if doc.Base == known && known > 0 {
				deltas++
			} else {
				full++
			}
			if changed, err := behind.ApplyEncoded(b); !changed || err != nil {
				t.Fatal(changed, err)
			}
			if d := Diff(ahead.Get(), behind.Get()); len(d) > 0 || behind.Version() != ahead.Version() {
				t.Fatalf("versions %d and %d differ: %v", ahead.Version(), behind.Version(), d)
			}
			if changed, err := behind.ApplyEncoded(b); changed || doc.Base != 0 && result.CodeOf(err) != result.ConfigStale {
				t.Fatalf("same delta applied twice: %t, %v", changed, err)
			}
		}
	})
	if deltas == 0 || full == 0 {
		t.Fatalf("%d deltas and %d full configurations were sent, want at least one of each", deltas, full)
	}
}

// Guards against a version in force that decreases, and against a delta with a wrong base
// that changes the configuration although it is rejected.
func TestCurrentNeverRollsBack(t *testing.T) {
	var c Current
	b, err := c.EncodeSince(0)
	if b != nil || err != nil || c.Version() != 0 || c.Apply(nil) {
		t.Fatal("an empty Current is not empty")
	}
	five, four := testConfig(2, 2, 100), testConfig(2, 2, 200)
	five.Version, four.Version = 5, 4
	if !c.Apply(five) || c.Apply(four) || c.Apply(five) || c.Get() != five {
		t.Fatal("the version in force is not 5")
	}
	// The base has the same version but other content, so the delta does not match.
	six, other := testConfig(2, 2, 100), testConfig(2, 2, 300)
	six.Version, other.Version = 6, 5
	six.Services[0].MaxDeadline++
	six.Services[1].BackendServers = other.Services[1].BackendServers
	if b, err = encodeSince(other, six); err != nil {
		t.Fatal(err)
	}
	if _, err := c.ApplyEncoded(b); result.CodeOf(err) != result.DigestMismatch || c.Get() != five {
		t.Fatalf("delta from a different version 5: %v", err)
	}
	if _, err := c.ApplyEncoded(nil); result.CodeOf(err) != result.ConfigMalformed {
		t.Fatal(err)
	}
}

// Guards against a limit or rule that Validate does not check.
func TestValidateFindsEachFault(t *testing.T) {
	server := func(c *Config) *BackendServer { return &c.Services[0].BackendServers[0] }
	for want, corrupt := range map[string]func(c *Config){
		"domain name \"East\"":       func(c *Config) { c.Domains[0].Name = "East" },
		"domain \"east\" appears":    func(c *Config) { c.Domains[1].Name = "east" },
		"weight 10001":               func(c *Config) { c.Domains[1].Weight = 10_001 },
		"no failure domain has":      func(c *Config) { c.Domains[0].Weight, c.Domains[1].Weight = 0, 0 },
		"service name \"\"":          func(c *Config) { c.Services[0].Name = "" },
		"\"service-00000\" appears":  func(c *Config) { c.Services[1].Name = "service-00000" },
		"not sorted":                 func(c *Config) { c.Services[0], c.Services[1] = c.Services[1], c.Services[0] },
		"ID 0, outside":              func(c *Config) { c.Services[0].ID = 0 },
		"ID 3, outside":              func(c *Config) { c.Services[0].ID = 3 },
		"both have ID 2":             func(c *Config) { c.Services[0].ID = 2 },
		"is not a unicast":           func(c *Config) { c.Services[0].Address = netip.AddrPort{} },
		"share the address":          func(c *Config) { c.Services[0].Address = server(c).Address },
		"add up to 101%":             func(c *Config) { c.Services[0].MinShares[Bulk] = 71 },
		"4294967297":                 func(c *Config) { c.Services[0].MinShares = [NumClasses]uint32{1 << 31, 1 << 31, 1} },
		"need 0 < default <= max":    func(c *Config) { c.Services[0].DefaultDeadline = 10_001 },
		"are 0 and 10000":            func(c *Config) { c.Services[0].DefaultDeadline = 0 },
		"max_request_bytes":          func(c *Config) { c.Services[0].MaxRequestBytes = 0 },
		"method \"get\"":             func(c *Config) { c.Services[0].Routes[0].Method = "get" },
		"path prefix":                func(c *Config) { c.Services[0].Routes[0].PathPrefix = "stock" },
		"class 3":                    func(c *Config) { c.Services[0].Routes[0].Class = 3 },
		"cannot be a stream":         func(c *Config) { c.Services[0].Routes[1].Stream = true },
		"must be idempotent":         func(c *Config) { c.Services[0].Routes[0] = Route{"GET", "/", Normal, false, true} },
		"the route GET / twice":      func(c *Config) { c.Services[0].Routes[1] = c.Services[0].Routes[0] },
		"server name":                func(c *Config) { server(c).Name = "-" },
		"\"host-00001\" appears in":  func(c *Config) { server(c).Name = "host-00001" },
		"unknown failure domain":     func(c *Config) { server(c).Domain = "north" },
		"slots of":                   func(c *Config) { server(c).Slots = 0 },
		"connections of":             func(c *Config) { server(c).Connections = -1 },
		"weight of":                  func(c *Config) { server(c).Weight = 0 },
		"warm_up_ms of":              func(c *Config) { server(c).WarmUp = -1 },
		"health path":                func(c *Config) { server(c).HealthPath = "/a b" },
		"load path":                  func(c *Config) { server(c).LoadPath = "load" },
		"127.0.0.1:0\" of \"host":    func(c *Config) { server(c).Address = netip.MustParseAddrPort("127.0.0.1:0") },
		"224.0.0.1:1\" of \"service": func(c *Config) { c.Services[0].Address = netip.MustParseAddrPort("224.0.0.1:1") },
	} {
		c := testConfig(2, 2, 100)
		if err := c.Validate(); err != nil {
			t.Fatal(err)
		}
		corrupt(c)
		if err := c.Validate(); result.CodeOf(err) != result.ConfigMalformed || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
		if b, err := c.Encode(); err == nil {
			t.Errorf("%s: encoded as %d bytes", want, len(b))
		}
	}
}

// mutateEachField changes each leaf value under v, one at a time, calls check and restores
// the value.
func mutateEachField(v reflect.Value, path string, check func(path string)) {
	switch v.Kind() {
	case reflect.Struct:
		if a, ok := v.Addr().Interface().(*netip.AddrPort); ok {
			old := *a
			*a = netip.AddrPortFrom(old.Addr().Next(), old.Port())
			check(path + " IP")
			*a = netip.AddrPortFrom(old.Addr(), old.Port()+1)
			check(path + " port")
			*a = old
			return
		}
		for i := range v.NumField() {
			mutateEachField(v.Field(i), path+"."+v.Type().Field(i).Name, check)
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			mutateEachField(v.Index(i), fmt.Sprintf("%s[%d]", path, i), check)
		}
	default:
		old := reflect.ValueOf(v.Interface())
		switch {
		case v.CanInt():
			v.SetInt(v.Int() + 1)
		case v.CanUint():
			v.SetUint(v.Uint() + 1)
		case v.Kind() == reflect.Bool:
			v.SetBool(!v.Bool())
		default:
			v.SetString(v.String() + "x")
		}
		check(path)
		v.Set(old)
	}
}

// Guards against a field that the content digest, the service digest, Diff or equalServices
// ignores: a change to it would not reach every instance or would not be shown.
func TestEachFieldIsCompared(t *testing.T) {
	before, c := testConfig(2, 3, 100), testConfig(2, 3, 100)
	content, fields := contentDigest(c), 0
	mutateEachField(reflect.ValueOf(c).Elem(), "", func(path string) {
		fields++
		if path == ".Version" {
			return
		}
		if contentDigest(c) == content {
			t.Errorf("contentDigest ignores %s", path)
		}
		if path != ".NextServiceID" && len(Diff(before, c)) == 0 {
			t.Errorf("Diff ignores %s", path)
		}
		if strings.HasPrefix(path, ".Services[0]") {
			if equalServices(&before.Services[0], &c.Services[0]) {
				t.Errorf("equalServices ignores %s", path)
			}
			if Digest(&before.Services[0]) == Digest(&c.Services[0]) {
				t.Errorf("Digest ignores %s", path)
			}
		}
	})
	if contentDigest(c) != content || fields < 70 {
		t.Fatalf("the content digest is %s after %d fields were changed and restored, want %s and at least 70 fields", contentDigest(c), fields, content)
	}
}

// compress gzips plain, as Decode expects.
func compress(plain []byte) []byte {
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	z.Write(plain)
	z.Close()
	return b.Bytes()
}

// Guards against decoding malformed input, and against small input that decompresses to an
// excessive size.
func TestDecodeRejectsMalformedInput(t *testing.T) {
	good, err := testConfig(1, 1, 100).Encode()
	if err != nil {
		t.Fatal(err)
	}
	doc, err := decodeDocument(good)
	if err != nil {
		t.Fatal(err)
	}
	with := func(change func(d *document)) []byte {
		d := *doc
		change(&d)
		b, err := json.Marshal(&d)
		if err != nil {
			t.Fatal(err)
		}
		return compress(b)
	}
	z, err := gzip.NewReader(bytes.NewReader(good))
	if err != nil {
		t.Fatal(err)
	}
	plain, err := io.ReadAll(z)
	if err != nil {
		t.Fatal(err)
	}
	for name, test := range map[string]struct {
		b    []byte
		code result.Code
	}{
		"empty":         {nil, result.ConfigMalformed},
		"not gzip":      {[]byte("{}"), result.ConfigMalformed},
		"truncated":     {good[:len(good)-5], result.ConfigMalformed},
		"not JSON":      {compress([]byte("x")), result.ConfigMalformed},
		"unknown field": {compress(bytes.Replace(plain, []byte("{"), []byte(`{"other":1,`), 1)), result.ConfigMalformed},
		"two values":    {compress(append(bytes.Clone(plain), "{}"...)), result.ConfigMalformed},
		"other format":  {with(func(d *document) { d.Format = 2 }), result.ConfigMalformed},
		"no version":    {with(func(d *document) { d.Version = 0 }), result.ConfigMalformed},
		"other content": {with(func(d *document) { d.NextServiceID++ }), result.DigestMismatch},
		"delta":         {with(func(d *document) { d.Base = 1 }), result.ConfigStale},
		"too large":     {make([]byte, MaxValueBytes+1), result.ConfigTooLarge},
		"zip bomb":      {compress(make([]byte, maxDecodedBytes+1)), result.ConfigTooLarge},
	} {
		if _, err := Decode(test.b); result.CodeOf(err) != test.code {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Guards against requests that get the class of another route, or are treated as idempotent
// although no route matches.
func TestRouteForTakesLongestPrefix(t *testing.T) {
	s := &Service{Routes: []Route{
		{"*", "/", Bulk, true, false},
		{"POST", "/orders", Urgent, false, false},
		{"*", "/orders", Normal, true, false},
		{"GET", "/orders/large", Bulk, true, false},
	}}
	for request, want := range map[string]*Route{
		"POST /orders": &s.Routes[1], "POST /orders/1": &s.Routes[1], "GET /orders": &s.Routes[2], "GET /orders/large/1": &s.Routes[3],
		"POST /orders/large": &s.Routes[1], "GET /orders2": &s.Routes[0], "GET /": &s.Routes[0], "GET ": &s.Routes[0],
	} {
		method, path, _ := strings.Cut(request, " ")
		if got := s.RouteFor(method, path); got != want {
			t.Errorf("%s: %+v", request, got)
		}
	}
	s.Routes = s.Routes[1:2]
	if got := s.RouteFor("GET", "/orders"); got.Idempotent || got.Class != Normal {
		t.Errorf("no match: %+v", got)
	}
	if allocations := testing.AllocsPerRun(100, func() { s.RouteFor("POST", "/orders/1") }); allocations != 0 {
		t.Errorf("%v allocations", allocations)
	}
}

// Guards against input that crashes a decoder, or that is accepted but does not survive a
// round trip.
func FuzzDecoders(f *testing.F) {
	c := testConfig(2, 3, 100)
	full, err := c.Encode()
	if err != nil {
		f.Fatal(err)
	}
	store := newFakeStore()
	if _, err := Accept(context.Background(), store, c, 0, "a"); err != nil {
		f.Fatal(err)
	}
	f.Add(full)
	f.Add(store.values[HeadKey].value)
	f.Add(encodeService(&c.Services[0]))
	f.Add([]byte(`{"format":1,"version":18446744073709551615,"domains":[{"name":"a","weight":4294967295}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		// Compressing the input lets it reach the decoder behind the decompression.
		for _, form := range [][]byte{b, compress(b)} {
			if c, err := Decode(form); err == nil {
				again, err := c.Encode()
				if err != nil {
					t.Fatal(err)
				}
				if back, err := Decode(again); err != nil || len(Diff(c, back)) > 0 {
					t.Fatalf("%v %v", err, Diff(c, back))
				}
			}
		}
		if h, err := DecodeHead(b); err == nil {
			if _, err := EncodeHead(h); err != nil {
				t.Fatal(err)
			}
		}
		if s, err := decodeService(valueDigest(b), b); err == nil && Digest(s) != valueDigest(b) {
			t.Fatal("a service has two digests")
		}
	})
}

// targetConfigs returns a configuration with the ratio of services to hosts from section 1.6
// of the design page, and its next version, in which one service differs.
func targetConfigs(hosts int) (before, after *Config) {
	services := hosts * 2800 / 12_000
	before, after = testConfig(services, hosts, 100), testConfig(services, hosts, 100)
	after.Version = 2
	// Unchanged services share their slices, as after a load.
	copy(after.Services, before.Services)
	s := &after.Services[services/2]
	s.BackendServers = append([]BackendServer{}, s.BackendServers...)
	s.BackendServers[0].Leaving = true
	return before, after
}

// BenchmarkConfig measures the cost of a configuration for an instance. The sizes show how it
// grows up to the target of 12,000 hosts and 2,800 services.
func BenchmarkConfig(b *testing.B) {
	for _, hosts := range []int{750, 3000, 6000, 12_000} {
		before, after := targetConfigs(hosts)
		full, err := after.Encode()
		if err != nil {
			b.Fatal(err)
		}
		delta, err := encodeSince(before, after)
		if err != nil {
			b.Fatal(err)
		}
		run := func(name string, bytes int, f func()) {
			b.Run(fmt.Sprintf("%s/hosts=%d", name, hosts), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					f()
				}
				b.ReportMetric(float64(bytes), "bytes")
			})
		}
		run("encode-whole", len(full), func() { after.Encode() })
		run("decode-whole", len(full), func() { Decode(full) })
		run("encode-change", len(delta), func() { encodeSince(before, after) })
		run("apply-change", len(delta), func() {
			var c Current
			c.Apply(before)
			if _, err := c.ApplyEncoded(delta); err != nil {
				b.Fatal(err)
			}
		})
		run("diff", 0, func() { Diff(before, after) })
		benchmarkLoad(b, before, after)
	}
}

// benchmarkLoad measures loading one changed service from the store.
func benchmarkLoad(b *testing.B, before, after *Config) {
	values := make(map[string]stored)
	h := &Head{Format: headFormat, Version: 2, AcceptID: "b", NextServiceID: after.NextServiceID, Domains: after.Domains,
		Services: map[string]string{}, Recent: []AcceptRecord{{"b", 2, ""}}}
	for i := range after.Services {
		value := encodeService(&after.Services[i])
		h.Services[after.Services[i].Name] = valueDigest(value)
		values[ServiceKey(valueDigest(value))] = stored{value, 1}
	}
	head, err := EncodeHead(h)
	if err != nil {
		b.Fatal(err)
	}
	values[HeadKey] = stored{head, 2}
	store := &fakeStore{values: values}
	loader := NewLoader(store, LoaderConfig{ReadsPerSecond: 1e9})
	loader.setBase(before)
	known := loader.servicesByDigest
	b.Run(fmt.Sprintf("load-change/hosts=%d", len(after.Services)*12_000/2800), func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			// Each iteration starts with the older version as the base.
			loader.base, loader.servicesByDigest = before, known
			if _, _, err := loader.Load(context.Background(), before); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(head)), "bytes")
	})
}
