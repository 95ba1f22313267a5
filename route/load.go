package route

import (
	"time"

	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/flow"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// Speeds are the rates that convert an engine's load into time.
type Speeds struct {
	PrefillPerSecond float64       // prompt tokens per second on an engine that only prefills
	MixedFraction    float64       // fraction of that rate on an engine that decodes a full batch as well
	Sequences        int64         // largest batch that meets the target for gaps between tokens
	SequenceTime     time.Duration // mean time until a full batch frees a slot
	FullBatchStep    time.Duration // time of one decode step with a full batch
	PieceTokens      units.Tokens  // tokens in one piece of KV cache memory
}

// DecodePerSecond returns the output tokens per second of a full batch.
func (s Speeds) DecodePerSecond() float64 {
	return float64(s.Sequences) / s.FullBatchStep.Seconds()
}

// Ablation disables parts of the cost estimate, to measure what each of them contributes.
type Ablation struct {
	NoReports  bool
	NoPrefixes bool
	NoPieces   bool
}

// Load is the estimated load of one engine at a point in time.
type Load struct {
	Role       engine.Role
	Sequences  int64        // running or waiting
	Prefill    units.Tokens // prompt tokens still to prefill
	FreePieces units.Pieces // free pieces of KV cache memory, negative if unknown

	otherSequences int64        // part of Sequences that other processes sent
	otherPrefill   units.Tokens // part of Prefill that other processes sent
}

// LoadAt estimates the engine's load now. The requests of this process are counted exactly; those of other processes
// come from the latest load report, less the prompt tokens that the engine has prefilled since. Without a recent report
// only the requests of this process count.
func (v *View) LoadAt(now time.Time, s Speeds, a Ablation) Load {
	load := Load{Role: v.Role(), Sequences: v.InFlight(), Prefill: units.Tokens(v.prefill.Load()), FreePieces: -1}
	r := v.report.Load()
	if r == nil || now.Sub(r.takenAt) > reportMaxAge || a.NoReports {
		return load
	}
	load.otherSequences = max(int64(r.Running+r.Waiting)-r.own.inFlight, 0)
	prefilled := units.Tokens(now.Sub(r.takenAt).Seconds() * s.rate(load))
	load.otherPrefill = max(r.PrefillQueued-units.Tokens(r.own.prefill)-prefilled, 0)
	load.Sequences += load.otherSequences
	load.Prefill += load.otherPrefill
	if !a.NoPieces {
		load.FreePieces = r.FreePieces
	}
	return load
}

// forRanking returns the load by which engines are compared. The load from other processes is reduced, because it comes
// from an old report: at full weight all processes would choose the same engine at once.
func (l Load) forRanking() Load {
	l.Sequences -= l.otherSequences - l.otherSequences/staleLoadDivisor
	l.Prefill -= l.otherPrefill - l.otherPrefill/staleLoadDivisor
	return l
}

// rate returns the prompt tokens per second that the engine prefills under the load.
func (s Speeds) rate(l Load) float64 {
	if l.Role == engine.RolePrefill || l.Sequences == 0 {
		return s.PrefillPerSecond
	}
	busy := min(float64(l.Sequences)/float64(s.Sequences), 1)
	return s.PrefillPerSecond * (1 - busy*(1-s.MixedFraction))
}

// prefillTime estimates the time until the engine has prefilled its queue and the job's uncached prompt tokens.
func (s Speeds) prefillTime(l Load, uncached units.Tokens) time.Duration {
	seconds := float64(l.Prefill+uncached) / s.rate(l)
	return time.Duration(seconds * float64(time.Second))
}

// slotWait estimates how long a job waits for a slot in the engine's batch and for KV cache memory.
func (s Speeds) slotWait(l Load, job flow.Job) time.Duration {
	wait := time.Duration(0)
	if over := l.Sequences + 1 - s.Sequences; over > 0 {
		wait = time.Duration(over) * s.SequenceTime
	}
	need := units.Pieces((job.Input + job.Output) / s.PieceTokens)
	if l.FreePieces >= 0 && l.FreePieces < need {
		wait += s.SequenceTime * memoryWaitSlots
	}
	return wait
}

// staleLoadDivisor reduces the reported load from other processes when engines are ranked.
const staleLoadDivisor = 8

// requestCostDivisor sets the cost of each request on an engine, as a fraction of Speeds.SequenceTime.
const requestCostDivisor = 8

// mixedCost ranks engines that run both prefill and decode.
func (s Speeds) mixedCost(l Load, uncached units.Tokens, job flow.Job) time.Duration {
	return s.prefillCost(l, uncached, job) + s.slotWait(l, job)
}

// prefillCost ranks prefill engines by the time to the first token and by their number of requests.
func (s Speeds) prefillCost(l Load, uncached units.Tokens, _ flow.Job) time.Duration {
	return s.prefillTime(l, uncached) + time.Duration(l.Sequences)*s.SequenceTime/requestCostDivisor
}

// decodeCost ranks decode engines by the wait for a batch slot and by their number of requests.
func (s Speeds) decodeCost(l Load, _ units.Tokens, job flow.Job) time.Duration {
	return s.slotWait(l, job) + time.Duration(l.Sequences)*s.SequenceTime/requestCostDivisor
}

// memoryWaitSlots is the estimated wait for KV cache memory, in units of Speeds.SequenceTime.
const memoryWaitSlots = 4
