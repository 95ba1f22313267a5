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
}

// LoadAt returns the engine's load now: the latest report, aged, with what was sent and ended since,
// or the own counts when there is no fresh report.
func (v *View) LoadAt(now time.Time, s Speeds, t Terms) Load {
	own := v.InFlight()
	load := Load{Role: v.Role(), Sequences: own, Pieces: -1}
	r := v.report.Load()
	if r == nil || now.Sub(r.taken) > reportLife || t.NoReports {
		load.Prefill = units.Tokens(float64(v.prefill.Load()-v.markedPrefill(now)) * unknownPart)
		return load
	}
	sentSince := v.sent.Load() - r.mark.sent
	endedSince := v.ended.Load() - r.mark.ended
	load.Sequences = max(own, int64(r.Running+r.Waiting)+sentSince-endedSince)
	prefilled := units.Tokens(now.Sub(r.taken).Seconds() * s.rate(load))
	since := units.Tokens(v.prefill.Load() - r.mark.prefill)
	load.Prefill = max(r.PrefillQueued+since-prefilled, 0)
	if !t.NoPieces {
		load.Pieces = r.FreePieces
	}
	return load
}

// unknownPart is the part of the prompt tokens sent lately that counts as queued without a report.
const unknownPart = 0.5

// markedPrefill returns the prompt tokens that were sent up to the latest mark.
func (v *View) markedPrefill(now time.Time) int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.marks) == 0 || now.Sub(v.marks[len(v.marks)-1].at) > reportLife {
		return v.prefill.Load()
	}
	return v.marks[0].prefill
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

// memoryWait is how many slots' times a job waits for memory.
const memoryWait = 4
