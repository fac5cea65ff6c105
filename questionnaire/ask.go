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

// Ask prompts for every field on a terminal and returns a questionnaire for Parse. After
// an invalid answer it reports the mistake and repeats the question. An empty answer
// selects the default in brackets.
func Ask(in io.Reader, out io.Writer) ([]byte, error) {
	d := &prompter{in: bufio.NewScanner(in), out: out}
	d.askAll()
	if d.err != nil {
		return nil, d.err
	}
	a, err := Parse(d.marshal())
	if err != nil { // every answer has already been validated
		return nil, result.Errorf(result.InternalInvariant, "the answers do not form a valid questionnaire: %w", err)
	}
	return Format(a)
}

// prompter asks questions and collects the answers as a YAML tree. It validates an answer by
// parsing the incomplete questionnaire and looking for a mistake of that field, so that
// Parse is the only place with validation rules.
type prompter struct {
	in   *bufio.Scanner
	out  io.Writer
	root *yaml.Node
	err  error
}

func newMapping() *yaml.Node  { return &yaml.Node{Kind: yaml.MappingNode} }
func newSequence() *yaml.Node { return &yaml.Node{Kind: yaml.SequenceNode} }

// addField appends a field to a mapping and returns its value.
func addField(m *yaml.Node, name string, value *yaml.Node) *yaml.Node {
	m.Content = append(m.Content, &yaml.Node{Kind: yaml.ScalarNode, Value: name}, value)
	return value
}

func (d *prompter) marshal() []byte {
	b, err := yaml.Marshal(d.root)
	if err != nil {
		d.err = result.Errorf(result.InternalInvariant, "encode answers: %w", err)
	}
	return b
}

// question is the prompt for one field.
type question struct{ field, text, def string }

// askFields asks each question until its answer is valid.
func (d *prompter) askFields(path string, m *yaml.Node, questions ...question) {
	for _, q := range questions {
		value := &yaml.Node{Kind: yaml.ScalarNode}
		addField(m, q.field, value)
		for d.err == nil {
			value.Value = d.readAnswer(q.text, q.def)
			problem := d.fieldProblem(path + q.field)
			if problem == "" || d.err != nil {
				break
			}
			fmt.Fprintf(d.out, "  %s\n", problem)
		}
	}
}

func (d *prompter) readAnswer(text, def string) string {
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
		d.err = result.Errorf(result.QuestionnaireInvalid, "input ended before the last question: %w", err)
		return ""
	}
	if answer := strings.TrimSpace(strings.ToValidUTF8(d.in.Text(), "?")); answer != "" {
		return answer
	}
	return def
}

// fieldProblem returns the first mistake of a field in the incomplete questionnaire.
func (d *prompter) fieldProblem(field string) string {
	var mistakes *Errors
	if _, err := Parse(d.marshal()); errors.As(err, &mistakes) {
		for _, m := range mistakes.List {
			if m.Field == field {
				return m.Problem + "; allowed: " + m.Allowed
			}
		}
	}
	return ""
}

// askCount asks for the number of entries of a list.
func (d *prompter) askCount(text, def string) int {
	const maxEntries = 1000
	for d.err == nil {
		n, err := strconv.Atoi(d.readAnswer(text, def))
		if err == nil && n >= 1 && n <= maxEntries {
			return n
		}
		if d.err == nil {
			fmt.Fprintf(d.out, "  not allowed; allowed: whole number from 1 to %d\n", maxEntries)
		}
	}
	return 0
}

func (d *prompter) askAll() {
	d.root = newMapping()
	d.askFields("", d.root, question{"deployment", "Name of the deployment", ""})
	domains := addField(d.root, "failure_domains", newSequence())
	for i := range d.askCount("Number of failure domains", "3") {
		m := newMapping()
		domains.Content = append(domains.Content, m)
		d.askFields(fmt.Sprintf("failure_domains[%d].", i), m,
			question{"name", fmt.Sprintf("Name of failure domain %d", i+1), ""},
			question{"weight", "  share of new flows, relative to the others", strconv.Itoa(DefaultDomainWeight)})
	}
	services := addField(d.root, "services", newSequence())
	for i := range d.askCount("Number of services", "1") {
		m := newMapping()
		services.Content = append(services.Content, m)
		d.askService(fmt.Sprintf("services[%d].", i), m, i+1)
	}
}

func (d *prompter) askService(path string, m *yaml.Node, number int) {
	d.askFields(path, m,
		question{"name", fmt.Sprintf("Name of service %d", number), ""},
		question{"address", "  address that callers use (ip:port)", ""},
		question{"max_deadline", "  longest time that a caller may wait", "10s"},
		question{"default_deadline", "  time that a caller waits if it does not say", "2s"},
		question{"max_request_bytes", "  largest request in bytes", strconv.Itoa(DefaultMaxRequestBytes)})
	shares := addField(m, "min_shares", newMapping())
	for i, urgency := range urgencyNames {
		d.askFields(path+"min_shares.", shares, question{urgency, "  percent of the capacity that " + urgency + " requests always get", []string{"20", "10", "5"}[i]})
		d.askUntilSharesValid(path, shares)
	}
	requests := addField(m, "requests", newSequence())
	for i := range d.askCount("  Number of request kinds", "1") {
		q := newMapping()
		requests.Content = append(requests.Content, q)
		p := fmt.Sprintf("%srequests[%d].", path, i)
		d.askFields(p, q,
			question{"method", fmt.Sprintf("  Method of request kind %d", i+1), "GET"},
			question{"path", "    path under which these requests are", "/"},
			question{"urgency", "    urgency", "normal"},
			question{"stream", "    is it a stream (true, false)", "false"},
			question{"idempotent", "    may it run twice without harm (true, false)", ""})
	}
	hosts := addField(m, "hosts", newSequence())
	for i := range d.askCount("  Number of hosts", "1") {
		h := newMapping()
		hosts.Content = append(hosts.Content, h)
		p := fmt.Sprintf("%shosts[%d].", path, i)
		d.askFields(p, h,
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

// askUntilSharesValid asks for the last share again while the sum of the shares is too high.
func (d *prompter) askUntilSharesValid(path string, shares *yaml.Node) {
	last := shares.Content[len(shares.Content)-1]
	for d.err == nil {
		problem := d.fieldProblem(path + "min_shares")
		if problem == "" {
			return
		}
		fmt.Fprintf(d.out, "  %s\n", problem)
		if answer := d.readAnswer("  percent", "0"); d.err == nil {
			previous := last.Value
			last.Value = answer
			if d.fieldProblem(path+"min_shares."+shares.Content[len(shares.Content)-2].Value) != "" {
				last.Value = previous
			}
		}
	}
}
