package declaration

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/gentianrail/gentianrail/fault"
)

const _sound = `{"name": "quotes", "owner": "workshop", "class": "service", "target": "sample",
	"limits": {"slots": 8, "request_timeout": "2s", "memory": "1GiB", "cpu": "500m"},
	"objective": {"ratio": 0.999, "latency": "250ms"}}`

// TestFaults changes a sound declaration in one place and checks that the
// message names file, field and what is allowed.
func TestFaults(t *testing.T) {
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
		_, err := Parse("quotes.json", []byte(strings.Replace(_sound, tc.from, tc.to, 1)))
		if fault.CodeOf(err) != fault.BadDeclaration || !strings.Contains(err.Error(), "quotes.json: ") || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: got %v, want %q", tc.to, err, tc.want)
		}
	}
}

// TestRoundTrip checks that what is shown of an entry can be applied again.
func TestRoundTrip(t *testing.T) {
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
		shown, err := Marshal(spec, 7)
		if err != nil {
			t.Fatal(err)
		}
		again, err := Parse(file, shown)
		if err != nil || !again.Equal(spec) || again.Version != spec.Version {
			t.Errorf("%s: %v\n%s", file, err, shown)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(_sound))
	f.Add([]byte(`{"limits": {"memory": "9223372036854775807TiB"}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		spec, err := Parse("f", data)
		if err != nil {
			if fault.CodeOf(err) != fault.BadDeclaration {
				t.Errorf("code %d", fault.CodeOf(err))
			}
			return
		}
		shown, err := Marshal(spec, 0)
		if err != nil {
			t.Fatal(err)
		}
		if again, err := Parse("f", shown); err != nil || !again.Equal(spec) {
			t.Errorf("%s is shown as %s: %v", data, shown, err)
		}
	})
}
