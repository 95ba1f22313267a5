//go:build review

package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// answer is what a client got.
type answer struct {
	status int // zero if the channel ended without a whole answer
	body   string
	header http.Header
	err    error
}

// call sends a request on a new channel, as a client does.
func (r *rig) call(address, method, target, id, body string, deadline time.Duration, header map[string]string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline+time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+target, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	request.Host = host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", milliseconds(deadline))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	transport := &http.Transport{
		DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{err: err, header: response.Header}
	}
	return answer{status: response.StatusCode, body: string(text), header: response.Header}
}

func milliseconds(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }
