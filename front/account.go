package front

import (
	"net/http"

	"github.com/buckthorntrack/buckthorntrack/fault"
	"github.com/buckthorntrack/buckthorntrack/proxy"
)

// accountStage determines the account of a request by its key, and refuses a request without a known key on a route that needs one.
// Without accounts in the configuration it changes nothing.
type accountStage struct {
	format          proxy.Format
	emptyListCounts bool // an empty list of accounts is one from which the last account was removed
}

// String implements stage.
func (*accountStage) String() string { return "account" }

// Run implements stage.
func (s *accountStage) Run(x *proxy.Exchange) error {
	if !x.Config.RequiresKeys(s.emptyListCounts) {
		return nil
	}
	if x.Inbound.HasKey {
		x.Account, _ = x.Config.TenantByKey(x.Inbound.Key)
	}
	if x.Account == nil {
		s.format.SetAccount(&x.Inbound, "")
		if x.Route.Public {
			return nil
		}
		return errUnauthorized(x)
	}
	s.format.SetAccount(&x.Inbound, x.Account.Name)
	if x.Account.HasPriority {
		x.Priority = x.Account.Priority
	}
	return nil
}

// errUnauthorized returns the error for a request without a known key, and sets the header that HTTP prescribes for it.
func errUnauthorized(x *proxy.Exchange) error {
	x.Writer.Header().Set("WWW-Authenticate", "Bearer")
	message := "the request has no key"
	if x.Inbound.HasKey {
		message = "the key belongs to no account"
	}
	return fault.New(fault.NotRun, fault.CodeUnauthorized, http.StatusUnauthorized, "%s", message)
}
