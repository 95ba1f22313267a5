package config

import (
	"errors"
	"fmt"

	"github.com/buckthorntrack/buckthorntrack/keys"
)

var errNoAccountName = errors.New("account has no name")

// SetAccounts adds the accounts of a configuration that does not come from a folder. It must be called before the configuration is
// used. Its errors name accounts and no keys.
func (c *Config) SetAccounts(accounts []*Tenant) error {
	c.listsAccounts = true
	listed := map[string]bool{}
	for _, t := range accounts {
		switch {
		case t.Name == "":
			return errNoAccountName
		case listed[string(t.Name)]:
			return fmt.Errorf("account %s is listed twice", t.Name)
		}
		listed[string(t.Name)] = true
		c.Tenants[t.Name] = t
		c.accounts++
		for _, digest := range t.Keys {
			if other, known := c.tenantByKey.Find(digest); known && other != t {
				return fmt.Errorf("accounts %s and %s have a key in common", other.Name, t.Name)
			}
			c.tenantByKey.Add(digest, t)
		}
	}
	return nil
}

// RequiresKeys reports whether requests on routes that are not public need a key. An empty list of accounts requires keys only if
// it counts as a list from which the last account was removed.
func (c *Config) RequiresKeys(emptyListCounts bool) bool {
	return c.accounts > 0 || emptyListCounts && c.listsAccounts
}

// TenantByKey returns the tenant that the key with the digest belongs to.
func (c *Config) TenantByKey(digest keys.Digest) (*Tenant, bool) {
	return c.tenantByKey.Find(digest)
}

// TenantByToken returns the tenant that the bearer token belongs to.
func (c *Config) TenantByToken(token string) (*Tenant, bool) {
	return c.TenantByKey(keys.Of(token))
}
