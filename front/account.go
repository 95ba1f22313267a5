package front

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/fault"
	"github.com/buckthorntrack/buckthorntrack/fresh"
	"github.com/buckthorntrack/buckthorntrack/keys"
	"github.com/buckthorntrack/buckthorntrack/proxy"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// Reasons for the refusal of a request by its key, in metrics.
const (
	refusedNoKey     = "noKey"
	refusedUnknown   = "unknownKey"
	refusedOutdated  = "outdated"
	refusedWithdrawn = "withdrawn"
)

// accountOptions holds the dependencies of the stage.
type accountOptions struct {
	*knowledge

	format  proxy.Format
	keys    keys.Policy
	listed  *listedKeys
	refused func(reason string)
	log     zerolog.Logger
}

// accountStage determines the account of a request by its key, and refuses a request without a known key on a route that needs one.
// Without accounts in the configuration it changes nothing.
type accountStage struct {
	accountOptions

	outdated atomic.Bool // the last request that needed a key was refused as the configuration is too old
	checked  atomic.Bool // keys could be checked at some time since the start
}

// proofTime bounds the time for which a process that starts is not ready as it cannot check keys. It still serves public routes.
const proofTime = 5 * time.Second

// canCheck reports whether keys can be checked, or could be at some time: a process stays ready when its configuration becomes too old.
func (s *accountStage) canCheck() bool {
	if s.keys.WithdrawTime <= 0 || s.checked.Load() {
		return true
	}
	if s.keys.Check(s.currentAge(), true) != keys.Accepted {
		return false
	}
	s.checked.Store(true)
	return true
}

// String implements stage.
func (*accountStage) String() string { return "account" }

// Run implements stage. It uses the configuration in force rather than that of the request, and reads the age first: the age must
// not be that of a newer configuration than the one by which the key is looked up.
func (s *accountStage) Run(x *proxy.Exchange) error {
	age := s.currentAge()
	current := s.config()
	if !s.requiresKeys(current) {
		return nil
	}
	account := s.find(current, x.Inbound)
	verdict := s.keys.Check(age, account != nil)
	if verdict != keys.Accepted {
		account = nil
	}
	s.assign(x, &x.Inbound, account)
	if x.Route.Public {
		return nil
	}
	s.recordOutdated(verdict == keys.Outdated, age)
	switch {
	case verdict == keys.Accepted:
		return nil
	case verdict == keys.Outdated:
		s.refused(refusedOutdated)
		return fresh.Outdated("check keys")
	case s.mayLackChanges(age):
		s.refused(refusedOutdated)
		return fresh.Outdated("tell that the request needs another key")
	case x.Inbound.HasKey:
		s.refused(refusedUnknown)
		return errUnauthorized(x, "the key belongs to no account")
	default:
		s.refused(refusedNoKey)
		return errUnauthorized(x, "the request has no key")
	}
}

// explain reports what Run would decide for a request of the named account, empty for a request without a key. It counts nothing.
func (s *accountStage) explain(x *proxy.Exchange, name units.TenantName) error {
	age := s.currentAge()
	current := s.config()
	if !s.requiresKeys(current) {
		return nil
	}
	account, known := current.Tenants[name]
	verdict := s.keys.Check(age, known && name != "")
	if verdict == keys.Accepted {
		x.Account = account
	}
	switch {
	case x.Route.Public || verdict == keys.Accepted:
		return nil
	case verdict == keys.Outdated:
		return fresh.Outdated("check keys")
	case s.mayLackChanges(age):
		return fresh.Outdated("tell that the request needs another key")
	default:
		return fault.New(fault.NotRun, fault.CodeUnauthorized, http.StatusUnauthorized, "account %q does not exist", name)
	}
}

// Recheck implements proxy.Accounts. The age does not matter: it was checked after the request had arrived.
func (s *accountStage) Recheck(x *proxy.Exchange, in *proxy.Inbound) error {
	if x.Account == nil {
		return nil
	}
	current := s.config()
	if !s.requiresKeys(current) {
		return nil
	}
	account := s.find(current, *in)
	if account == nil && !x.Route.Public {
		s.refused(refusedWithdrawn)
		return errUnauthorized(x, "the key was withdrawn while the request waited")
	}
	if account == nil || account.Name != x.Account.Name {
		s.assign(x, in, account)
	}
	return nil
}

func (s *accountStage) requiresKeys(c *config.Config) bool {
	return c.RequiresKeys(s.keys.WithdrawTime > 0)
}

// find returns the account of a request, nil if it has no known key.
func (s *accountStage) find(c *config.Config, in proxy.Inbound) *config.Tenant {
	if !in.HasKey || !s.listed.allows(in.Key) {
		return nil
	}
	account, _ := c.TenantByKey(in.Key)
	return account
}

// assign sets the account of a request, nil for none, in its headers to engines and its priority.
func (s *accountStage) assign(x *proxy.Exchange, in *proxy.Inbound, account *config.Tenant) {
	x.Account = account
	if account == nil {
		s.format.SetAccount(in, "")
		return
	}
	s.format.SetAccount(in, account.Name)
	if account.HasPriority {
		x.Priority = account.Priority
	}
}

// recordOutdated logs each change between a configuration that is too old and one that is not.
func (s *accountStage) recordOutdated(outdated bool, age time.Duration) {
	if s.outdated.Load() == outdated || s.outdated.Swap(outdated) == outdated {
		return
	}
	s.log.Warn().Bool("outdated", outdated).Int64("ageMs", age.Milliseconds()).Int64("limitMs", s.keys.Limit().Milliseconds()).
		Msg("front: keys cannot be checked as the configuration is too old, or can again")
}

// errUnauthorized returns the error for a request without a known key, and sets the header that HTTP prescribes for it.
func errUnauthorized(x *proxy.Exchange, message string) error {
	x.Writer.Header().Set("WWW-Authenticate", "Bearer")
	return fault.New(fault.NotRun, fault.CodeUnauthorized, http.StatusUnauthorized, "%s", message)
}

// listedKeys holds the keys of a configuration that is invalid otherwise. The one in force stays, and a key of it that the newer one
// lacks is withdrawn all the same.
type listedKeys struct {
	table atomic.Pointer[keys.Table[struct{}]] // nil while the newest configuration is in force
}

// restrict allows only the given keys.
func (l *listedKeys) restrict(digests []keys.Digest) {
	table := &keys.Table[struct{}]{}
	for _, d := range digests {
		table.Add(d, struct{}{})
	}
	l.table.Store(table)
}

// release ends the restriction.
func (l *listedKeys) release() { l.table.Store(nil) }

func (l *listedKeys) allows(d keys.Digest) bool {
	table := l.table.Load()
	if table == nil {
		return true
	}
	_, listed := table.Find(d)
	return listed
}
