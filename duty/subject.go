package duty

import (
	"sync"
	"time"
)

// subjects keeps, for each subject, the call in flight and the last content that may still be carried out. It outlives a lease.
type subjects struct {
	lateTime time.Duration // for which a call without an answer may still be carried out
	fenced   bool          // the duty API refuses calls of a former holder

	mu     sync.Mutex
	states map[Subject]*subjectState
}

type subjectState struct {
	inFlight  bool
	content   string
	openUntil time.Time // until then the content may be carried out
}

func newSubjects(lateTime time.Duration, fenced bool) *subjects {
	return &subjects{lateTime: lateTime, fenced: fenced, states: map[Subject]*subjectState{}}
}

// begin records that a call is about to be sent. It returns ErrBusy if none may be sent now.
func (s *subjects) begin(subject Subject, content string, now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.states[subject]
	if state == nil {
		state = &subjectState{}
		s.states[subject] = state
	}
	if state.inFlight || !s.fenced && now.Before(state.openUntil) && state.content != content {
		return ErrBusy
	}
	state.inFlight, state.content = true, content
	return nil
}

// end records the end of a call, and whether it may still be carried out. An answer to a repetition says nothing about an earlier call
// with the same content.
func (s *subjects) end(subject Subject, content string, open bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.states[subject]
	state.inFlight, state.content = false, content
	if open {
		state.openUntil = now.Add(s.lateTime)
	}
}

// over returns the time by which all calls that had no answer are over.
func (s *subjects) over() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	var last time.Time
	for _, state := range s.states {
		if state.openUntil.After(last) {
			last = state.openUntil
		}
	}
	return last
}
