// Package logging configures key=value logs and defines the names of their fields.
package logging

import (
	"io"
	"strings"
	"time"

	"github.com/rs/zerolog"
)

// Field names of log lines and timeline events.
const (
	Instance    = "instance"
	Domain      = "domain"
	Service     = "service"
	Server      = "server"
	Caller      = "caller"
	Peer        = "peer"
	Code        = "code"
	Version     = "version"
	Incarnation = "incarnation"
	State       = "state"
	Reason      = "reason"
	Count       = "count"
	Duration    = "duration"
	Address     = "address"
	Era         = "era"      // number of times that the store was restored from an older copy
	Revision    = "revision" // of the store
)

// New returns a logger that writes each event as one line of key=value pairs.
func New(w io.Writer, level, instance, domain string) (zerolog.Logger, error) {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Logger{}, err
	}
	out := zerolog.ConsoleWriter{Out: w, NoColor: true, TimeFormat: time.RFC3339Nano,
		PartsOrder:      []string{zerolog.TimestampFieldName, zerolog.LevelFieldName, zerolog.MessageFieldName},
		FormatTimestamp: func(v any) string { return "time=" + stringOf(v) },
		FormatLevel:     func(v any) string { return "level=" + stringOf(v) },
		FormatMessage:   func(v any) string { return "msg=" + quote(stringOf(v)) },
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(out).Level(l).With().Timestamp().Str(Instance, instance).Str(Domain, domain).Logger(), nil
}

func stringOf(v any) string {
	s, _ := v.(string)
	return s
}

func quote(s string) string {
	if strings.ContainsAny(s, " =\"") {
		return `"` + strings.ReplaceAll(s, `"`, `'`) + `"`
	}
	return s
}
