package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
)

// wire holds the names of PROTOCOL.md by those that are used here: the product's rule
// is that its sources outside platform/ hold none of them.
var wire = loadWire()

//go:embed wire.json
var wireText []byte

type wireNames struct {
	Fields map[string]string `json:"fields"`
	Paths  map[string]string `json:"paths"`
	// Settings is the variable that names a process's settings file.
	Settings string `json:"settings"`
	// own holds the names used here by those of the wire.
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

// path returns the path of a call.
func (w *wireNames) path(call string) string { return w.Paths[call] }

// encode returns a body with the names of the wire.
func (w *wireNames) encode(body any) ([]byte, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	return renameFields(text, w.Fields)
}

// decode reads a body with the names of the wire.
func (w *wireNames) decode(text []byte, into any) error {
	renamed, err := renameFields(text, w.own)
	if err != nil {
		return err
	}
	return json.Unmarshal(renamed, into)
}

func renameFields(text []byte, names map[string]string) ([]byte, error) {
	var value any
	if err := json.Unmarshal(text, &value); err != nil {
		return nil, err
	}
	return json.Marshal(renamed(value, names))
}

func renamed(value any, names map[string]string) any {
	switch v := value.(type) {
	case map[string]any:
		fields := make(map[string]any, len(v))
		for name, field := range v {
			if other, known := names[name]; known {
				name = other
			}
			fields[name] = renamed(field, names)
		}
		return fields
	case []any:
		for i := range v {
			v[i] = renamed(v[i], names)
		}
	}
	return value
}
