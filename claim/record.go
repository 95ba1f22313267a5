package claim

import "github.com/buckthorntrack/buckthorntrack/flow"

// Recorder is the stage that writes the answer into the claim before the caller gets it.
type Recorder struct {
	claims *Stage
}

// NewRecorder returns the stage that records answers in the claims of the given claim stage.
func NewRecorder(claims *Stage) *Recorder {
	return &Recorder{claims: claims}
}

// String returns the name of the stage.
func (*Recorder) String() string {
	return "record"
}

// Run records the answer of a claimed call.
func (r *Recorder) Run(x *flow.Exchange) error {
	r.claims.Record(x)
	return nil
}
