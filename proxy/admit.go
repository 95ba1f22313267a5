package proxy

import "github.com/buckthorntrack/buckthorntrack/fault"

// callState is the input of the decision whether a call may be sent to an engine.
type callState struct {
	stopped    bool // requests that are left must be answered
	stopsSoon  bool // the process may stop before the call has ended
	stranded   bool // the process reaches no engine
	repeatable bool
}

// decideCall returns the error with which a call is refused before it is sent, nil if it may be sent.
func decideCall(s callState) *fault.Error {
	switch {
	case s.stopped, s.stopsSoon && !s.repeatable:
		return fault.Unavailable(fault.CodeStopping, 0, "the process is stopping")
	case s.stranded:
		return fault.Unavailable(fault.CodeNoUpstream, 0, "the process reaches no upstream")
	default:
		return nil
	}
}

// isStranded reports whether the process reaches no engine, neither directly nor through another process.
func (s *Stage) isStranded() bool {
	return s.reach != nil && s.reach.Stranded()
}
