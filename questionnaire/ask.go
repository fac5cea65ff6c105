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
	p := &prompter{in: bufio.NewScanner(in), out: out}
	p.askAll()
	if p.err != nil {
		return nil, p.err
	}
	a, err := Parse(p.marshal())
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

func (p *prompter) marshal() []byte {
	b, err := yaml.Marshal(p.root)
	if err != nil {
		p.err = result.Errorf(result.InternalInvariant, "encode answers: %w", err)
	}
	return b
}

// question is the prompt for one field.
type question struct{ field, text, def string }

// askFields asks each question until its answer is valid.
func (p *prompter) askFields(path string, m *yaml.Node, questions ...question) {
	for _, q := range questions {
		value := &yaml.Node{Kind: yaml.ScalarNode}
		addField(m, q.field, value)
		for p.err == nil {
			value.Value = p.readAnswer(q.text, q.def)
			problem := p.fieldProblem(path + q.field)
			if problem == "" || p.err != nil {
				break
			}
			fmt.Fprintf(p.out, "  %s\n", problem)
		}
	}
}

func (p *prompter) readAnswer(text, def string) string {
	if def != "" {
		fmt.Fprintf(p.out, "%s [%s]: ", text, def)
	} else {
		fmt.Fprintf(p.out, "%s: ", text)
	}
	if !p.in.Scan() {
		err := p.in.Err()
		if err == nil {
			err = io.ErrUnexpectedEOF
		}
		p.err = result.Errorf(result.QuestionnaireInvalid, "input ended before the last question: %w", err)
		return ""
	}
	if answer := strings.TrimSpace(strings.ToValidUTF8(p.in.Text(), "?")); answer != "" {
		return answer
	}
	return def
}

// fieldProblem returns the first mistake of a field in the incomplete questionnaire.
func (p *prompter) fieldProblem(field string) string {
	var mistakes *Errors
	if _, err := Parse(p.marshal()); errors.As(err, &mistakes) {
		for _, m := range mistakes.List {
			if m.Field == field {
				return m.Problem + "; allowed: " + m.Allowed
			}
		}
	}
	return ""
}

// askCount asks for the number of entries of a list.
func (p *prompter) askCount(text, def string) int {
	const maxEntries = 1000
	for p.err == nil {
		n, err := strconv.Atoi(p.readAnswer(text, def))
		if err == nil && n >= 1 && n <= maxEntries {
			return n
		}
		if p.err == nil {
			fmt.Fprintf(p.out, "  not allowed; allowed: whole number from 1 to %d\n", maxEntries)
		}
	}
	return 0
}

func (p *prompter) askAll() {
	p.root = newMapping()
	p.askFields("", p.root, question{"deployment", "Name of the deployment", ""})
	domains := addField(p.root, "failure_domains", newSequence())
	for i := range p.askCount("Number of failure domains", "3") {
		m := newMapping()
		domains.Content = append(domains.Content, m)
		p.askFields(fmt.Sprintf("failure_domains[%d].", i), m,
			question{"name", fmt.Sprintf("Name of failure domain %d", i+1), ""},
			question{"weight", "  share of new flows, relative to the others", strconv.Itoa(DefaultDomainWeight)})
	}
	services := addField(p.root, "services", newSequence())
	for i := range p.askCount("Number of services", "1") {
		m := newMapping()
		services.Content = append(services.Content, m)
		p.askService(fmt.Sprintf("services[%d].", i), m, i+1)
	}
}

func (p *prompter) askService(path string, m *yaml.Node, number int) {
	p.askFields(path, m,
		question{"name", fmt.Sprintf("Name of service %d", number), ""},
		question{"address", "  address that callers use (ip:port)", ""},
		question{"max_deadline", "  longest time that a caller may wait", "10s"},
		question{"default_deadline", "  time that a caller waits if it does not say", "2s"},
		question{"max_request_bytes", "  largest request in bytes", strconv.Itoa(DefaultMaxRequestBytes)})
	shares := addField(m, "min_shares", newMapping())
	for i, urgency := range urgencyNames {
		p.askFields(path+"min_shares.", shares, question{urgency, "  percent of the capacity that " + urgency + " requests always get", []string{"20", "10", "5"}[i]})
		p.askUntilSharesValid(path, shares)
	}
	requests := addField(m, "requests", newSequence())
	for i := range p.askCount("  Number of request kinds", "1") {
		q := newMapping()
		requests.Content = append(requests.Content, q)
		requestPath := fmt.Sprintf("%srequests[%d].", path, i)
		p.askFields(requestPath, q,
			question{"method", fmt.Sprintf("  Method of request kind %d", i+1), "GET"},
			question{"path", "    path under which these requests are", "/"},
			question{"urgency", "    urgency", "normal"},
			question{"stream", "    is it a stream (true, false)", "false"},
			question{"idempotent", "    may it run twice without harm (true, false)", ""})
	}
	hosts := addField(m, "hosts", newSequence())
	for i := range p.askCount("  Number of hosts", "1") {
		h := newMapping()
		hosts.Content = append(hosts.Content, h)
		hostPath := fmt.Sprintf("%shosts[%d].", path, i)
		p.askFields(hostPath, h,
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
func (p *prompter) askUntilSharesValid(path string, shares *yaml.Node) {
	last := shares.Content[len(shares.Content)-1]
	for p.err == nil {
		problem := p.fieldProblem(path + "min_shares")
		if problem == "" {
			return
		}
		fmt.Fprintf(p.out, "  %s\n", problem)
		if answer := p.readAnswer("  percent", "0"); p.err == nil {
			previous := last.Value
			last.Value = answer
			if p.fieldProblem(path+"min_shares."+shares.Content[len(shares.Content)-2].Value) != "" {
				last.Value = previous
			}
		}
	}
}
