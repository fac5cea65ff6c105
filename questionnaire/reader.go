package questionnaire

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/yaml.v3"

	"github.com/monsoonthread/monsoonthread/config"
)

// documentReader collects the mistakes found while reading a document.
type documentReader struct{ fieldErrors []FieldError }

func (r *documentReader) addf(line int, field, allowed, format string, args ...any) {
	r.fieldErrors = append(r.fieldErrors, FieldError{Line: line, Field: field, Allowed: allowed, Problem: fmt.Sprintf(format, args...)})
}

// object is a mapping of the document. Its methods each read one field and report its
// mistakes.
type object struct {
	*documentReader
	path string
	line int
	// values is nil if the node is not a mapping; missing fields are not reported then.
	values map[string]*yaml.Node
}

// object returns the mapping at n. It reports unknown and duplicate fields.
func (r *documentReader) object(path string, n *yaml.Node, fields ...string) *object {
	o := &object{documentReader: r, path: path, line: n.Line}
	if n.Kind != yaml.MappingNode {
		r.addf(n.Line, orDefault(path, "questionnaire"), "a mapping with "+strings.Join(fields, ", "), "%s is not a mapping", describeNode(n))
		return o
	}
	o.values = make(map[string]*yaml.Node)
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		switch field := o.fieldPath(key.Value); {
		case key.Kind != yaml.ScalarNode || !slices.Contains(fields, key.Value):
			r.addf(key.Line, field, strings.Join(fields, ", "), "unknown field")
		case o.values[key.Value] != nil:
			r.addf(key.Line, field, "", "field appears twice, first on line %d", o.values[key.Value].Line)
		default:
			o.values[key.Value] = value
		}
	}
	return o
}

func orDefault(path, other string) string {
	if path == "" {
		return other
	}
	return path
}

func (o *object) fieldPath(name string) string {
	if o.path == "" {
		return name
	}
	return o.path + "." + name
}

func (o *object) lineOf(name string) int {
	if n := o.values[name]; n != nil {
		return n.Line
	}
	return o.line
}

// describeNode describes a value for an error message.
func describeNode(n *yaml.Node) string {
	switch n.Kind {
	case yaml.MappingNode:
		return "a mapping"
	case yaml.SequenceNode:
		if len(n.Content) == 0 {
			return "an empty list"
		}
		return "a list"
	case yaml.AliasNode:
		return "an alias"
	}
	const maxShown = 40
	if n.Tag == "!!null" {
		return "an empty value"
	}
	if len(n.Value) > maxShown {
		return fmt.Sprintf("%q...", n.Value[:maxShown])
	}
	return fmt.Sprintf("%q", n.Value)
}

// scalar returns the text of a field. It reports a missing required field and a value
// that is not a scalar.
func (o *object) scalar(name, allowed string, required bool) (string, bool) {
	n := o.values[name]
	switch {
	case n == nil:
		if required && o.values != nil {
			o.addf(o.line, o.fieldPath(name), allowed, "required field is missing")
		}
		return "", false
	case n.Kind != yaml.ScalarNode || n.Tag == "!!null":
		o.addf(n.Line, o.fieldPath(name), allowed, "%s is not allowed here", describeNode(n))
		return "", false
	}
	return n.Value, true
}

func (o *object) reportInvalid(name, allowed, format string, args ...any) {
	o.addf(o.lineOf(name), o.fieldPath(name), allowed, format, args...)
}

const nameRule = "1 to 63 lower-case letters, digits, dots and hyphens, beginning and ending with a letter or digit"

func (o *object) name(field string) string {
	v, ok := o.scalar(field, nameRule, true)
	if ok && !config.ValidName(v) {
		o.reportInvalid(field, nameRule, "%q is not a valid name", v)
		return ""
	}
	return v
}

const addressRule = "unicast IP address with port, for example 192.0.2.10:5683 or [2001:db8::10]:5683"

func (o *object) address(field string) netip.AddrPort {
	v, ok := o.scalar(field, addressRule, true)
	if !ok {
		return netip.AddrPort{}
	}
	a, err := netip.ParseAddrPort(v)
	if err != nil || !config.ValidAddress(a) {
		o.reportInvalid(field, addressRule, "%q is not a valid address", v)
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

func (o *object) integer(field string, def, low, high int, required bool) int {
	allowed := fmt.Sprintf("whole number from %d to %d", low, high)
	v, ok := o.scalar(field, allowed, required)
	if !ok {
		return def
	}
	i, err := strconv.Atoi(v)
	if err != nil || i < low || i > high {
		o.reportInvalid(field, allowed, "%q is not allowed", v)
		return def
	}
	return i
}

func (o *object) boolean(field string, required bool) bool {
	const allowed = "true, false"
	v, ok := o.scalar(field, allowed, required)
	if ok && v != "true" && v != "false" {
		o.reportInvalid(field, allowed, "%q is not allowed", v)
	}
	return v == "true"
}

func (o *object) choice(field string, choices []string) string {
	allowed := strings.Join(choices, ", ")
	v, ok := o.scalar(field, allowed, true)
	if ok && !slices.Contains(choices, v) {
		o.reportInvalid(field, allowed, "%q is not allowed", v)
		return ""
	}
	return v
}

// duration reads a duration with a unit in whole milliseconds.
func (o *object) duration(field string, def, low, high config.Milliseconds, required bool) config.Milliseconds {
	allowed := fmt.Sprintf("time with unit (ms, s, m, h) from %s to %s in whole milliseconds", formatDuration(low), formatDuration(high))
	v, ok := o.scalar(field, allowed, required)
	if !ok {
		return def
	}
	d, err := time.ParseDuration(v)
	ms := config.Milliseconds(d.Milliseconds())
	if err != nil || ms < low || ms > high || ms.Duration() != d {
		o.reportInvalid(field, allowed, "%q is not allowed", v)
		return def
	}
	return ms
}

func (o *object) pathValue(field, def string, required bool) string {
	const allowed = "absolute path of at most 255 bytes without spaces, for example /health"
	v, ok := o.scalar(field, allowed, required)
	if !ok {
		return def
	}
	if v == noPath && !required {
		return ""
	}
	if !config.ValidPath(v) {
		o.reportInvalid(field, allowed, "%q is not a valid path", v)
		return def
	}
	return v
}

// speed reads a speed factor and returns it in percent of the reference server.
func (o *object) speed(field string) uint32 {
	const allowed = "number from 0.01 to 100 with at most two decimals (1 is the reference server)"
	v, ok := o.scalar(field, allowed, false)
	if !ok {
		return referenceWeight
	}
	f, err := strconv.ParseFloat(v, 64)
	percent := uint32(f*referenceWeight + 0.5)
	if err != nil || !(f > 0) || f > config.MaxWeight/referenceWeight || formatSpeed(percent) != formatFloat(f) {
		o.reportInvalid(field, allowed, "%q is not allowed", v)
		return referenceWeight
	}
	return percent
}

// list returns the elements of a list field, which must not be empty.
func (o *object) list(field, allowed string) []*yaml.Node {
	n := o.values[field]
	if n == nil {
		if o.values != nil {
			o.addf(o.line, o.fieldPath(field), allowed, "required field is missing")
		}
		return nil
	}
	if n.Kind != yaml.SequenceNode || len(n.Content) == 0 {
		o.addf(n.Line, o.fieldPath(field), allowed, "%s is not allowed here", describeNode(n))
		return nil
	}
	return n.Content
}

func (o *object) elementPath(field string, i int) string {
	return fmt.Sprintf("%s[%d]", o.fieldPath(field), i)
}

func formatDuration(m config.Milliseconds) string {
	switch {
	case m == 0:
		return "0s"
	case m%3_600_000 == 0:
		return fmt.Sprintf("%dh", m/3_600_000)
	case m%60_000 == 0:
		return fmt.Sprintf("%dm", m/60_000)
	case m%1000 == 0:
		return fmt.Sprintf("%ds", m/1000)
	}
	return fmt.Sprintf("%dms", m)
}

func formatSpeed(percent uint32) string { return formatFloat(float64(percent) / referenceWeight) }

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }
