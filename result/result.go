// Package result defines the numeric result codes of monsoonthread. They appear in
// errors, logs, responses to callers and the output of monsoonctl;
// docs/RESULT_CODES.md lists them.
package result

import (
	"errors"
	"fmt"
)

// Code identifies the kind of an outcome.
type Code uint16

// Codes are grouped by hundreds: 1xx rejected without being executed, 2xx unknown
// outcome, 3xx malformed input, 4xx configuration, 5xx platform and peers, 6xx
// settings and certificates, 7xx internal.
const (
	OK Code = 0

	QueueFull         Code = 101
	DeadlineUnmet     Code = 102
	NotDispatcher     Code = 103
	NoBackendServer   Code = 104
	BackendShed       Code = 105
	PrefixLimited     Code = 106
	TableFull         Code = 107
	ShuttingDown      Code = 108
	NoConfiguration   Code = 109
	UnknownService    Code = 110
	WrongService      Code = 111
	RetryBudgetSpent  Code = 112
	PeerUnreachable   Code = 113
	PermitRequired    Code = 114
	Fenced            Code = 115
	RequestCancelled  Code = 117
	ConnectionsInUse  Code = 119
	TakeoverPending   Code = 120
	InstanceNotReady  Code = 121
	QueueShareExceeds Code = 122

	OutcomeUnknown  Code = 201
	IssuerLost      Code = 202
	BackendTimeout  Code = 203
	PermitExpired   Code = 204
	DispatcherLost  Code = 205
	BackendFailed   Code = 206
	PermitOutOfDate Code = 207

	MalformedDatagram  Code = 301
	OversizedDatagram  Code = 302
	MalformedPermit    Code = 303
	ForgedPermit       Code = 304
	MalformedEnvelope  Code = 305
	UnsupportedMethod  Code = 306
	UnsupportedOption  Code = 307
	MalformedProxy     Code = 308
	PermitFlowMismatch Code = 309

	QuestionnaireInvalid Code = 401
	ConfigConflict       Code = 402
	ConfigMalformed      Code = 403
	ConfigStale          Code = 404
	DigestMismatch       Code = 405
	ConfigTooLarge       Code = 406
	AcceptUnresolved     Code = 407

	StoreUnavailable Code = 501
	StoreConflict    Code = 502
	StoreRateLimited Code = 503
	StoreNotFound    Code = 504
	ListUnavailable  Code = 505
	PeerProtocol     Code = 506
	StoreMalformed   Code = 507
	StoreHistoryGone Code = 508

	SettingsInvalid    Code = 601
	CertificateInvalid Code = 602
	InternalInvariant  Code = 701
)

// NotExecuted reports whether the code guarantees that no backend server executed the
// request.
func (c Code) NotExecuted() bool { return c >= 100 && c < 200 }

// OutcomeUnknown reports whether it is unknown if the request was executed.
func (c Code) OutcomeUnknown() bool { return c >= 200 && c < 300 }

// Error is an error with a result code.
type Error struct {
	Code   Code
	Detail string
	Err    error
}

// Errorf formats an Error like fmt.Errorf, including the %w verb.
func Errorf(code Code, format string, args ...any) *Error {
	err := fmt.Errorf(format, args...)
	return &Error{Code: code, Detail: err.Error(), Err: err}
}

// Error returns "[code] detail", as used in logs and responses to callers.
func (e *Error) Error() string { return fmt.Sprintf("[%d] %s", e.Code, e.Detail) }

// Unwrap returns the error formatted by Errorf, which wraps its causes.
func (e *Error) Unwrap() error { return e.Err }

// CodeOf returns the code of the first Error in the chain, or InternalInvariant
// for an error without one.
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return InternalInvariant
}
