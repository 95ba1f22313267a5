package claim

import "github.com/buckthorntrack/buckthorntrack/flow"

// Record is the stage that writes an answer into its claim before the caller gets it.
type Record struct {
	claims *Stage
}

// NewRecord returns the stage that completes the claims of the other one.
func NewRecord(claims *Stage) *Record {
	return &Record{claims: claims}
}

// String names the stage.
func (*Record) String() string {
	return "record"
}

// Run records the answer of a claimed call.
func (r *Record) Run(x *flow.Exchange) error {
	r.claims.Record(x)
	return nil
}
