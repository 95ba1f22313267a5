// Package trait finds out which traits of requests crash the engines that run them, and keeps such requests away.
package trait

import (
	"strconv"
	"strings"

	"github.com/buckthorntrack/buckthorntrack/digest"
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

// OfPart returns the trait of prompts with the shared part.
func OfPart(id string) Trait {
	if len(id) > maxNameLength || !isPlain(id) {
		return Trait(partPrefix + "hash-" + hash(id))
	}
	return Trait(partPrefix + id)
}

// OfRequest returns the trait of requests with the same method, target and body.
func OfRequest(method, target string, body []byte) Trait {
	return Trait(requestPrefix + hash(method, "\n", target, "\n", string(body)))
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
