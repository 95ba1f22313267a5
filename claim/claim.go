// Package claim makes calls that may not be repeated run at most once.
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

	"github.com/buckthorntrack/buckthorntrack/wait"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/fault"
	"github.com/buckthorntrack/buckthorntrack/flow"
	"github.com/buckthorntrack/buckthorntrack/plat"
	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	// Prefix is the prefix of claims in the platform's store.
	Prefix = "claim/"
	// Keep is how long a claim and its recorded answer are kept.
	Keep = 24 * time.Hour
	// maxRecorded bounds the body of a recorded answer.
	maxRecorded = 512 << 10

	writeTimeout  = 3 * time.Second
	recordTimeout = time.Minute
	pollInterval  = 100 * time.Millisecond
	maxPoll       = time.Second
	retryAfter    = 2 * time.Second
)

// State says how far a claimed call has come.
type State string

// The states of a claim.
const (
	StateOpen   State = "open"   // may have been sent
	StateNotRun State = "notRun" // was provably not sent, and may be taken over
	StateDone   State = "done"   // has its answer
)

// Claim is the value of a claim object.
type Claim struct {
	State   State             `json:"state"`
	Key     string            `json:"key"`
	Tenant  units.TenantName  `json:"tenant"`
	Service units.ServiceName `json:"service"`
	Attempt units.AttemptID   `json:"attempt"`
	Request units.RequestID   `json:"request"`
	Process units.ProcessName `json:"process"`
	Digest  string            `json:"digest"`
	Made    time.Time         `json:"made"` // by the clock of the process, for operators and cleaning
	Status  int               `json:"status,omitempty"`
	Type    string            `json:"type,omitempty"` // content type of the answer
	Body    []byte            `json:"body,omitempty"`
	Cut     bool              `json:"cut,omitempty"` // the answer was too large to be recorded
}

// Alive reports whether the process may still be running.
type Alive func(p units.ProcessName) bool

// Stage claims a call before it is sent.
type Stage struct {
	store plat.Store
	name  units.ProcessName
	alive Alive
	clock units.Clock
	log   zerolog.Logger
	wg    conc.WaitGroup
}

// New returns the stage of the process with the given name, and a function that waits for late records.
func New(
	store plat.Store, name units.ProcessName, alive Alive, clock units.Clock, log zerolog.Logger,
) (*Stage, func()) {
	s := &Stage{store: store, name: name, alive: alive, clock: clock, log: log}
	return s, s.wg.Wait
}

// String names the stage.
func (*Stage) String() string {
	return "claim"
}

// Run claims a call that is not idempotent. It ends the request when the call was claimed before.
func (s *Stage) Run(x *flow.Exchange) error {
	if x.Idempotent {
		return nil
	}
	if x.Call.Key == "" {
		x.Call.Key = string(x.ID)
	}
	object, own, err := s.acquire(x)
	if err != nil {
		return err
	}
	if !own {
		return s.await(x, object)
	}
	return s.hold(x, object)
}

// ObjectKey returns the key of the claim object. Its second part spreads claims over 256 prefixes for cleaning.
func ObjectKey(tenant units.TenantName, service units.ServiceName, key string) string {
	sum := sha256.Sum256([]byte(string(tenant) + "\x00" + string(service) + "\x00" + key))
	text := hex.EncodeToString(sum[:16])
	return Prefix + text[:2] + "/" + text
}

// Open lists the claims without an outcome, for operators.
func Open(ctx context.Context, store plat.Store) ([]Claim, error) {
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

// acquire creates the claim, or takes over one that was not run. Otherwise it returns the present one.
func (s *Stage) acquire(x *flow.Exchange) (plat.Object, bool, error) {
	key := ObjectKey(x.Tenant.Name, x.Service.Name, x.Call.Key)
	claim := Claim{
		State: StateOpen, Key: x.Call.Key, Tenant: x.Tenant.Name, Service: x.Service.Name,
		Attempt: units.AttemptID(rand.Text()), Request: x.ID, Process: s.name, Digest: x.Digest, Made: s.clock().UTC(),
	}
	ctx, cancel := context.WithTimeout(x.Context, writeTimeout)
	defer cancel()
	previous := plat.Object{}
	for {
		object, err := s.write(ctx, key, previous, claim)
		if err == nil {
			return object, true, nil
		}
		if errors.Is(err, plat.ErrUnresolved) {
			s.abandon(x, key, claim)
		}
		if !errors.Is(err, plat.ErrConflict) {
			return plat.Object{}, false, platformFault(err)
		}
		present, found, err := s.read(ctx, key)
		switch {
		case errors.Is(err, plat.ErrNotFound):
			previous = plat.Object{}
			continue
		case err != nil:
			return plat.Object{}, false, platformFault(err)
		case found.Digest != x.Digest:
			return plat.Object{}, false, fault.New(fault.NotRun, fault.CodeKeyReused, http.StatusUnprocessableEntity,
				"idempotency key was used for another request").WithField(engine.HeaderIdempotencyKey)
		case found.State != StateNotRun:
			return present, false, nil
		}
		previous = present
	}
}

// hold lets the request go on, and settles the claim when it has ended.
func (s *Stage) hold(x *flow.Exchange, object plat.Object) error {
	var claim Claim
	if err := object.Decode(&claim); err != nil {
		return platformFault(err)
	}
	x.Finish(func(err error) {
		if err != nil && fault.VerdictOf(err) == fault.NotRun {
			s.release(x, object, claim, err)
		}
	})
	return nil
}

// Record writes the answer into the claim, so that it can be given again. It is called before the caller is answered.
func (s *Stage) Record(x *flow.Exchange) {
	if x.Idempotent || x.Replayed {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.Context), writeTimeout)
	defer cancel()
	if err := s.recorder(x)(ctx); err != nil {
		s.log.Warn().Str("request", string(x.ID)).Err(err).Msg("claim: answer is not recorded yet")
		later, record, id := context.WithoutCancel(x.Context), s.recorder(x), x.ID
		s.wg.Go(func() { s.settleLater(later, id, record) })
	}
}

// recorder returns a function that writes the answer into the claim. It holds nothing of the exchange.
func (s *Stage) recorder(x *flow.Exchange) func(context.Context) error {
	key := ObjectKey(x.Tenant.Name, x.Service.Name, x.Call.Key)
	request, status, contentType, body := x.ID, x.Answer.Status, x.Answer.Header.Get("Content-Type"), x.Answer.Body
	return func(ctx context.Context) error {
		object, claim, err := s.read(ctx, key)
		if err != nil {
			return err
		}
		if claim.Request != request || claim.Process != s.name || claim.State != StateOpen {
			return nil
		}
		claim.State, claim.Status, claim.Type, claim.Body = StateDone, status, contentType, body
		if len(body) > maxRecorded {
			claim.Body, claim.Cut = nil, true
		}
		_, err = s.write(ctx, key, object, claim)
		return err
	}
}

// settleLater repeats a write to the claim until it succeeds or its time is over.
func (s *Stage) settleLater(ctx context.Context, id units.RequestID, settle func(context.Context) error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	for attempt := 0; wait.Sleep(ctx, wait.Backoff(attempt)); attempt++ {
		if settle(ctx) == nil {
			s.log.Info().Str("request", string(id)).Msg("claim: settled late")
			return
		}
	}
	s.log.Error().Str("request", string(id)).Msg("claim: could not be settled and stays open")
}

// abandon turns a claim whose write has an unknown outcome into notRun, should it have taken effect.
func (s *Stage) abandon(x *flow.Exchange, key string, claim Claim) {
	later, id := context.WithoutCancel(x.Context), x.ID
	s.wg.Go(func() {
		s.settleLater(later, id, func(ctx context.Context) error {
			object, found, err := s.read(ctx, key)
			if errors.Is(err, plat.ErrNotFound) || (err == nil && found.Attempt != claim.Attempt) {
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

// release turns the claim into notRun. When that cannot be made sure, the verdict becomes mayHaveRun.
func (s *Stage) release(x *flow.Exchange, object plat.Object, claim Claim, cause error) {
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

// await waits for the answer of an earlier attempt, within the deadline and as long as its process lives.
func (s *Stage) await(x *flow.Exchange, object plat.Object) error {
	pause := pollInterval
	for {
		var claim Claim
		if err := object.Decode(&claim); err != nil {
			return platformFault(err)
		}
		switch claim.State {
		case StateDone:
			return replay(x, claim)
		case StateNotRun:
			return s.Run(x)
		case StateOpen:
		}
		if !s.alive(claim.Process) {
			return openFault(claim, "its process is gone")
		}
		if !wait.Sleep(x.Context, pause) {
			return openFault(claim, "it has no answer yet")
		}
		pause = min(2*pause, maxPoll)
		next, _, err := s.read(x.Context, object.Key)
		if err != nil {
			return openFault(claim, "its outcome cannot be read")
		}
		object = next
	}
}

func (s *Stage) read(ctx context.Context, key string) (plat.Object, Claim, error) {
	object, err := s.store.Get(ctx, key)
	if err != nil {
		return plat.Object{}, Claim{}, err
	}
	var claim Claim
	return object, claim, object.Decode(&claim)
}

func (s *Stage) write(ctx context.Context, key string, previous plat.Object, claim Claim) (plat.Object, error) {
	object, err := plat.Encode(key, previous, claim)
	if err != nil {
		return plat.Object{}, fmt.Errorf("encode claim: %w", err)
	}
	return s.store.Put(ctx, object)
}

// replay answers with what was recorded.
func replay(x *flow.Exchange, claim Claim) error {
	if claim.Cut {
		return fault.New(fault.Ran, fault.CodeClaimOpen, http.StatusConflict,
			"call ran before, and its answer was too large to be kept")
	}
	x.Answer = engine.Answer{Status: claim.Status, Header: http.Header{}, Body: claim.Body}
	if claim.Type != "" {
		x.Answer.Header.Set("Content-Type", claim.Type)
	}
	x.Replayed = true
	return nil
}

func openFault(claim Claim, why string) error {
	return fault.New(fault.MayHaveRun, fault.CodeClaimOpen, http.StatusConflict,
		"an earlier attempt %s by process %s may have run: %s", claim.Attempt, claim.Process, why)
}

// platformFault refuses a call that was not claimed. Nothing of it was sent.
func platformFault(err error) error {
	return fault.Unavailable(fault.CodePlatformOut, retryAfter, "call cannot be claimed now").Wrap(err)
}
