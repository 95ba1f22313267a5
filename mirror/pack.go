package mirror

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"github.com/buckthorntrack/buckthorntrack/objapi"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

// minPackedBytes is the length of the values from which objects are sent compressed: a large configuration, or all engines
// after a start of all processes, goes to all followers at once, over links that are slow.
const minPackedBytes = 4 << 10

var errPackedTooLong = errors.New("compressed objects are too long")

// packed holds the compressed objects between two versions, which are the same for many followers.
type packed struct {
	from, to units.Version // from is zero for all objects
	data     []byte
}

// pack returns all objects, compressed.
func pack(objects []wire.StoredObject) ([]byte, error) {
	list, err := cbor.Marshal(wire.ObjectList{Objects: objects})
	if err != nil {
		return nil, fmt.Errorf("encode objects: %w", err)
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress objects: %w", err)
	}
	if _, err := w.Write(list); err != nil {
		return nil, fmt.Errorf("compress objects: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress objects: %w", err)
	}
	return out.Bytes(), nil
}

// unpack returns the objects that pack compressed, and their length without compression, which must not exceed the limit.
func unpack(data []byte, limit int) (objects []wire.StoredObject, length int, err error) {
	r := flate.NewReader(bytes.NewReader(data))
	defer func() { _ = r.Close() }()
	list, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, 0, fmt.Errorf("decompress objects: %w", err)
	}
	if len(list) > limit {
		return nil, 0, errPackedTooLong
	}
	var decoded wire.ObjectList
	if err := cbor.Unmarshal(list, &decoded); err != nil {
		return nil, 0, fmt.Errorf("decode objects: %w", err)
	}
	return decoded.Objects, len(list), nil
}

// packOnce returns the compressed objects between two versions. It keeps the last ones for further followers.
func (f *feed) packOnce(from, to units.Version, objects []wire.StoredObject) ([]byte, error) {
	if p := f.packed.Load(); p != nil && p.from == from && p.to == to {
		return p.data, nil
	}
	data, err := pack(objects)
	if err == nil {
		f.packed.Store(&packed{from: from, to: to, data: data})
	}
	return data, err
}

// isLarge reports whether the objects are sent compressed.
func isLarge(objects []wire.StoredObject) bool {
	total := 0
	for i := range objects {
		total += len(objects[i].Value)
	}
	return total >= minPackedBytes
}

// stored returns objects in the format for other processes.
func stored(objects []objapi.Object) []wire.StoredObject {
	list := make([]wire.StoredObject, 0, len(objects))
	for _, o := range objects {
		list = append(list, wire.StoredObject{Key: o.Key, Version: int64(o.Version), Value: o.Value})
	}
	return list
}
