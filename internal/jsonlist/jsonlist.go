// Package jsonlist decodes JSON arrays whose elements come from several writers.
package jsonlist

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// List is a JSON array that is decoded element by element. An element that cannot be
// decoded is left out, so that it does not hide the others.
type List[T any] struct {
	Items []T
	// Omitted holds the errors of the elements that were left out.
	Omitted []error
}

// UnmarshalJSON implements json.Unmarshaler. It fails only if data is neither an array
// nor null.
func (l *List[T]) UnmarshalJSON(data []byte) error {
	var elements []json.RawMessage
	if err := json.Unmarshal(data, &elements); err != nil {
		return errors.Wrap(err, "decode list")
	}
	*l = List[T]{}
	for i, element := range elements {
		var item T
		if err := json.Unmarshal(element, &item); err != nil {
			l.Omitted = append(l.Omitted, errors.Wrapf(err, "decode element %d of %d", i, len(elements)))
			continue
		}
		l.Items = append(l.Items, item)
	}
	return nil
}

// MarshalJSON implements json.Marshaler.
func (l List[T]) MarshalJSON() ([]byte, error) {
	if l.Items == nil {
		return []byte("[]"), nil
	}
	return json.Marshal(l.Items)
}
