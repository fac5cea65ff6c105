package permit

import (
	"bytes"
	"encoding/binary"
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/monsoonthread/monsoonthread/result"
)

// init sets defaults that the command line can override.
func init() {
	flag.Set("rapid.checks", "2000")
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
}

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func newIssuer(t rapid.TB, cfg Config, incarnation uint64) *Issuer {
	i, err := NewIssuer(cfg, "entry-1", incarnation, rand.NewChaCha8([32]byte{byte(incarnation)}))
	if err != nil {
		t.Fatal(err)
	}
	return i
}

// modelPermit is the model's state of one permit.
type modelPermit struct {
	bytes       []byte
	flow        uint64
	incarnation uint64
	expiry      time.Time
	request     uint64
	nonce       uint64
	running     bool
	runs        int
	refused     bool // "not executed" was answered
	answer      *Answer
}

// Guards against a request that runs twice, runs after it was refused as not executed, or gets
// the answer of another request, and against unbounded records. Duplicates, expiry,
// pauses, restarts and rejoins occur in random order.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Lifetime: 5 * time.Second, MaxRecords: rapid.IntRange(1, 6).Draw(t, "records"), MaxAnswerBytes: 40, MaxWaiters: 3}
		now, incarnation := start, uint64(1)
		issuer := newIssuer(t, cfg, incarnation)
		var permits []*modelPermit
		pick := func() *modelPermit {
			if len(permits) == 0 {
				t.Skip("no permit yet")
			}
			return rapid.SampledFrom(permits).Draw(t, "permit")
		}
		t.Repeat(map[string]func(*rapid.T){
			"issue": func(t *rapid.T) {
				for range rapid.IntRange(1, 3).Draw(t, "permits") {
					flow := rapid.Uint64Range(1, 3).Draw(t, "flow")
					if b := issuer.Issue(now, flow, 7); b != nil {
						permits = append(permits, &modelPermit{bytes: b, flow: flow, incarnation: incarnation, expiry: now.Add(cfg.Lifetime)})
					}
				}
			},
			"begin": func(t *rapid.T) {
				p := pick()
				request := 1 + uint64(rapid.IntRange(0, 4).Draw(t, "other request")/4)
				flow := p.flow + uint64(rapid.IntRange(0, 9).Draw(t, "other flow")/9)
				back := time.Duration(rapid.IntRange(0, 4).Draw(t, "clock steps back")/4) * cfg.Lifetime
				if back > 0 {
					issuer.Expire(now)
				}
				d, err := issuer.Begin(now.Add(-back), p.bytes, flow, 7, request, p)
				p.check(t, now, incarnation, flow, request, d, err)
			},
			"complete": func(t *rapid.T) {
				p := pick()
				a := Answer{Code: rapid.SampledFrom([]result.Code{result.OK, result.QueueFull, result.BackendTimeout}).Draw(t, "code")}
				if a.Code == result.OK {
					a.Response = binary.BigEndian.AppendUint64(nil, p.nonce)
				}
				waiters := issuer.Complete(now, p.nonce, a)
				if (len(waiters) > 0) != p.running || len(waiters) > cfg.MaxWaiters {
					t.Fatalf("%d waiters, running %v", len(waiters), p.running)
				}
				if p.running {
					p.running, p.answer, p.refused = false, &a, a.Code.NotExecuted()
				}
			},
			"advance": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			},
			"expire": func(t *rapid.T) {
				issuer.Expire(now)
				unexpired := 0 // expired records are removed with a granularity of 1 s
				for _, p := range permits {
					if p.nonce != 0 && (p.running || now.Before(p.expiry.Add(time.Second))) {
						unexpired++
					}
				}
				if issuer.RecordCount() > unexpired {
					t.Fatalf("%d records, want at most %d: one per running request or unexpired permit", issuer.RecordCount(), unexpired)
				}
			},
			"disturb": func(t *rapid.T) {
				switch rapid.IntRange(0, 9).Draw(t, "kind") {
				case 0: // the process is paused
					now = now.Add(2 * cfg.Lifetime)
				case 1: // the process restarts
					incarnation++
					issuer = newIssuer(t, cfg, incarnation)
					for _, p := range permits {
						p.running, p.nonce = false, 0
					}
				case 2: // the instance rejoins
					incarnation++
					issuer.SetIncarnation(incarnation)
				}
			},
			"": func(t *rapid.T) {
				if issuer.RecordCount() > cfg.MaxRecords {
					t.Fatalf("%d records, limit %d", issuer.RecordCount(), cfg.MaxRecords)
				}
				if issuer.answerBytes > cfg.MaxAnswerBytes+8*cfg.MaxRecords {
					t.Fatalf("%d bytes of answers", issuer.answerBytes)
				}
			},
		})
	})
}

// check fails if the model does not allow the decision or error.
func (p *modelPermit) check(t *rapid.T, now time.Time, incarnation, flow, request uint64, d Decision, err error) {
	code, want := result.CodeOf(err), result.OK
	switch {
	case p.incarnation != incarnation:
		want = result.PermitOutOfDate
	case flow != p.flow, (p.running || p.answer != nil) && p.request != request && now.Before(p.expiry):
		want = result.PermitFlowMismatch
	case !now.Before(p.expiry):
		want = result.PermitExpired
	}
	if want != result.OK {
		// The record of a refused request may have been evicted.
		if code != want && !(code == result.TableFull && p.refused && p.request != request) {
			t.Fatalf("got code %d, want %d", code, want)
		}
		return
	}
	if code == result.TableFull {
		if p.running || p.runs > 0 && !p.refused {
			t.Fatalf("request that ran was refused as not executed: %v", err)
		}
		p.refused = true
		return
	}
	if err != nil {
		t.Fatal(err)
	}
	switch d := d.(type) {
	case Run:
		if p.runs++; p.runs > 1 || p.refused {
			t.Fatalf("run %d, refused before: %v", p.runs, p.refused)
		}
		p.nonce, p.request, p.running = d.Nonce, request, true
	case Join:
		if !p.running || p.request != request {
			t.Fatalf("joined a request that is not running")
		}
	case Replay:
		if p.answer == nil || p.request != request || d.Answer.Code != p.answer.Code || !bytes.Equal(d.Answer.Response, p.answer.Response) {
			t.Fatalf("replayed %+v, want %+v", d.Answer, p.answer)
		}
	}
}

// Guards against accepting a permit after any of its bits was changed, at an issuer with
// another key, or for another service.
func TestForgedPermits(t *testing.T) {
	i := newIssuer(t, Config{}, 1)
	b := i.Issue(start, 1, 7)
	if len(b) > 40 {
		t.Fatalf("%d bytes exceed the Echo option", len(b))
	}
	for bit := range len(b) * 8 {
		forged := bytes.Clone(b)
		forged[bit/8] ^= 1 << (bit % 8)
		want := []result.Code{result.IssuerLost, result.PermitOutOfDate, result.ForgedPermit, result.ForgedPermit, result.ForgedPermit}[bit/64]
		if _, err := i.Begin(start, forged, 1, 7, 1, nil); result.CodeOf(err) != want {
			t.Errorf("bit %d: got %v, want %d", bit, err, want)
		}
	}
	other, _ := NewIssuer(Config{}, "entry-1", 1, rand.NewChaCha8([32]byte{99}))
	if _, err := other.Begin(start, b, 1, 7, 1, nil); result.CodeOf(err) != result.ForgedPermit {
		t.Errorf("same incarnation, other key: %v", err)
	}
	if _, err := i.Begin(start, b, 1, 8, 1, nil); result.CodeOf(err) != result.PermitFlowMismatch {
		t.Errorf("other service: %v", err)
	}
}

// Guards against a flood of requests that are refused as not executed: unless their records
// are evicted, callers that retry promptly are refused with TableFull. Also guards against
// running a refused request after its record was evicted.
func TestRefusedRecordsAreEvicted(t *testing.T) {
	i := newIssuer(t, Config{MaxRecords: 100}, 1)
	now := start
	var first []byte
	for n := range 1000 {
		now = now.Add(time.Millisecond)
		b := i.Issue(now, 1, 7)
		if n == 0 {
			first = b
		}
		d, err := i.Begin(now, b, 1, 7, uint64(n), nil)
		if err != nil {
			t.Fatalf("request %d: %v", n, err)
		}
		i.Complete(now, d.(Run).Nonce, Answer{Code: result.QueueFull})
	}
	if i.RecordCount() != 100 {
		t.Fatalf("%d records", i.RecordCount())
	}
	if d, err := i.Begin(now, first, 1, 7, 0, nil); result.CodeOf(err) != result.TableFull {
		t.Fatalf("refused request after eviction: %v, %v", d, err)
	}
}

// Guards against records that are kept after their permits expired when Expire is not
// called.
func TestTrafficExpiresRecords(t *testing.T) {
	i := newIssuer(t, Config{Lifetime: 2 * time.Second}, 1)
	for n := range 100 {
		now := start.Add(time.Duration(n) * 100 * time.Millisecond)
		d, err := i.Begin(now, i.Issue(now, 1, 7), 1, 7, 1, nil)
		if err != nil {
			t.Fatal(err)
		}
		i.Complete(now, d.(Run).Nonce, Answer{Response: []byte("done")})
		if i.RecordCount() > 31 { // 2 s, and 1 s of granularity
			t.Fatalf("%d records at %d", i.RecordCount(), n)
		}
	}
}

// Guards against memory use that grows with requests for permits, which anyone can send.
func TestIssueKeepsNoState(t *testing.T) {
	i := newIssuer(t, Config{}, 1)
	allocs := testing.AllocsPerRun(1000, func() { i.Issue(start, 1, 7) })
	if i.RecordCount() != 0 || allocs > 1 {
		t.Fatalf("%d records, %v allocations per permit", i.RecordCount(), allocs)
	}
}

// Guards against panics and against accepting a permit that this process did not issue.
func FuzzBegin(f *testing.F) {
	i := newIssuer(f, Config{}, 1)
	valid := i.Issue(start, 1, 7)
	f.Add(valid, uint64(1))
	f.Add(valid[:39], uint64(1))
	f.Add(append(bytes.Clone(valid), 0), uint64(1))
	f.Add(make([]byte, Size), uint64(0))
	f.Add([]byte(nil), uint64(3))
	f.Fuzz(func(t *testing.T, b []byte, flow uint64) {
		header, err := Parse(b)
		if (err == nil) != (len(b) == Size) {
			t.Fatalf("%d bytes: %v", len(b), err)
		}
		if err == nil && binary.BigEndian.Uint64(b) != header.InstanceHash {
			t.Fatalf("issuer %x of % x", header.InstanceHash, b)
		}
		if _, err := i.Begin(start, b, flow, 7, 1, nil); err == nil && (!bytes.Equal(b, valid) || flow != 1) {
			t.Fatalf("accepted % x for flow %d", b, flow)
		}
	})
}

func BenchmarkIssue(b *testing.B) {
	i := newIssuer(b, Config{}, 1)
	b.ReportAllocs()
	for b.Loop() {
		i.Issue(start, 1, 7)
	}
}
