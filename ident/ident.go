// Package ident parses a caller's request and determines its service, tenant, class and deadline.
package ident

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"hash/fnv"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/fault"
	"github.com/buckthorntrack/buckthorntrack/flow"
	"github.com/buckthorntrack/buckthorntrack/fresh"
	"github.com/buckthorntrack/buckthorntrack/trait"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// Request headers of callers.
const (
	HeaderTenant   = "X-Tenant"
	HeaderDeadline = "X-Deadline-Ms"
)

const (
	// ChatPath is the path of chat requests.
	ChatPath = "/v1/chat/completions"
	// ServicesPath is the path prefix of requests to plain services.
	ServicesPath = "/services/"

	maxIDBytes          = 128
	maxOutputTokens     = 4000
	defaultOutputTokens = 16
	bytesPerToken       = 4 // estimate, as the prompt is not tokenized here
	bearerPrefix        = "Bearer "
)

// forwardedHeaders are the request headers that are forwarded to plain services.
var forwardedHeaders = []string{"Accept", "Accept-Language", "Content-Type", "User-Agent"}

// Stage parses and validates the request.
type Stage struct {
	bodyBytes  int64
	isOutdated func(units.Revision) bool
	clock      units.Clock
}

// New returns a stage that accepts request bodies of at most bodyBytes. It refuses no request for good by a revision of the configuration
// that isOutdated reports.
func New(bodyBytes int64, isOutdated func(units.Revision) bool, clock units.Clock) *Stage {
	return &Stage{bodyBytes: bodyBytes, isOutdated: isOutdated, clock: clock}
}

// String returns the name of the stage.
func (*Stage) String() string {
	return "identify"
}

// Run fills in the exchange from the caller's request. An invalid request ends with a notRun error.
func (s *Stage) Run(x *flow.Exchange) error {
	err := s.read(x)
	if err != nil && dependsOnConfig(fault.From(err).Code) && s.isOutdated(x.Config.Revision) {
		return fresh.Outdated("refuse the request for good").Wrap(err)
	}
	return err
}

// dependsOnConfig reports whether another configuration may allow a request that was refused with the code.
func dependsOnConfig(code fault.Code) bool {
	return code == fault.CodeUnknownService || code == fault.CodeUnknownTenant || code == fault.CodeUnauthorized
}

func (s *Stage) read(x *flow.Exchange) error {
	if err := s.readID(x); err != nil {
		return err
	}
	if err := s.readTenant(x); err != nil {
		return err
	}
	if err := s.readBody(x); err != nil {
		return err
	}
	if err := s.readCall(x); err != nil {
		return err
	}
	if err := s.readClass(x); err != nil {
		return err
	}
	x.Digest = Digest(x)
	return nil
}

// readID reads the request id and the idempotency key. A request without an id gets a random one.
func (s *Stage) readID(x *flow.Exchange) error {
	id := x.Request.Header.Get(engine.HeaderRequestID)
	if id == "" {
		id = rand.Text()
	}
	if len(id) > maxIDBytes {
		return fault.Bad(engine.HeaderRequestID, "request id is longer than %d bytes", maxIDBytes)
	}
	key := x.Request.Header.Get(engine.HeaderIdempotencyKey)
	if len(key) > maxIDBytes {
		return fault.Bad(engine.HeaderIdempotencyKey, "idempotency key is longer than %d bytes", maxIDBytes)
	}
	x.ID = units.RequestID(id)
	x.Call.RequestID = x.ID
	x.Call.IdempotencyKey = key
	return nil
}

// readTenant determines the tenant by the bearer token or, for tenants without a token, by the tenant header.
func (s *Stage) readTenant(x *flow.Exchange) error {
	if authorization := x.Request.Header.Get("Authorization"); authorization != "" {
		token, ok := strings.CutPrefix(authorization, bearerPrefix)
		tenant, known := x.Config.TenantByToken(token)
		if !ok || !known {
			return fault.New(fault.NotRun, fault.CodeUnauthorized, http.StatusUnauthorized,
				"bearer token does not belong to any tenant").WithField("Authorization")
		}
		x.Tenant = tenant
		return nil
	}
	name := units.TenantName(x.Request.Header.Get(HeaderTenant))
	if name == "" {
		name = config.DefaultTenant
	}
	tenant, ok := x.Config.Tenants[name]
	if !ok {
		return fault.New(fault.NotRun, fault.CodeUnknownTenant, http.StatusForbidden,
			"tenant %q does not exist", name).WithField(HeaderTenant)
	}
	if tenant.Token != "" {
		return fault.New(fault.NotRun, fault.CodeUnauthorized, http.StatusUnauthorized,
			"tenant %q requires its bearer token", name).WithField("Authorization")
	}
	x.Tenant = tenant
	return nil
}

func (s *Stage) readBody(x *flow.Exchange) error {
	body, err := io.ReadAll(http.MaxBytesReader(x.Writer, x.Request.Body, s.bodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return fault.New(fault.NotRun, fault.CodeTooLarge, http.StatusRequestEntityTooLarge,
			"body is larger than %d bytes", s.bodyBytes).WithField("body")
	case err != nil:
		return fault.Bad("body", "body cannot be read").Wrap(err)
	}
	x.Call.Body = body
	return nil
}

// readCall determines the service and the call to it.
func (s *Stage) readCall(x *flow.Exchange) error {
	if x.Request.URL.Path == ChatPath {
		return readChat(x)
	}
	rest := strings.TrimPrefix(x.Request.URL.EscapedPath(), ServicesPath)
	name, path, _ := strings.Cut(rest, "/")
	service, ok := x.Config.Services[units.ServiceName(name)]
	if !ok || service.Kind != config.KindPlain {
		return unknownService("service", name)
	}
	x.Service = service
	x.Call.Service = service.Name
	x.Call.Method = x.Request.Method
	x.Call.Path = "/" + path
	if x.Request.URL.RawQuery != "" {
		x.Call.Path += "?" + x.Request.URL.RawQuery
	}
	x.Call.Header = http.Header{}
	for _, header := range forwardedHeaders {
		if value := x.Request.Header.Get(header); value != "" {
			x.Call.Header.Set(header, value)
		}
	}
	return nil
}

// readClass determines the class, whether the call is idempotent, and the deadline. The tenant's class has precedence
// over the rule's.
func (s *Stage) readClass(x *flow.Exchange) error {
	path, _, _ := strings.Cut(x.Call.Path, "?")
	rule := x.Config.RuleFor(x.Service.Name, x.Request.Method, path)
	x.Idempotent = x.Service.Kind == config.KindModel || isSafe(x.Request.Method)
	name := x.Tenant.Class
	if rule != nil {
		x.Idempotent = x.Idempotent || rule.Idempotent
		if name == "" {
			name = rule.Class
		}
	}
	if name == "" {
		name = config.DefaultClass
	}
	x.Class = x.Config.Classes[name]
	x.Call.Priority = x.Class.Priority
	return s.readDeadline(x)
}

// readDeadline sets the deadline of the class, which the caller may only shorten.
func (s *Stage) readDeadline(x *flow.Exchange) error {
	allowed := x.Class.Deadline
	if text := x.Request.Header.Get(HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 {
			return fault.Bad(HeaderDeadline, "deadline %q is not a number of milliseconds above 0", text)
		}
		allowed = time.Duration(min(ms, allowed.Milliseconds())) * time.Millisecond
	}
	x.Deadline = s.clock().Add(allowed)
	ctx, cancel := context.WithDeadline(x.Context, x.Deadline)
	x.Context = ctx
	x.OnFinish(func(error) { cancel() })
	return nil
}

// chatRequest holds the fields of a chat request that are needed for admission and routing.
type chatRequest struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int64         `json:"max_tokens"`
	Messages  []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

func readChat(x *flow.Exchange) error {
	if x.Request.Method != http.MethodPost {
		return fault.New(fault.NotRun, fault.CodeBadRequest, http.StatusMethodNotAllowed,
			"method must be POST").WithField("method")
	}
	var chat chatRequest
	if err := json.Unmarshal(x.Call.Body, &chat); err != nil {
		return fault.Bad("body", "body is not a chat request: %v", err)
	}
	switch {
	case chat.Model == "":
		return fault.Bad("model", "model is missing")
	case len(chat.Messages) == 0:
		return fault.Bad("messages", "messages are missing")
	case chat.MaxTokens < 0 || chat.MaxTokens > maxOutputTokens:
		return fault.Bad("max_tokens", "max_tokens is not between 0 and %d", maxOutputTokens)
	}
	service, ok := x.Config.Services[units.ServiceName(chat.Model)]
	if !ok || service.Kind != config.KindModel {
		return unknownService("model", chat.Model)
	}
	x.Service = service
	x.Streams = chat.Stream
	x.Job, x.Traits = chat.job(), chat.traits(service.Name)
	x.Call.Service = service.Name
	x.Call.Method = http.MethodPost
	x.Call.Path = ChatPath
	x.Call.Header = http.Header{"Content-Type": {"application/json"}}
	x.Call.Streams = true
	return nil
}

// job estimates the tokens of the request from the size of its messages.
func (c chatRequest) job() flow.Job {
	job := flow.Job{Input: 1, Output: units.Tokens(c.MaxTokens)}
	if job.Output == 0 {
		job.Output = defaultOutputTokens
	}
	for i, m := range c.Messages {
		job.Input += units.Tokens(len(m.Content) / bytesPerToken)
		if i == 0 && m.Role == "system" && len(c.Messages) > 1 {
			job.Prefix = hashPrefix(m.Content)
			job.Shared = units.Tokens(len(m.Content) / bytesPerToken)
		}
	}
	return job
}

// traits returns the traits of all messages but the last, which belongs to this request.
func (c chatRequest) traits(service units.ServiceName) []trait.Trait {
	shared := c.Messages[:max(len(c.Messages)-1, 0)]
	traits := make([]trait.Trait, len(shared))
	for i, m := range shared {
		traits[i] = trait.OfPart(service, m.Role+"\n"+string(m.Content))
	}
	return traits
}

// ReadJob sets the estimated work and the traits of a validated chat request that a peer forwarded.
func ReadJob(x *flow.Exchange, body []byte) {
	var chat chatRequest
	if json.Unmarshal(body, &chat) == nil {
		x.Job, x.Traits = chat.job(), chat.traits(x.Service.Name)
	}
}

// hashPrefix returns the hash by which engines identify a prompt prefix in their cache events.
func hashPrefix(content json.RawMessage) uint64 {
	text := []byte(content)
	var plain string
	if json.Unmarshal(content, &plain) == nil {
		text = []byte(plain)
	}
	h := fnv.New64a()
	_, _ = h.Write(text)
	return h.Sum64()
}

// Digest returns a hash of the request's tenant, service, method, path and body, which identifies equal requests.
func Digest(x *flow.Exchange) string {
	h := sha256.New()
	for _, part := range []string{string(x.Tenant.Name), string(x.Service.Name), x.Call.Method, x.Call.Path} {
		_, _ = io.WriteString(h, part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = io.Copy(h, bytes.NewReader(x.Call.Body))
	return hex.EncodeToString(h.Sum(nil)[:16])
}

func unknownService(field, name string) error {
	return fault.New(fault.NotRun, fault.CodeUnknownService, http.StatusNotFound,
		"service %q does not exist", name).WithField(field)
}

// isSafe reports whether requests with the HTTP method may be repeated.
func isSafe(method string) bool {
	return slices.Contains([]string{http.MethodGet, http.MethodHead, http.MethodOptions}, method)
}
