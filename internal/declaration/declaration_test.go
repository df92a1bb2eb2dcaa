package declaration

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/gentianrail/gentianrail/fault"
)

const _validDeclaration = `{"name": "quotes", "owner": "workshop", "class": "service", "target": "sample",
	"limits": {"slots": 8, "request_timeout": "2s", "memory": "1GiB", "cpu": "500m"},
	"objective": {"ratio": 0.999, "latency": "250ms"}}`

// TestInvalidDeclarationsAreRejected replaces one part of a valid declaration and
// checks that the error names the file, the field and the allowed values.
func TestInvalidDeclarationsAreRejected(t *testing.T) {
	for _, tc := range []struct{ from, to, want string }{
		{`"quotes"`, `"Quotes"`, `name: found "Quotes", allowed is a lower-case letter`},
		{`"service"`, `"cron"`, `class: found "cron", allowed is service, batch or watch`},
		{`"slots": 8`, `"slots": 0`, "limits.slots: found 0, allowed is a whole number from 1 to 4096"},
		{`"slots": 8`, `"slots": 99999`, "limits.slots: found 99999"},
		{`"slots": 8`, `"slots": "8"`, "limits.slots: found a JSON string, allowed is a whole number"},
		{`"slots": 8`, `"slots": 8, "slots": 9`, "limits.slots: repeated field"},
		{`"slots": 8`, `"solts": 8`, "limits.solts: unknown field"},
		{`"2s"`, `"2"`, "limits.request_timeout"},
		{`"1GiB"`, `"1GB"`, "limits.memory"},
		{`"1GiB"`, `"9000TiB"`, "limits.memory"},
		{`"500m"`, `"0.5"`, "limits.cpu"},
		{`0.999`, `1`, "objective.ratio: found 1, allowed is a number above 0 and below 1"},
		{`"objective": {"ratio": 0.999, "latency": "250ms"}`, `"key_required": false`, "objective.ratio: found 0"},
		{`"target": "sample"`, `"target": "sample", "idempotent_methods": ["post"]`, "idempotent_methods[0]"},
		{`"target": "sample"`, `"target": "sample", "idempotent_paths": ["price"]`, "idempotent_paths[0]"},
		{`"target": "sample"`, `"target": "sample",`, "not JSON"},
	} {
		_, err := Parse("quotes.json", []byte(strings.Replace(_validDeclaration, tc.from, tc.to, 1)))
		if fault.CodeOf(err) != fault.BadDeclaration || !strings.Contains(err.Error(), "quotes.json: ") || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: got %v, want %q", tc.to, err, tc.want)
		}
	}
}

// TestMarshalRoundTrip guards against an entry that changes or becomes invalid
// when an operator shows it and applies the output.
func TestMarshalRoundTrip(t *testing.T) {
	files, err := filepath.Glob("../../examples/catalogue/*.json")
	if err != nil || len(files) != 3 {
		t.Fatalf("found %v, %v", files, err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		spec, err := Parse(file, data)
		if err != nil {
			t.Fatal(err)
		}
		marshaled, err := Marshal(spec, 7)
		if err != nil {
			t.Fatal(err)
		}
		reparsed, err := Parse(file, marshaled)
		if err != nil || !reparsed.Equal(spec) || reparsed.Version != spec.Version {
			t.Errorf("%s: %v\n%s", file, err, marshaled)
		}
	}
}

// FuzzParse checks that Parse fails only with BadDeclaration and that a parsed
// declaration survives Marshal and Parse.
func FuzzParse(f *testing.F) {
	f.Add([]byte(_validDeclaration))
	f.Add([]byte(`{"limits": {"memory": "9223372036854775807TiB"}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		spec, err := Parse("f", data)
		if err != nil {
			if fault.CodeOf(err) != fault.BadDeclaration {
				t.Errorf("code %d", fault.CodeOf(err))
			}
			return
		}
		marshaled, err := Marshal(spec, 0)
		if err != nil {
			t.Fatal(err)
		}
		if reparsed, err := Parse("f", marshaled); err != nil || !reparsed.Equal(spec) {
			t.Errorf("%s is marshaled as %s: %v", data, marshaled, err)
		}
	})
}
