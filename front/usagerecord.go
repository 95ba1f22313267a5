package front

import (
	"context"
	"errors"

	"github.com/buckthorntrack/buckthorntrack/objapi"
	"github.com/buckthorntrack/buckthorntrack/usage"
)

// settledKey is the key of the object that holds the settled windows.
const settledKey = "usage/settled"

// usageRecords implements usage.Records with an object of the platform's store.
type usageRecords struct {
	store    *objapi.Client
	previous objapi.Object // as it was loaded or saved last
}

// Load implements usage.Records.
func (r *usageRecords) Load(ctx context.Context) (usage.Record, error) {
	o, err := r.store.Get(ctx, settledKey)
	if errors.Is(err, objapi.ErrNotFound) {
		r.previous = objapi.Object{}
		return usage.Record{}, nil
	}
	if err != nil {
		return usage.Record{}, err
	}
	var v usage.Record
	if err := o.Decode(&v); err != nil {
		return usage.Record{}, err
	}
	r.previous = o
	return v, nil
}

// Save implements usage.Records.
func (r *usageRecords) Save(ctx context.Context, v usage.Record) error {
	o, err := objapi.Encode(settledKey, r.previous, v)
	if err != nil {
		return err
	}
	written, err := r.store.Put(ctx, o)
	if errors.Is(err, objapi.ErrConflict) {
		return usage.ErrOutdated
	}
	if err != nil {
		return err
	}
	r.previous = written
	return nil
}
