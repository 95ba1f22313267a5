package claim

import "github.com/buckthorntrack/buckthorntrack/flow"

// Record is the stage that writes the answer into the claim before the caller gets it.
type Record struct {
	claims *Stage
}

// NewRecord returns the stage that records answers in the claims of the given claim stage.
func NewRecord(claims *Stage) *Record {
	return &Record{claims: claims}
}

// String returns the name of the stage.
func (*Record) String() string {
	return "record"
}

// Run records the answer of a claimed call.
func (r *Record) Run(x *flow.Exchange) error {
	r.claims.Record(x)
	return nil
}
