package pick

import (
	"math"
	"sync"
	"time"

	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	// firstPerToken is the time for a token that is assumed before anything was measured.
	firstPerToken = time.Second / 60000
	// priorWeight is the number of measured prompts that the first estimate counts as.
	priorWeight = 0.1
	// priorTokens is the usual length of a prompt, by which the first estimate is weighed.
	priorTokens = 4000
	// fade is the part of old measurements that stays with each new one, so that about the last 100 count.
	fade = 0.99
	// leastMeasured bounds how far a measurement may lie below the estimate, as a part of it. An engine that has read the
	// prompt for another process answers in the time of the way, which says nothing of its speed.
	leastMeasured = 0.5
)

// Speed estimates how long the engines of a service take to read prompts. Reading takes a latency, a time for each token,
// and a time for each pair of a token with one before it.
type Speed struct {
	mu     sync.Mutex
	sums   [terms][terms]float64 // of products of the terms, for the method of least squares
	values [terms]float64        // of products with the measured time
	fit    [terms]float64        // seconds for each term
}

// terms are the latency, the tokens and the pairs.
const terms = 3

// NewSpeed returns the first estimate.
func NewSpeed() *Speed {
	s := &Speed{}
	perPrompt := firstPerToken.Seconds() * priorTokens
	first := [terms]float64{0, perPrompt, perPrompt / 10}
	for _, tokens := range []float64{priorTokens / 10, priorTokens, priorTokens * 4} {
		row := termsOf(tokens, 0)
		var expected float64
		for i := range row {
			expected += row[i] * first[i]
		}
		s.add(row, expected, priorWeight)
	}
	s.solve()
	return s
}

func termsOf(unread, cached float64) [terms]float64 {
	return [terms]float64{1, unread / priorTokens, (unread*cached + unread*unread/2) / (priorTokens * priorTokens)}
}

// Estimate returns the time of the engine that reading takes, and the latency beside.
func (s *Speed) Estimate(unread, cached units.Tokens) (cost, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row := termsOf(float64(unread), float64(cached))
	return seconds(row[1]*s.fit[1] + row[2]*s.fit[2]), seconds(s.fit[0])
}

// TokensPerSecond returns the rate at which prompts of usual length are read.
func (s *Speed) TokensPerSecond() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	row := termsOf(priorTokens, 0)
	return priorTokens / max(row[1]*s.fit[1]+row[2]*s.fit[2], 1e-6)
}

// Measure takes the time that an engine with nothing else to read took for a prompt. Stretch is the engine's factor.
func (s *Speed) Measure(unread, cached units.Tokens, took time.Duration, stretch float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.sums {
		for j := range s.sums[i] {
			s.sums[i][j] *= fade
		}
		s.values[i] *= fade
	}
	row := termsOf(float64(unread), float64(cached))
	s.add(row, max(took.Seconds()/stretch, leastMeasured*s.expected(row)), 1)
	s.solve()
}

// expected returns the estimated seconds for a prompt.
func (s *Speed) expected(row [terms]float64) float64 {
	var sum float64
	for i := range row {
		sum += row[i] * s.fit[i]
	}
	return sum
}

// add weighs by the inverse of the squared time, so that short prompts count as much as long ones.
func (s *Speed) add(row [terms]float64, value, weight float64) {
	weight /= max(value*value, 1e-6)
	for i := range row {
		for j := range row {
			s.sums[i][j] += weight * row[i] * row[j]
		}
		s.values[i] += weight * row[i] * value
	}
}

// solve fits the terms by coordinate descent, which keeps each of them from becoming negative.
func (s *Speed) solve() {
	const rounds = 100
	for range rounds {
		for i := range s.fit {
			if s.sums[i][i] == 0 {
				continue
			}
			rest := s.values[i]
			for j := range s.fit {
				if j != i {
					rest -= s.sums[i][j] * s.fit[j]
				}
			}
			s.fit[i] = math.Max(rest/s.sums[i][i], 0)
		}
	}
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
