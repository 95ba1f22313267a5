// Package wire defines the messages between processes, generated from schema.json.
package wire

//go:generate go tool -modfile=../tools/go.mod go-jsonschema --struct-name-from-title --only-models --tags cbor -p wire -o wire.go schema.json
