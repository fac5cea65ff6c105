// Package questionnaire parses a team's answers (YAML), generates a validated
// configuration from them and can prompt for the answers in a terminal.
// docs/QUESTIONNAIRE.md describes every field.
package questionnaire

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/monsoonthread/monsoonthread/config"
	"github.com/monsoonthread/monsoonthread/result"
)

// Answers is a valid questionnaire with all defaults applied. The services have no IDs
// yet.
type Answers struct {
	Deployment string
	Domains    []config.Domain
	Services   []config.Service
}

// FieldError is one mistake in a questionnaire.
type FieldError struct {
	Line    int    `json:"line"`
	Field   string `json:"field"` // for example services[0].hosts[2].slots
	Problem string `json:"problem"`
	Allowed string `json:"allowed,omitempty"`
}

// String formats the mistake as one line.
func (e FieldError) String() string {
	text := fmt.Sprintf("line %d: %s: %s", e.Line, e.Field, e.Problem)
	if e.Allowed != "" {
		text += "; allowed: " + e.Allowed
	}
	return text
}

// Errors lists all mistakes of a questionnaire, ordered by line (code 401).
type Errors struct{ List []FieldError }

// Error formats all mistakes, one per line.
func (e *Errors) Error() string {
	lines := make([]string, len(e.List))
	for i, m := range e.List {
		lines[i] = m.String()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns an error with the result code of the mistakes.
func (e *Errors) Unwrap() error {
	return result.Errorf(result.QuestionnaireInvalid, "questionnaire has %d mistakes", len(e.List))
}

// Generate returns the configuration for the answers as the version after previous, which
// may be nil. A service keeps its ID as long as it keeps its name, and the ID of a removed
// service is never reused. The result does not depend on the order of the answers.
func Generate(a *Answers, previous *config.Config) (*config.Config, error) {
	c := &config.Config{Version: 1, NextServiceID: 1, Domains: slices.Clone(a.Domains)}
	ids := make(map[string]uint32)
	if previous != nil {
		c.Version, c.NextServiceID = previous.Version+1, previous.NextServiceID
		for _, s := range previous.Services {
			ids[s.Name] = s.ID
		}
	}
	c.Services = slices.Clone(a.Services)
	slices.SortFunc(c.Domains, func(a, b config.Domain) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Services, func(a, b config.Service) int { return cmp.Compare(a.Name, b.Name) })
	for i := range c.Services {
		s := &c.Services[i]
		id, ok := ids[s.Name]
		if !ok {
			id = c.NextServiceID
			c.NextServiceID++
		}
		s.ID = id
		s.BackendServers = slices.SortedFunc(slices.Values(s.BackendServers),
			func(a, b config.BackendServer) int { return cmp.Compare(a.Name, b.Name) })
		s.Routes = slices.SortedFunc(slices.Values(s.Routes), func(a, b config.Route) int {
			return cmp.Or(cmp.Compare(a.PathPrefix, b.PathPrefix), cmp.Compare(a.Method, b.Method))
		})
	}
	if err := c.Validate(); err != nil {
		return nil, err
	}
	return c, nil
}
