// Package claim ensures that non-idempotent calls run at most once, with idempotency records in the platform's store.
package claim

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/fault"
	"github.com/buckthorntrack/buckthorntrack/flow"
	"github.com/buckthorntrack/buckthorntrack/objapi"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wait"
)

const (
	// Prefix is the key prefix of claims in the platform's store.
	Prefix = "claim/"
	// Retention is how long a claim and its recorded answer are kept.
	Retention = 24 * time.Hour
	// maxRecordedBytes bounds the body of a recorded answer.
	maxRecordedBytes = 512 << 10

	writeTimeout    = 3 * time.Second
	recordTimeout   = time.Minute
	minPollInterval = 100 * time.Millisecond
	maxPollInterval = time.Second
	retryAfter      = 2 * time.Second
)

// State is the progress of a claimed call.
type State string

// The states of a claim.
const (
	StateOpen   State = "open"   // may have been sent, outcome not recorded
	StateNotRun State = "notRun" // did not run, another attempt may take the claim over
	StateDone   State = "done"   // ran, answer recorded
)

// Claim is the stored idempotency record of a call.
type Claim struct {
	State       State             `json:"state"`
	Key         string            `json:"key"`
	Tenant      units.TenantName  `json:"tenant"`
	Service     units.ServiceName `json:"service"`
	Attempt     units.AttemptID   `json:"attempt"`
	Request     units.RequestID   `json:"request"`
	Process     units.ProcessName `json:"process"`
	Digest      string            `json:"digest"`
	CreatedAt   time.Time         `json:"made"` // by the clock of the process; for operators and for cleanup
	Status      int               `json:"status,omitempty"`
	ContentType string            `json:"type,omitempty"`
	Body        []byte            `json:"body,omitempty"`
	BodyOmitted bool              `json:"cut,omitempty"` // the body was too large to be recorded
}

// Alive reports whether a process may still be running.
type Alive func(p units.ProcessName) bool

// Stage claims a call before it is sent.
type Stage struct {
	store      objapi.Store
	process    units.ProcessName
	alive      Alive
	clock      units.Clock
	log        zerolog.Logger
	background conc.WaitGroup
}

// New returns the stage of the named process, and a function that waits for background writes to claims.
func New(
	store objapi.Store, name units.ProcessName, alive Alive, clock units.Clock, log zerolog.Logger,
) (*Stage, func()) {
	s := &Stage{store: store, process: name, alive: alive, clock: clock, log: log}
	return s, s.background.Wait
}

// String returns the name of the stage.
func (*Stage) String() string {
	return "claim"
}

// Run claims a call that is not idempotent. If an earlier attempt holds the claim, Run replays its answer or returns an
// error.
func (s *Stage) Run(x *flow.Exchange) error {
	if x.Idempotent {
		return nil
	}
	if x.Call.IdempotencyKey == "" {
		x.Call.IdempotencyKey = string(x.ID)
	}
	object, own, err := s.acquire(x)
	if err != nil {
		return err
	}
	if !own {
		return s.awaitAnswer(x, object)
	}
	return s.releaseIfNotRun(x, object)
}

// ObjectKey returns the key of the claim object. Its second part distributes claims over 256 prefixes, so that cleanup
// can list a part of them at a time.
func ObjectKey(tenant units.TenantName, service units.ServiceName, key string) string {
	sum := sha256.Sum256([]byte(string(tenant) + "\x00" + string(service) + "\x00" + key))
	text := hex.EncodeToString(sum[:16])
	return Prefix + text[:2] + "/" + text
}

// ListOpen returns the claims without a recorded outcome, for operators.
func ListOpen(ctx context.Context, store objapi.Store) ([]Claim, error) {
	objects, err := store.List(ctx, Prefix)
	if err != nil {
		return nil, fmt.Errorf("list claims: %w", err)
	}
	open := []Claim{}
	for _, o := range objects {
		var c Claim
		if err := o.Decode(&c); err != nil {
			return nil, fmt.Errorf("read claim %s: %w", o.Key, err)
		}
		if c.State == StateOpen {
			open = append(open, c)
		}
	}
	return open, nil
}

// acquire creates the claim, or takes over a claim of an attempt that did not run. The flag reports whether the claim
// now belongs to this request; otherwise the object is the claim of the earlier attempt.
func (s *Stage) acquire(x *flow.Exchange) (objapi.Object, bool, error) {
	key := ObjectKey(x.Tenant.Name, x.Service.Name, x.Call.IdempotencyKey)
	claim := Claim{
		State: StateOpen, Key: x.Call.IdempotencyKey, Tenant: x.Tenant.Name, Service: x.Service.Name,
		Attempt: units.AttemptID(rand.Text()), Request: x.ID, Process: s.process, Digest: x.Digest,
		CreatedAt: s.clock().UTC(),
	}
	ctx, cancel := context.WithTimeout(x.Context, writeTimeout)
	defer cancel()
	previous := objapi.Object{}
	for {
		object, err := s.write(ctx, key, previous, claim)
		if err == nil {
			return object, true, nil
		}
		if errors.Is(err, objapi.ErrUnresolved) {
			s.abandon(x, key, claim)
		}
		if !errors.Is(err, objapi.ErrConflict) {
			return objapi.Object{}, false, platformError(err)
		}
		existing, earlier, err := s.read(ctx, key)
		switch {
		case errors.Is(err, objapi.ErrNotFound):
			previous = objapi.Object{}
			continue
		case err != nil:
			return objapi.Object{}, false, platformError(err)
		case earlier.Digest != x.Digest:
			return objapi.Object{}, false, fault.New(fault.NotRun, fault.CodeKeyReused, http.StatusUnprocessableEntity,
				"idempotency key was used for another request").WithField(engine.HeaderIdempotencyKey)
		case earlier.State != StateNotRun:
			return existing, false, nil
		}
		previous = existing
	}
}

// releaseIfNotRun registers a finisher that releases the claim if the request ends with a notRun verdict.
func (s *Stage) releaseIfNotRun(x *flow.Exchange, object objapi.Object) error {
	var claim Claim
	if err := object.Decode(&claim); err != nil {
		return platformError(err)
	}
	x.OnFinish(func(err error) {
		if err != nil && fault.VerdictOf(err) == fault.NotRun {
			s.release(x, object, claim, err)
		}
	})
	return nil
}

// Record writes the answer into the claim, so that it can be replayed. It is called before the caller gets the answer.
// A failed write is retried in the background.
func (s *Stage) Record(x *flow.Exchange) {
	if x.Idempotent || x.Replayed {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.Context), writeTimeout)
	defer cancel()
	if err := s.recordFunc(x)(ctx); err != nil {
		s.log.Warn().Str("request", string(x.ID)).Err(err).Msg("claim: answer is not recorded yet, write will be retried")
		later, record, id := context.WithoutCancel(x.Context), s.recordFunc(x), x.ID
		s.background.Go(func() { s.retrySettle(later, id, record) })
	}
}

// recordFunc returns a function that writes the answer into the claim and does not reference the exchange.
func (s *Stage) recordFunc(x *flow.Exchange) func(context.Context) error {
	key := ObjectKey(x.Tenant.Name, x.Service.Name, x.Call.IdempotencyKey)
	request, status, contentType, body := x.ID, x.Answer.Status, x.Answer.Header.Get("Content-Type"), x.Answer.Body
	return func(ctx context.Context) error {
		object, claim, err := s.read(ctx, key)
		if err != nil {
			return err
		}
		if claim.Request != request || claim.Process != s.process || claim.State != StateOpen {
			return nil
		}
		claim.State, claim.Status, claim.ContentType, claim.Body = StateDone, status, contentType, body
		if len(body) > maxRecordedBytes {
			claim.Body, claim.BodyOmitted = nil, true
		}
		_, err = s.write(ctx, key, object, claim)
		return err
	}
}

// retrySettle retries a write to the claim until it succeeds or recordTimeout is over.
func (s *Stage) retrySettle(ctx context.Context, id units.RequestID, settle func(context.Context) error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	for attempt := 0; wait.Sleep(ctx, wait.Backoff(attempt)); attempt++ {
		if settle(ctx) == nil {
			s.log.Info().Str("request", string(id)).Msg("claim: settled late")
			return
		}
	}
	s.log.Error().Str("request", string(id)).Msg("claim: not settled in time, stays open")
}

// abandon marks a claim as notRun in the background after its write had an unknown outcome, in case the write took
// effect.
func (s *Stage) abandon(x *flow.Exchange, key string, claim Claim) {
	later, id := context.WithoutCancel(x.Context), x.ID
	s.background.Go(func() {
		s.retrySettle(later, id, func(ctx context.Context) error {
			object, found, err := s.read(ctx, key)
			if errors.Is(err, objapi.ErrNotFound) || (err == nil && found.Attempt != claim.Attempt) {
				return nil
			}
			if err != nil {
				return err
			}
			found.State = StateNotRun
			_, err = s.write(ctx, key, object, found)
			return err
		})
	})
}

// release marks the claim as notRun. If that write fails, the verdict of the request becomes mayHaveRun, since the
// claim may stay open.
func (s *Stage) release(x *flow.Exchange, object objapi.Object, claim Claim, cause error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.Context), writeTimeout)
	defer cancel()
	claim.State = StateNotRun
	if _, err := s.write(ctx, object.Key, object, claim); err != nil {
		e := fault.From(cause)
		e.Verdict = fault.MayHaveRun
		e.Status = http.StatusBadGateway
		e.RetryAfter = 0
		s.log.Warn().Str("request", string(x.ID)).Err(err).Msg("claim: release failed")
	}
}

// awaitAnswer waits for the answer of an earlier attempt, until the deadline and while the process of that attempt is
// alive.
func (s *Stage) awaitAnswer(x *flow.Exchange, object objapi.Object) error {
	pause := minPollInterval
	for {
		var claim Claim
		if err := object.Decode(&claim); err != nil {
			return platformError(err)
		}
		switch claim.State {
		case StateDone:
			return replay(x, claim)
		case StateNotRun:
			return s.Run(x)
		case StateOpen:
		}
		if !s.alive(claim.Process) {
			return openClaimError(claim, "the process is gone")
		}
		if !wait.Sleep(x.Context, pause) {
			return openClaimError(claim, "it has no answer yet")
		}
		pause = min(2*pause, maxPollInterval)
		next, _, err := s.read(x.Context, object.Key)
		if err != nil {
			return openClaimError(claim, "its outcome cannot be read")
		}
		object = next
	}
}

func (s *Stage) read(ctx context.Context, key string) (objapi.Object, Claim, error) {
	object, err := s.store.Get(ctx, key)
	if err != nil {
		return objapi.Object{}, Claim{}, err
	}
	var claim Claim
	return object, claim, object.Decode(&claim)
}

func (s *Stage) write(ctx context.Context, key string, previous objapi.Object, claim Claim) (objapi.Object, error) {
	object, err := objapi.Encode(key, previous, claim)
	if err != nil {
		return objapi.Object{}, fmt.Errorf("encode claim: %w", err)
	}
	return s.store.Put(ctx, object)
}

// replay sets the recorded answer as the answer of the request.
func replay(x *flow.Exchange, claim Claim) error {
	if claim.BodyOmitted {
		return fault.New(fault.Ran, fault.CodeClaimOpen, http.StatusConflict,
			"call ran before, and its answer was too large to be recorded")
	}
	x.Answer = engine.Answer{Status: claim.Status, Header: http.Header{}, Body: claim.Body}
	if claim.ContentType != "" {
		x.Answer.Header.Set("Content-Type", claim.ContentType)
	}
	x.Replayed = true
	return nil
}

// openClaimError returns the error for a call whose earlier attempt has no known outcome.
func openClaimError(claim Claim, why string) error {
	return fault.New(fault.MayHaveRun, fault.CodeClaimOpen, http.StatusConflict,
		"earlier attempt %s by process %s may have run: %s", claim.Attempt, claim.Process, why)
}

// platformError returns the error for a call that could not be claimed. Nothing of the call was sent.
func platformError(err error) error {
	return fault.Unavailable(fault.CodePlatformUnavailable, retryAfter, "call cannot be claimed now").Wrap(err)
}
