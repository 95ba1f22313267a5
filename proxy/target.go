package proxy

import (
	"net/url"
	"strings"
)

// engineURL returns the URL of a request whose target net/http sends to the address unchanged, or false if it would send another one.
func engineURL(address, target string) (*url.URL, bool) {
	u := &url.URL{Scheme: "http", Host: address, Opaque: target}
	if strings.HasPrefix(target, "//") { // sent as an absolute URL if opaque
		path, query, hasQuery := strings.Cut(target, "?")
		decoded, err := url.PathUnescape(path)
		if err != nil {
			return nil, false
		}
		u = &url.URL{Scheme: "http", Host: address, Path: decoded, RawPath: path, RawQuery: query, ForceQuery: hasQuery}
	}
	return u, u.RequestURI() == target
}
