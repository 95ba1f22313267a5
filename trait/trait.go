// Package trait finds out which traits of requests crash the engines that run them, and keeps such requests away.
package trait

import (
	"strconv"
	"strings"

	"github.com/buckthorntrack/buckthorntrack/digest"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// Trait is something that requests have in common: a shared part of their prompts, or their whole content.
type Trait string

const (
	partPrefix    = "part-"
	requestPrefix = "request-"
	// maxNameLength is the longest part identifier that a trait holds unhashed.
	maxNameLength = 32
	hexadecimal   = 16
)

// OfPart returns the trait of a service's prompts with the shared part. Engines of other services say nothing about it.
func OfPart(service units.ServiceName, id string) Trait {
	name := id
	if len(id) > maxNameLength || !isPlain(id) {
		name = "hash-" + hash(id)
	}
	return Trait(partPrefix + hash(string(service)) + "-" + name)
}

// Request identifies a request by what its engines get. Sent again, it does to them what it did before; one that differs in any of this
// says nothing about it.
type Request struct {
	Service        units.ServiceName
	Host           string           // in lower case
	Account        units.TenantName // empty for none
	Method, Target string
	Body           []byte
}

// OfRequest returns the trait of a request that comes again.
func OfRequest(r Request) Trait {
	return Trait(requestPrefix + hash(
		string(r.Service), "\n", r.Host, "\n", string(r.Account), "\n", r.Method, "\n", r.Target, "\n", string(r.Body)))
}

// Names returns the traits as texts.
func Names(traits []Trait) []string {
	names := make([]string, len(traits))
	for i, t := range traits {
		names[i] = string(t)
	}
	return names
}

// isRequest reports whether the trait is the whole content of a request.
func (t Trait) isRequest() bool {
	return strings.HasPrefix(string(t), requestPrefix)
}

func hash(texts ...string) string {
	return strconv.FormatUint(digest.Sum64(texts...), hexadecimal)
}

// isPlain reports whether the identifier needs no escaping in keys and logs.
func isPlain(id string) bool {
	for _, c := range id {
		switch {
		case c >= '0' && c <= '9', c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z':
		default:
			return false
		}
	}
	return id != ""
}
