package pick

import (
	"math"
	"sync"
	"time"

	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	// priorTimePerToken is the assumed prefill time per token before the first measurement.
	priorTimePerToken = time.Second / 60000
	// priorWeight is the weight of each sample of the prior, where a measured prompt weighs 1.
	priorWeight = 0.1
	// typicalTokens is the usual length of a prompt; it scales the terms of the fit and places the samples of the prior.
	typicalTokens = 4000
	// decay is the factor on the weight of older measurements at each new one, so that about the last 100 count.
	decay = 0.99
	// minMeasuredShare is the lower bound of a measurement as a share of the estimate. An engine that has prefilled the
	// same prompt for another process answers within the network delay, which is no measure of its prefill time.
	minMeasuredShare = 0.5
)

// PrefillEstimator estimates the prefill time of the engines of a service by weighted least squares. The time is the
// sum of a fixed latency, a time per token, and a time per pair of a token and an earlier one (attention).
type PrefillEstimator struct {
	mu           sync.Mutex
	normalMatrix [terms][terms]float64 // weighted sums of the products of two terms (normal equations)
	normalVector [terms]float64        // weighted sums of the products of a term and the measured seconds
	coefficients [terms]float64        // fitted seconds per unit of each term
}

// terms is the number of terms of the fit: latency, tokens and token pairs.
const terms = 3

// NewPrefillEstimator returns an estimator that holds only the prior.
func NewPrefillEstimator() *PrefillEstimator {
	p := &PrefillEstimator{}
	perPrompt := priorTimePerToken.Seconds() * typicalTokens
	prior := [terms]float64{0, perPrompt, perPrompt / 10}
	for _, tokens := range []float64{typicalTokens / 10, typicalTokens, typicalTokens * 4} {
		row := termsOf(tokens, 0)
		var expected float64
		for i := range row {
			expected += row[i] * prior[i]
		}
		p.add(row, expected, priorWeight)
	}
	p.solve()
	return p
}

// termsOf returns the terms for a prompt of which the cached tokens precede the uncached ones.
func termsOf(uncached, cached float64) [terms]float64 {
	return [terms]float64{
		1, uncached / typicalTokens, (uncached*cached + uncached*uncached/2) / (typicalTokens * typicalTokens),
	}
}

// Estimate returns the time for which prefill occupies an engine, and the latency on top, which does not occupy it.
func (p *PrefillEstimator) Estimate(uncached, cached units.Tokens) (cost, latency time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	row := termsOf(float64(uncached), float64(cached))
	return seconds(row[1]*p.coefficients[1] + row[2]*p.coefficients[2]), seconds(p.coefficients[0])
}

// TokensPerSecond returns the prefill rate for prompts of typical length.
func (p *PrefillEstimator) TokensPerSecond() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	row := termsOf(typicalTokens, 0)
	return typicalTokens / max(row[1]*p.coefficients[1]+row[2]*p.coefficients[2], 1e-6)
}

// Observe adds the prefill time of a prompt at an engine that had no other prompts queued. Factor is the ratio of that
// engine's prefill time to the estimate of the service; the measurement is divided by it.
func (p *PrefillEstimator) Observe(uncached, cached units.Tokens, took time.Duration, factor float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.normalMatrix {
		for j := range p.normalMatrix[i] {
			p.normalMatrix[i][j] *= decay
		}
		p.normalVector[i] *= decay
	}
	row := termsOf(float64(uncached), float64(cached))
	p.add(row, max(took.Seconds()/factor, minMeasuredShare*p.expected(row)), 1)
	p.solve()
}

// expected returns the estimated seconds for a prompt, including latency.
func (p *PrefillEstimator) expected(row [terms]float64) float64 {
	var sum float64
	for i := range row {
		sum += row[i] * p.coefficients[i]
	}
	return sum
}

// add adds a sample to the normal equations. The weight is divided by the squared time, so that relative errors count
// and short prompts weigh as much as long ones.
func (p *PrefillEstimator) add(row [terms]float64, measured, weight float64) {
	weight /= max(measured*measured, 1e-6)
	for i := range row {
		for j := range row {
			p.normalMatrix[i][j] += weight * row[i] * row[j]
		}
		p.normalVector[i] += weight * row[i] * measured
	}
}

// solve fits the coefficients by coordinate descent with each of them bounded below by zero.
func (p *PrefillEstimator) solve() {
	const iterations = 100
	for range iterations {
		for i := range p.coefficients {
			if p.normalMatrix[i][i] == 0 {
				continue
			}
			residual := p.normalVector[i]
			for j := range p.coefficients {
				if j != i {
					residual -= p.normalMatrix[i][j] * p.coefficients[j]
				}
			}
			p.coefficients[i] = math.Max(residual/p.normalMatrix[i][i], 0)
		}
	}
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
