package questionnaire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"gopkg.in/yaml.v3"

	"github.com/monsoonthread/monsoonthread/result"
)

// Ask asks every question in a terminal and returns the questionnaire that Parse
// reads. A wrong answer is reported and the question asked again. An empty answer
// takes the default in brackets.
func Ask(in io.Reader, out io.Writer) ([]byte, error) {
	d := &dialogue{in: bufio.NewScanner(in), out: out}
	d.run()
	if d.err != nil {
		return nil, d.err
	}
	a, err := Parse(d.document())
	if err != nil { // every answer was checked
		return nil, result.Errorf(result.InternalInvariant, "the answers do not form a questionnaire: %w", err)
	}
	return Format(a)
}

// dialogue asks questions and collects the answers as a YAML tree. An answer is
// checked by parsing the questionnaire given so far and looking for a mistake of the
// field in question, so that the rules are in one place.
type dialogue struct {
	in   *bufio.Scanner
	out  io.Writer
	root *yaml.Node
	err  error
}

func mapping() *yaml.Node  { return &yaml.Node{Kind: yaml.MappingNode} }
func sequence() *yaml.Node { return &yaml.Node{Kind: yaml.SequenceNode} }

// put adds a field to a mapping.
func put(m *yaml.Node, name string, value *yaml.Node) *yaml.Node {
	m.Content = append(m.Content, &yaml.Node{Kind: yaml.ScalarNode, Value: name}, value)
	return value
}

func (d *dialogue) document() []byte {
	b, err := yaml.Marshal(d.root)
	if err != nil {
		d.err = result.Errorf(result.InternalInvariant, "write answers: %w", err)
	}
	return b
}

// question is one field to ask for.
type question struct{ field, text, def string }

// ask puts questions until the answers are right.
func (d *dialogue) ask(path string, m *yaml.Node, questions ...question) {
	for _, q := range questions {
		value := &yaml.Node{Kind: yaml.ScalarNode}
		put(m, q.field, value)
		for d.err == nil {
			value.Value = d.read(q.text, q.def)
			problem := d.problem(path + q.field)
			if problem == "" || d.err != nil {
				break
			}
			fmt.Fprintf(d.out, "  %s\n", problem)
		}
	}
}

func (d *dialogue) read(text, def string) string {
	if def != "" {
		fmt.Fprintf(d.out, "%s [%s]: ", text, def)
	} else {
		fmt.Fprintf(d.out, "%s: ", text)
	}
	if !d.in.Scan() {
		err := d.in.Err()
		if err == nil {
			err = io.ErrUnexpectedEOF
		}
		d.err = result.Errorf(result.QuestionnaireInvalid, "the answers end before the last question: %w", err)
		return ""
	}
	if answer := strings.TrimSpace(strings.ToValidUTF8(d.in.Text(), "?")); answer != "" {
		return answer
	}
	return def
}

// problem returns the mistake of a field in the questionnaire given so far.
func (d *dialogue) problem(field string) string {
	var mistakes *Errors
	if _, err := Parse(d.document()); errors.As(err, &mistakes) {
		for _, m := range mistakes.List {
			if m.Field == field {
				return m.Problem + "; allowed: " + m.Allowed
			}
		}
	}
	return ""
}

// count asks how many entries follow.
func (d *dialogue) count(text, def string) int {
	const most = 1000
	for d.err == nil {
		n, err := strconv.Atoi(d.read(text, def))
		if err == nil && n >= 1 && n <= most {
			return n
		}
		if d.err == nil {
			fmt.Fprintf(d.out, "  not allowed; allowed: whole number from 1 to %d\n", most)
		}
	}
	return 0
}

func (d *dialogue) run() {
	d.root = mapping()
	d.ask("", d.root, question{"deployment", "Name of the deployment", ""})
	domains := put(d.root, "failure_domains", sequence())
	for i := range d.count("Number of failure domains", "3") {
		m := mapping()
		domains.Content = append(domains.Content, m)
		d.ask(fmt.Sprintf("failure_domains[%d].", i), m,
			question{"name", fmt.Sprintf("Name of failure domain %d", i+1), ""},
			question{"weight", "  share of new flows, relative to the others", strconv.Itoa(DefaultDomainWeight)})
	}
	services := put(d.root, "services", sequence())
	for i := range d.count("Number of services", "1") {
		m := mapping()
		services.Content = append(services.Content, m)
		d.service(fmt.Sprintf("services[%d].", i), m, i+1)
	}
}

func (d *dialogue) service(path string, m *yaml.Node, number int) {
	d.ask(path, m,
		question{"name", fmt.Sprintf("Name of service %d", number), ""},
		question{"address", "  address that callers use (ip:port)", ""},
		question{"max_deadline", "  longest time that a caller may wait", "10s"},
		question{"default_deadline", "  time that a caller waits if it does not say", "2s"},
		question{"max_request_bytes", "  largest request in bytes", strconv.Itoa(DefaultMaxRequestBytes)})
	shares := put(m, "min_shares", mapping())
	for i, urgency := range urgencies {
		d.ask(path+"min_shares.", shares, question{urgency, "  percent of the capacity that " + urgency + " requests always get", []string{"20", "10", "5"}[i]})
		d.sharesTogether(path, shares)
	}
	requests := put(m, "requests", sequence())
	for i := range d.count("  Number of request kinds", "1") {
		q := mapping()
		requests.Content = append(requests.Content, q)
		p := fmt.Sprintf("%srequests[%d].", path, i)
		d.ask(p, q,
			question{"method", fmt.Sprintf("  Method of request kind %d", i+1), "GET"},
			question{"path", "    path under which these requests are", "/"},
			question{"urgency", "    urgency", "normal"},
			question{"stream", "    is it a stream (true, false)", "false"},
			question{"idempotent", "    may it run twice without harm (true, false)", ""})
	}
	hosts := put(m, "hosts", sequence())
	for i := range d.count("  Number of hosts", "1") {
		h := mapping()
		hosts.Content = append(hosts.Content, h)
		p := fmt.Sprintf("%shosts[%d].", path, i)
		d.ask(p, h,
			question{"name", fmt.Sprintf("  Name of host %d", i+1), ""},
			question{"failure_domain", "    failure domain", ""},
			question{"address", "    address (ip:port)", ""},
			question{"slots", "    requests that it runs at once", strconv.Itoa(DefaultSlots)},
			question{"connections", "    flows that it holds open", strconv.Itoa(DefaultConnections)},
			question{"relative_speed", "    speed relative to the reference host", "1"},
			question{"warm_up", "    time until it is fast after a start", "0s"},
			question{"health_path", "    health path (none if it has none)", DefaultHealthPath},
			question{"load_path", "    load path (none if it has none)", DefaultLoadPath},
			question{"leaving", "    is it leaving (true, false)", "false"})
	}
}

// sharesTogether asks for the last share again while the sum is too high.
func (d *dialogue) sharesTogether(path string, shares *yaml.Node) {
	last := shares.Content[len(shares.Content)-1]
	for d.err == nil {
		problem := d.problem(path + "min_shares")
		if problem == "" {
			return
		}
		fmt.Fprintf(d.out, "  %s\n", problem)
		if answer := d.read("  percent", "0"); d.err == nil {
			previous := last.Value
			last.Value = answer
			if d.problem(path+"min_shares."+shares.Content[len(shares.Content)-2].Value) != "" {
				last.Value = previous
			}
		}
	}
}
