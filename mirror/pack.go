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

// minPackedObjects is the number of objects from which all objects are sent compressed: after a start of all processes
// each sends them to all its followers at once, over links that are slow.
const minPackedObjects = 20

var errPackedTooLong = errors.New("compressed objects are too long")

// packed is the compressed state of a feed at a version, which is the same for all followers.
type packed struct {
	version units.Version
	data    []byte
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

// unpack returns the objects that pack compressed.
func unpack(data []byte) ([]wire.StoredObject, error) {
	r := flate.NewReader(bytes.NewReader(data))
	defer func() { _ = r.Close() }()
	list, err := io.ReadAll(io.LimitReader(r, maxFrameBytes+1))
	if err != nil {
		return nil, fmt.Errorf("decompress objects: %w", err)
	}
	if len(list) > maxFrameBytes {
		return nil, errPackedTooLong
	}
	var decoded wire.ObjectList
	if err := cbor.Unmarshal(list, &decoded); err != nil {
		return nil, fmt.Errorf("decode objects: %w", err)
	}
	return decoded.Objects, nil
}

// packAll returns the compressed objects of a version, which it computes once.
func (f *feed) packAll(version units.Version, objects []wire.StoredObject) ([]byte, error) {
	if p := f.packed.Load(); p != nil && p.version == version {
		return p.data, nil
	}
	data, err := pack(objects)
	if err == nil {
		f.packed.Store(&packed{version: version, data: data})
	}
	return data, err
}

// stored returns objects in the format for other processes.
func stored(objects []objapi.Object) []wire.StoredObject {
	list := make([]wire.StoredObject, 0, len(objects))
	for _, o := range objects {
		list = append(list, wire.StoredObject{Key: o.Key, Version: int64(o.Version), Value: o.Value})
	}
	return list
}
