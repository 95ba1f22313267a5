// Package heads refuses answers that net/http accepts although their heads are malformed.
package heads

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// ErrMalformed means that the head of an answer is malformed. Nothing that the answer says can be believed.
var ErrMalformed = errors.New("head of the answer is malformed")

const (
	// minStatus and maxStatus bound the statuses of final answers, to requests that ask for no other protocol.
	minStatus = 200
	maxStatus = 599
)

// Checked returns the result of a round trip. If the answer's head is malformed, it closes the body and returns an error that wraps
// ErrMalformed.
func Checked(answer *http.Response, err error) (*http.Response, error) {
	if err != nil || answer == nil {
		return answer, err
	}
	if err := check(answer); err != nil {
		_ = answer.Body.Close()
		return nil, err
	}
	return answer, nil
}

func check(answer *http.Response) error {
	if answer.StatusCode < minStatus || answer.StatusCode > maxStatus {
		return fmt.Errorf("%w: status %03d", ErrMalformed, answer.StatusCode)
	}
	return CheckNames(answer.Header)
}

// CheckNames returns an error that wraps ErrMalformed if the name of a field holds a blank. net/http passes by a field that it would
// obey otherwise, such as the length of the body.
func CheckNames(h http.Header) error {
	for name := range h {
		if strings.Contains(name, " ") { // net/http refuses all other bytes that a name must not have
			return fmt.Errorf("%w: blank in the name of a field, %q", ErrMalformed, name)
		}
	}
	return nil
}
