package main

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
)

// wire holds names of the protocol by those that are used here: sources outside platform/
// hold none of them.
var wire = loadWire()

//go:embed wire.json
var wireText []byte

type wireNames struct {
	Fields   map[string]string `json:"fields"`
	Paths    map[string]string `json:"paths"`
	Settings string            `json:"settings"`
	// own holds the names used here by those of the protocol.
	own map[string]string
}

func loadWire() *wireNames {
	w := &wireNames{own: map[string]string{}}
	if err := json.Unmarshal(wireText, w); err != nil {
		panic(fmt.Sprintf("wire.json: %v", err)) // it is part of the program
	}
	for own, name := range w.Fields {
		w.own[name] = own
	}
	return w
}

// encode returns a body with the names of the protocol.
func (w *wireNames) encode(body any) ([]byte, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	return renameFields(bytes.NewReader(text), w.Fields)
}

// decode reads a body with the names of the protocol.
func (w *wireNames) decode(from io.Reader, into any) error {
	text, err := renameFields(from, w.own)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, into)
}

func renameFields(from io.Reader, names map[string]string) ([]byte, error) {
	decoder := json.NewDecoder(from)
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		return nil, err
	}
	return json.Marshal(renamed(value, names))
}

func renamed(value any, names map[string]string) any {
	switch v := value.(type) {
	case map[string]any:
		all := make(map[string]any, len(v))
		for name, field := range v {
			if other, known := names[name]; known {
				name = other
			}
			all[name] = renamed(field, names)
		}
		return all
	case []any:
		for i := range v {
			v[i] = renamed(v[i], names)
		}
		return v
	default:
		return value
	}
}
