package gossip

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

const (
	// maxMessageBytes bounds a message so that it fits one IP packet.
	maxMessageBytes = 1200
	// formatVersion is the first byte of a message. Messages of other versions are dropped.
	formatVersion = 1
	// tagBytes is the length of the truncated authentication code after the version.
	tagBytes = 8
	// maxMessageTokens bounds the counts of tokens in a message.
	maxMessageTokens = 1 << 32
	// maxMessageTime bounds the times in a message.
	maxMessageTime = 10 * time.Minute
	// maxWaits is the number of urgencies.
	maxWaits = 10
	// maxMessageCount bounds the other counts in a message.
	maxMessageCount = 1 << 24
)

var (
	errMalformed      = errors.New("message is malformed")
	errTooLong        = errors.New("message is too long")
	errVersion        = errors.New("message has another version")
	errKey            = errors.New("message has a wrong key")
	errImplausible    = errors.New("message has impossible values")
	errUnknownProcess = errors.New("message is from an unknown process")
)

// codec encodes and checks messages.
type codec struct {
	key []byte
}

func newCodec(key string) codec {
	return codec{key: []byte(key)}
}

// encode returns the message with its version and authentication code.
func (c codec) encode(load *wire.LoadMessage) ([]byte, error) {
	body, err := cbor.Marshal(wire.Frame{Load: load})
	if err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	if 1+tagBytes+len(body) > maxMessageBytes {
		return nil, errTooLong
	}
	message := make([]byte, 0, 1+tagBytes+len(body))
	message = append(message, formatVersion)
	message = append(message, c.tag(body)...)
	return append(message, body...), nil
}

// decode returns the message if it is authentic and all its values are possible.
func (c codec) decode(message []byte) (*wire.LoadMessage, error) {
	switch {
	case len(message) > maxMessageBytes:
		return nil, errTooLong
	case len(message) <= 1+tagBytes:
		return nil, errMalformed
	case message[0] != formatVersion:
		return nil, errVersion
	}
	tag, body := message[1:1+tagBytes], message[1+tagBytes:]
	if !hmac.Equal(tag, c.tag(body)) {
		return nil, errKey
	}
	var frame wire.Frame
	if err := cbor.Unmarshal(body, &frame); err != nil || frame.Load == nil {
		return nil, errMalformed
	}
	if !isPlausible(frame.Load) {
		return nil, errImplausible
	}
	return frame.Load, nil
}

func (c codec) tag(body []byte) []byte {
	h := hmac.New(sha256.New, c.key)
	_, _ = h.Write(body) // never returns an error
	return h.Sum(nil)[:tagBytes]
}

// isPlausible reports whether all values are possible.
func isPlausible(load *wire.LoadMessage) bool {
	if load.Kind < kindHeartbeat || load.Kind > kindDemand || !isTokens(load.Tokens) || !isTokens(load.KVTokens) ||
		!isTime(load.CostUS) || !isCount(load.Urgency) || !isUsage(load.Usage) {
		return false
	}
	for i := range load.Busy {
		l := &load.Busy[i]
		if !isTokens(l.PendingTokens) || !isTokens(l.KVTokens) || !isTime(l.ExcludedUS) ||
			len(l.WaitsUS) > maxWaits || slices.ContainsFunc(l.WaitsUS, func(us int64) bool { return !isTime(us) }) ||
			l.Allowance < pick.OpenAllowance || !isCount(max(l.Allowance, 0)) || !isCount(l.Running) || !isCount(l.CachedParts) || !isCount(l.FactorPermille) ||
			!isCount(l.LimitPermille) || !isCount(max(l.PermitsPermille, -l.PermitsPermille)) {
			return false
		}
	}
	return !slices.ContainsFunc(load.Demand, func(d wire.DemandTotals) bool { return !isDemand(d) })
}

func isTokens(n int64) bool { return n >= 0 && n <= maxMessageTokens }
func isTime(us int64) bool  { return us >= 0 && us <= maxMessageTime.Microseconds() }
func isCount(n int64) bool  { return n >= 0 && n <= maxMessageCount }

// permille is the number of thousandths of one.
const permille = 1000

// ToPermille returns a number in thousandths, as far as a message may hold it.
func ToPermille(number float64) int64 {
	return int64(min(max(number*permille, -maxMessageCount), maxMessageCount))
}

// FromPermille returns the number that ToPermille converted.
func FromPermille(thousandths int64) float64 {
	return float64(thousandths) / permille
}
