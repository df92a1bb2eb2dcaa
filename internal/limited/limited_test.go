package limited

import (
	"strings"
	"testing"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

type numbers []int

func (n *numbers) UnmarshalJSONFrom(d *jsontext.Decoder) error {
	return UnmarshalList(d, (*[]int)(n), 3)
}

// TestListBeyondLimitIsRejected guards against a limit that is off by one, and
// against errors that lack the path of the field.
func TestListBeyondLimitIsRejected(t *testing.T) {
	for text, want := range map[string]string{
		`{"n":[1,2,3]}`:         "",
		`{"n":[]}`:              "",
		`{"n":null}`:            "",
		`{"n":[1,2,3,4]}`:       "allowed are 3",
		`{"n":[1,2,3,4`:         "allowed are 3",
		`{"n":[1,2`:             "EOF",
		`{"n":[1,"x"]}`:         "/n/1",
		`{"n":7}`:               "/n",
		`{"n":[1],"x":[1,2,3]}`: "unknown",
	} {
		var out struct {
			N numbers `json:"n"`
		}
		err := json.Unmarshal([]byte(text), &out, json.RejectUnknownMembers(true))
		if want == "" != (err == nil) || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got %v, want %q", text, err, want)
		}
	}
}
