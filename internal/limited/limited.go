// Package limited decodes lists with a limit on their elements. An element of a few
// bytes may take hundreds once it is decoded, so a limit that is checked afterwards
// comes too late.
package limited

import (
	"fmt"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// UnmarshalList decodes a list of at most limit elements.
func UnmarshalList[T any](d *jsontext.Decoder, out *[]T, limit int) error {
	if d.PeekKind() != jsontext.KindBeginArray {
		return json.UnmarshalDecode(d, out) // null, or an error that names both types
	}
	if _, err := d.ReadToken(); err != nil {
		return err
	}
	list := []T{}
	for d.PeekKind() != jsontext.KindEndArray {
		if len(list) == limit {
			return fmt.Errorf("found more than %d elements, allowed are %d", limit, limit)
		}
		var element T
		if err := json.UnmarshalDecode(d, &element); err != nil {
			return err
		}
		list = append(list, element)
	}
	if _, err := d.ReadToken(); err != nil {
		return err
	}
	*out = list
	return nil
}
