// Package fault provides errors that state whether a request may have run.
package fault

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Verdict states whether a request ran on an upstream.
type Verdict int

const (
	// MayHaveRun means that some byte of the request may have reached an upstream.
	// It is the zero value, so that an error of unknown origin is never taken for NotRun or Ran.
	MayHaveRun Verdict = iota
	// NotRun means that the request did not run and never will.
	NotRun
	// Ran means that an upstream ran the request and answered.
	Ran
)

// String returns the name of the verdict in answers to callers.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "notRun"
	case Ran:
		return "ran"
	default:
		return "mayHaveRun"
	}
}

// ParseVerdict returns the verdict with the given name, and MayHaveRun for any other text.
func ParseVerdict(text string) Verdict {
	switch text {
	case NotRun.String():
		return NotRun
	case Ran.String():
		return Ran
	default:
		return MayHaveRun
	}
}

// Code identifies the kind of a failure for callers and metrics.
type Code string

// The codes of failures.
const (
	CodeBadRequest          Code = "badRequest"
	CodeTooLarge            Code = "tooLarge"
	CodeUnknownService      Code = "unknownService"
	CodeUnknownTenant       Code = "unknownTenant"
	CodeUnauthorized        Code = "unauthorized"
	CodeDeadline            Code = "deadline"
	CodeRateLimited         Code = "rateLimited"
	CodeOverloaded          Code = "overloaded"
	CodeNoUpstream          Code = "noUpstream"
	CodeUpstreamRefused     Code = "upstreamRefused"
	CodeWrongUpstream       Code = "wrongUpstream" // another upstream is at the address, or its role has changed
	CodeUpstreamFailed      Code = "upstreamFailed"
	CodeUpstreamDied        Code = "upstreamDied"
	CodePathLost            Code = "pathLost" // this process lost its connections to the upstreams
	CodeQuarantined         Code = "quarantined"
	CodeKeyReused           Code = "keyReused"
	CodeKeyRequired         Code = "keyRequired"
	CodeClaimOpen           Code = "claimOpen"
	CodePlatformUnavailable Code = "platformOut"
	CodeConfigOutdated      Code = "configOutdated" // the configuration is too old to decide on the request
	CodeStopping            Code = "stopping"
	CodeCanceled            Code = "canceled"
	CodeInternal            Code = "internal"
)

// Error is a failure of a request with its verdict.
type Error struct {
	Verdict    Verdict
	Code       Code
	Status     int    // HTTP status for the caller
	Field      string // request field at fault, if any
	Message    string
	RetryAfter time.Duration
	Err        error
}

// New returns an error with a formatted message.
func New(verdict Verdict, code Code, status int, format string, args ...any) *Error {
	return &Error{Verdict: verdict, Code: code, Status: status, Message: fmt.Sprintf(format, args...)}
}

// Bad returns a notRun error with status 400 that names the field at fault.
func Bad(field, format string, args ...any) *Error {
	e := New(NotRun, CodeBadRequest, http.StatusBadRequest, format, args...)
	e.Field = field
	return e
}

// Unavailable returns a notRun error with status 503 and the time after which a caller may retry.
func Unavailable(code Code, retryAfter time.Duration, format string, args ...any) *Error {
	e := New(NotRun, code, http.StatusServiceUnavailable, format, args...)
	e.RetryAfter = retryAfter
	return e
}

// Wrap sets the cause and returns the error.
func (e *Error) Wrap(err error) *Error {
	e.Err = err
	return e
}

// WithField sets the field at fault and returns the error.
func (e *Error) WithField(field string) *Error {
	e.Field = field
	return e
}

// Error returns the message with its cause.
func (e *Error) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("%s: %s: %v", e.Code, e.Message, e.Err)
	}
	return fmt.Sprintf("%s: %s", e.Code, e.Message)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// From returns the *Error in the chain of err. An error without one becomes an internal error with the verdict
// MayHaveRun.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(MayHaveRun, CodeInternal, http.StatusInternalServerError, "internal error").Wrap(err)
}

// VerdictOf returns the verdict of err, MayHaveRun for an error without one.
func VerdictOf(err error) Verdict {
	return From(err).Verdict
}

// TruncatedError is a failure after the start of the answer. The answer is incomplete, and its connection must be
// closed.
type TruncatedError struct {
	Err error
}

// Error returns the message of the cause.
func (t *TruncatedError) Error() string {
	return "answer was interrupted: " + t.Err.Error()
}

// Unwrap returns the cause.
func (t *TruncatedError) Unwrap() error {
	return t.Err
}
