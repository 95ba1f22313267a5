package route

import (
	"time"

	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/flow"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// Speeds are the rates by which load is turned into time.
type Speeds struct {
	PrefillPerSecond float64       // prompt tokens a second of an engine that does nothing else
	MixedPart        float64       // part of that rate on an engine that also decodes
	Sequences        int64         // most sequences in a batch that keeps the gap target
	Decode           time.Duration // time of one sequence in a full batch
	FullStep         time.Duration // time of one step of a full batch
	PieceTokens      units.Tokens
}

// DecodePerSecond returns the output tokens a second of a full batch.
func (s Speeds) DecodePerSecond() float64 {
	return float64(s.Sequences) / s.FullStep.Seconds()
}

// Terms switches terms of the estimate off, to measure what each brings.
type Terms struct {
	NoReports  bool
	NoPrefixes bool
	NoPieces   bool
}

// Load is the state of one engine at a moment, as far as a process can know it.
type Load struct {
	Role      engine.Role
	Sequences int64        // running or waiting
	Prefill   units.Tokens // prompt tokens still to prefill
	Pieces    units.Pieces // free, negative when unknown

	otherSequences int64 // part of Sequences that other processes sent
	otherPrefill   units.Tokens
}

// LoadAt returns the engine's load now: the own requests, which are known exactly, and those of other processes
// as the latest report has them, aged. Without a fresh report the own requests are all that is known.
func (v *View) LoadAt(now time.Time, s Speeds, t Terms) Load {
	load := Load{Role: v.Role(), Sequences: v.InFlight(), Prefill: units.Tokens(v.prefill.Load()), Pieces: -1}
	r := v.report.Load()
	if r == nil || now.Sub(r.taken) > reportLife || t.NoReports {
		return load
	}
	load.otherSequences = max(int64(r.Running+r.Waiting)-r.mark.inFlight, 0)
	prefilled := units.Tokens(now.Sub(r.taken).Seconds() * s.rate(load))
	load.otherPrefill = max(r.PrefillQueued-units.Tokens(r.mark.prefill)-prefilled, 0)
	load.Sequences += load.otherSequences
	load.Prefill += load.otherPrefill
	if !t.NoPieces {
		load.Pieces = r.FreePieces
	}
	return load
}

// forRanking returns the load by which engines are compared. What a late report says of other processes counts
// for less there: all processes would flee from the same engine to the same one.
func (l Load) forRanking() Load {
	l.Sequences -= l.otherSequences - l.otherSequences/staleDivisor
	l.Prefill -= l.otherPrefill - l.otherPrefill/staleDivisor
	return l
}

// rate returns the prompt tokens a second that the engine prefills under the load.
func (s Speeds) rate(l Load) float64 {
	if l.Role == engine.RolePrefill || l.Sequences == 0 {
		return s.PrefillPerSecond
	}
	busy := min(float64(l.Sequences)/float64(s.Sequences), 1)
	return s.PrefillPerSecond * (1 - busy*(1-s.MixedPart))
}

// prefillTime estimates the time to the first token of a job on the engine.
func (s Speeds) prefillTime(l Load, uncached units.Tokens) time.Duration {
	seconds := float64(l.Prefill+uncached) / s.rate(l)
	return time.Duration(seconds * float64(time.Second))
}

// slotTime estimates how long a job waits for a place in the engine's batch and for memory.
func (s Speeds) slotTime(l Load, job flow.Job) time.Duration {
	wait := time.Duration(0)
	if over := l.Sequences + 1 - s.Sequences; over > 0 {
		wait = time.Duration(over) * s.Decode
	}
	need := units.Pieces((job.Input + job.Output) / s.PieceTokens)
	if l.Pieces >= 0 && l.Pieces < need {
		wait += s.Decode * memoryWait
	}
	return wait
}

// staleDivisor lessens what a late report says of other processes' requests.
const staleDivisor = 8

// crowding is the part of a place's time by which each request on an engine makes it less wanted.
const crowding = 8

// wholeCost ranks engines that run whole requests.
func (s Speeds) wholeCost(l Load, uncached units.Tokens, job flow.Job) time.Duration {
	return s.prefillCost(l, uncached, job) + s.slotTime(l, job)
}

// prefillCost ranks engines by the time to the first token.
func (s Speeds) prefillCost(l Load, uncached units.Tokens, _ flow.Job) time.Duration {
	return s.prefillTime(l, uncached) + time.Duration(l.Sequences)*s.Decode/crowding
}

// decodeCost ranks engines that decode: by the wait for a place, and then by their requests.
func (s Speeds) decodeCost(l Load, _ units.Tokens, job flow.Job) time.Duration {
	return s.slotTime(l, job) + time.Duration(l.Sequences)*s.Decode/crowding
}

// memoryWait is how many slots' times a job waits for memory.
const memoryWait = 4
