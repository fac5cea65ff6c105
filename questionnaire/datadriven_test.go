package questionnaire

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/monsoonthread/monsoonthread/config"
	"github.com/monsoonthread/monsoonthread/result"
)

const smallQuestionnaire = `deployment: shop
failure_domains:
  - name: laval
  - name: levis
    weight: 50
services:
  - name: orders
    address: 192.0.2.1:5683
    default_deadline: 2s
    max_deadline: 10s
    min_shares: {urgent: 20}
    requests:
      - {method: POST, path: /orders, urgency: urgent, idempotent: false}
      - {method: GET, path: /stock, urgency: normal, idempotent: true, stream: true}
    hosts:
      - {name: orders-01, failure_domain: laval, address: "192.0.2.11:5683"}
      - {name: orders-02, failure_domain: levis, address: "192.0.2.12:5683", relative_speed: 8, leaving: true}
`

// Guards against a mistake that is not reported, lacks its line, field or allowed values, or
// hides another one, and against a wrong diff. The command parse applies "replace|old|new"
// lines to smallQuestionnaire and parses the result; parse-input parses its own input.
func TestMistakesAndDifferences(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			text := d.Input
			if d.Cmd != "parse-input" {
				text = smallQuestionnaire
				for _, line := range strings.Split(d.Input, "\n") {
					if parts := strings.Split(line, "|"); len(parts) == 3 {
						unescape := strings.NewReplacer(`\n`, "\n")
						if !strings.Contains(text, unescape.Replace(parts[1])) {
							d.Fatalf(t, "%q is not in the questionnaire", parts[1])
						}
						text = strings.Replace(text, unescape.Replace(parts[1]), unescape.Replace(parts[2]), 1)
					}
				}
			}
			a, err := Parse([]byte(text))
			if err != nil {
				if code := result.CodeOf(err); code != result.QuestionnaireInvalid {
					d.Fatalf(t, "error has result code %d, want %d", code, result.QuestionnaireInvalid)
				}
				return err.Error() + "\n"
			}
			return diffFromSmall(t, a)
		})
	})
}

// diffFromSmall generates the configuration and returns its diff from smallQuestionnaire.
func diffFromSmall(t *testing.T, a *Answers) string {
	original, err := Parse([]byte(smallQuestionnaire))
	if err != nil {
		t.Fatal(err)
	}
	before, err := Generate(original, nil)
	if err != nil {
		t.Fatal(err)
	}
	after, err := Generate(a, before)
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	for _, c := range config.Diff(before, after) {
		fmt.Fprintln(&out, c)
	}
	if out.Len() == 0 {
		return "no changes\n"
	}
	return out.String()
}

// Guards against a prompt that accepts an invalid answer, loses a valid one, or never returns
// when the input ends.
func TestAsk(t *testing.T) {
	answers := []string{
		"Shop", "shop", // deployment
		"0", "2", "laval", "", "laval", "levis", "50", // failure domains
		"1", "orders", "192.0.2.1", "192.0.2.1:5683", "", "1h", "", "", // service; 1h is above the maximum of 10s
		"90", "20", "", "5", // shares; the sum of 110 after the second one makes its question repeat
		"2", "POST", "/orders", "urgent", "", "", "false", // request kinds; idempotent has no default
		"GET", "/stock", "normal", "true", "false", "true",
		"1", "orders-01", "temple", "laval", "192.0.2.1:5683", "192.0.2.11:5683", "", "", "8", "30s", "", "none", "",
	}
	in := strings.Join(answers, "\n") + "\n"
	var out bytes.Buffer
	b, err := Ask(strings.NewReader(in), &out)
	if err != nil {
		t.Fatalf("%v\n%s", err, &out)
	}
	a, err := Parse(b)
	if err != nil {
		t.Fatal(err)
	}
	s := a.Services[0]
	got := fmt.Sprint(a.Deployment, a.Domains, s.MinShares, s.Routes, s.BackendServers, s.DefaultDeadline)
	want := "shop[{laval 100} {levis 50}] [90 0 5] [{POST /orders urgent false false} {GET /stock normal true true}] " +
		"[{orders-01 laval 192.0.2.11:5683 2 2000 800 30000 false /health }] 2000"
	if got != want {
		t.Fatalf("got  %s\nwant %s\n%s", got, want, &out)
	}
	for cut := range answers {
		if _, err := Ask(strings.NewReader(strings.Join(answers[:cut], "\n")), &bytes.Buffer{}); result.CodeOf(err) != result.QuestionnaireInvalid {
			t.Fatalf("input ends after %d answers: %v", cut, err)
		}
	}
}

// Guards against input that crashes Parse, or that Parse accepts although no valid
// configuration can be generated from it.
func FuzzParse(f *testing.F) {
	f.Add([]byte(smallQuestionnaire))
	for _, name := range Templates {
		f.Add(Template(name))
	}
	f.Add([]byte("a: &a [*a]"))
	f.Add([]byte("deployment: [x\n"))
	f.Add([]byte(strings.Replace(smallQuestionnaire, "8,", "1e400,", 1)))
	f.Fuzz(func(t *testing.T, b []byte) {
		a, err := Parse(b)
		var mistakes *Errors
		if err != nil {
			if !errors.As(err, &mistakes) || len(mistakes.List) == 0 {
				t.Fatal(err)
			}
			return
		}
		if _, err := Generate(a, nil); err != nil {
			t.Fatalf("%v\n%s", err, b)
		}
		written, err := Format(a)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse(written); err != nil {
			t.Fatalf("%v\n%s", err, written)
		}
	})
}
