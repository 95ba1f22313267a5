package config

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// removedKey is the key that deletes a section when its value is true.
const removedKey = "removed"

const defaultDeadline = 30 * time.Second

// Sections describes the section kinds of the configuration folder.
func Sections() []SectionHelp {
	return []SectionHelp{
		{Kind: "service", Keys: Describe(&Service{})},
		{Kind: "place", Keys: Describe(&Place{})},
		{Kind: "rule", Keys: Describe(&Rule{})},
		{Kind: "route", Keys: Describe(&Route{})},
		{Kind: "tenant", Keys: Describe(&Tenant{})},
		{Kind: "class", Keys: Describe(&Class{})},
		{Kind: "engine", Keys: Describe(&Engine{})},
	}
}

// SectionHelp documents one section kind and its keys.
type SectionHelp struct {
	Kind string
	Keys []KeyHelp
}

// Build merges and validates the files. On failure the error is a ProblemsError that lists every problem, and the
// merged sections are returned as well.
func Build(revision units.Revision, files []File) (*Config, []*Section, error) {
	sections, problems := Merge(files)
	sections, removed := dropRemoved(sections)
	problems = append(problems, removed...)
	b := builder{config: Empty(), problems: problems, sections: map[string]*Section{}}
	b.config.Revision = revision
	for _, section := range sections {
		b.add(section)
	}
	b.checkReferences()
	if len(b.problems) > 0 {
		return nil, sections, b.problems.sorted()
	}
	b.config.index()
	return b.config, sections, nil
}

// addDefaults adds the default class and tenant unless they are configured.
func (c *Config) addDefaults() {
	if _, ok := c.Classes[DefaultClass]; !ok {
		c.Classes[DefaultClass] = &Class{Name: DefaultClass, Deadline: defaultDeadline}
	}
	if _, ok := c.Tenants[DefaultTenant]; !ok {
		c.Tenants[DefaultTenant] = &Tenant{Name: DefaultTenant, Share: 1}
	}
}

// dropRemoved deletes the sections whose removedKey is true.
func dropRemoved(sections []*Section) ([]*Section, ProblemsError) {
	var problems ProblemsError
	kept := sections[:0]
	for _, section := range sections {
		value, ok := section.Values[removedKey]
		delete(section.Values, removedKey)
		switch {
		case !ok || value.Text == "false":
			kept = append(kept, section)
		case value.Text != "true":
			message := fmt.Sprintf("value %q is not true or false", value.Text)
			problems = append(problems, Problem{Position: value.Position, Key: removedKey, Message: message})
		}
	}
	return kept, problems
}

// builder converts merged sections into a Config and collects the problems.
type builder struct {
	config   *Config
	sections map[string]*Section // by title
	ordered  []*Section          // in the order of the merge
	problems ProblemsError
}

func (b *builder) add(section *Section) {
	b.sections[section.Title()] = section
	b.ordered = append(b.ordered, section)
	if section.Name == "" {
		b.report(section, "", fmt.Sprintf("section [%s] has no name", section.Kind))
		return
	}
	switch section.Kind {
	case "service":
		decodeNamed(b, section, b.config.Services, func(name units.ServiceName) *Service { return &Service{Name: name} })
	case "place":
		decodeNamed(b, section, b.config.Places, func(name units.PlaceName) *Place { return &Place{Name: name} })
	case "rule":
		b.config.Rules = append(b.config.Rules, decodeInto(b, section, &Rule{Name: section.Name}))
	case "route":
		b.config.Routes = append(b.config.Routes, decodeInto(b, section, &Route{Name: section.Name}))
	case "tenant":
		decodeNamed(b, section, b.config.Tenants, func(name units.TenantName) *Tenant { return &Tenant{Name: name} })
	case "class":
		decodeNamed(b, section, b.config.Classes, func(name units.ClassName) *Class { return &Class{Name: name} })
	case "engine":
		decodeNamed(b, section, b.config.Engines, func(name units.EngineName) *Engine { return &Engine{Name: name} })
	default:
		b.report(section, "", fmt.Sprintf("unknown kind of section %q", section.Kind))
	}
}

// decodeNamed decodes a section into a new value and stores it under the section's name.
func decodeNamed[N ~string, T any](b *builder, section *Section, into map[N]*T, create func(name N) *T) {
	name := N(section.Name)
	into[name] = decodeInto(b, section, create(name))
}

// decodeInto decodes a section into target and records the problems.
func decodeInto[T any](b *builder, section *Section, target *T) *T {
	b.problems = append(b.problems, Decode(section, target)...)
	return target
}

// checkReferences validates references between sections and combinations of keys.
func (b *builder) checkReferences() {
	for _, r := range b.config.Routes {
		if problem := b.config.checkRoute(r); problem != "" {
			b.report(b.sections["route "+r.Name], "", problem)
		}
	}
	for _, r := range b.config.Rules {
		section := b.sections["rule "+r.Name]
		b.checkServiceExists(section, r.Service)
		b.checkClassExists(section, r.Class)
	}
	tokens := map[string]units.TenantName{}
	for _, section := range b.ordered {
		if section.Kind == "tenant" {
			b.checkTenant(section, b.config.Tenants[units.TenantName(section.Name)], tokens)
		}
	}
	for _, e := range b.config.Engines {
		b.checkEngine(b.sections["engine "+string(e.Name)], e)
	}
	for _, s := range b.config.Services {
		b.checkService(b.sections["service "+string(s.Name)], s)
	}
}

func (b *builder) checkTenant(section *Section, t *Tenant, tokens map[string]units.TenantName) {
	if t == nil {
		return
	}
	b.checkClassExists(section, t.Class)
	if t.Token == "" {
		return
	}
	if other, used := tokens[t.Token]; used {
		b.report(section, "token", fmt.Sprintf("token is already used by tenant %q", other))
	}
	tokens[t.Token] = t.Name
}

func (b *builder) checkEngine(section *Section, e *Engine) {
	b.checkServiceExists(section, e.Service)
	if _, ok := b.config.Places[e.Place]; !ok && e.Place != "" {
		b.report(section, "place", fmt.Sprintf("place %q does not exist", e.Place))
	}
	if _, err := netip.ParseAddrPort(e.Address); err != nil && e.Address != "" {
		b.report(section, "address", fmt.Sprintf("value %q is not an IP number with a port", e.Address))
	}
	service, ok := b.config.Services[e.Service]
	if ok && service.Kind == KindPlain && e.Role != engine.RoleMixed {
		b.reportPair(section, "role", b.sections["service "+string(e.Service)], "kind",
			"an upstream of a plain service has no role")
	}
}

func (b *builder) checkService(section *Section, s *Service) {
	if s.Kind != KindPlain {
		return
	}
	for _, key := range []string{"firstTokenTarget", "gapTarget", "roleChangeWeight", "autoRoles"} {
		if _, set := section.Values[key]; set {
			b.reportPair(section, key, section, "kind", "key applies to model services only")
		}
	}
}

func (b *builder) checkServiceExists(section *Section, name units.ServiceName) {
	if _, ok := b.config.Services[name]; !ok && name != "" {
		b.report(section, "service", fmt.Sprintf("service %q does not exist", name))
	}
}

func (b *builder) checkClassExists(section *Section, name units.ClassName) {
	if _, ok := b.config.Classes[name]; !ok && name != "" {
		b.report(section, "class", fmt.Sprintf("class %q does not exist", name))
	}
}

// report adds a problem at the line of the key, or of the section header when the key is not set.
func (b *builder) report(section *Section, key, message string) {
	at := section.Position
	if value, ok := section.Values[key]; ok {
		at = value.Position
	}
	b.problems = append(b.problems, Problem{Position: at, Key: key, Message: message})
}

// reportPair adds a problem caused by the combination of two keys, which may be set in different files.
func (b *builder) reportPair(section *Section, key string, other *Section, otherKey, message string) {
	at := other.Position
	if value, ok := other.Values[otherKey]; ok {
		at = value.Position
	}
	b.report(section, key, fmt.Sprintf("%s (%s of [%s] is set at %s)", message, otherKey, other.Title(), at))
}
