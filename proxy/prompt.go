package proxy

import (
	"strings"

	"github.com/buckthorntrack/buckthorntrack/fault"
	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/trait"
)

// prefilledPrompt is a prompt whose KV cache is on a prefill engine, ready for a decode engine.
type prefilledPrompt struct {
	source   *pick.Engine
	handle   Handle
	plan     pick.Plan
	rejected bool // a decode engine did not run it
}

// decode runs the prefilled prompt on a decode engine. If that engine did not run it, one other engine may be tried.
func (r *run) decode() error {
	p := r.prompt
	if p.rejected && p.source.HasBegunToLeave() {
		r.releasePrompt() // it may be gone with the engine that prefilled it, and is prefilled again
		return r.attempt()
	}
	if p.rejected || !r.engines.Accepts(p.plan.Run) || !p.plan.Run.HasPermit(r.clock()) {
		next, ok := pick.ChooseDecode(r.table().Of(p.source.Version), p.source, r.criteria())
		if !ok && !r.bound {
			next, ok = pick.ChooseDecode(r.table(), p.source, r.criteria())
		}
		if !ok {
			return r.noUpstreamError("service %s has no decode engine")
		}
		p.plan.Run = next
	}
	err := r.send(p.plan, Outbound{Engine: p.plan.Run, Source: p.source.Address, Handle: p.handle})
	switch {
	case err == nil:
		r.prompt = nil
	case fault.VerdictOf(err) == fault.NotRun && !p.rejected:
		p.rejected = true
	default:
		r.releasePrompt()
	}
	return err
}

// releasePrompt frees the KV cache of the prefilled prompt, if any.
func (r *run) releasePrompt() {
	if r.prompt == nil {
		return
	}
	r.freeHandle(r.prompt.source, r.prompt.handle)
	r.prompt = nil
}

// traitsOf returns the traits of a request by which it may crash engines. The last part of a prompt belongs to one
// request or session, and its own content is a trait in any case.
func traitsOf(x *Exchange) []trait.Trait {
	shared := pick.Shared(x.Inbound.Prompt)
	traits := make([]trait.Trait, 0, len(shared)+1)
	for _, part := range shared {
		traits = append(traits, trait.OfPart(x.Service.Name, string(part.ID)))
	}
	r := trait.Request{
		Service: x.Service.Name, Host: strings.ToLower(x.Request.Host), Method: x.Request.Method, Target: x.Request.RequestURI, Body: x.Body,
	}
	if x.Account != nil {
		r.Account = x.Account.Name
	}
	return append(traits, trait.OfRequest(r))
}
