package evacuation

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/fault"
)

var testNow = time.Unix(1_000_000, 0).UTC()

// TestOrdersAreIdempotent guards against a repeated order that counts as a change, and
// against a zone that is forgotten with the end of its evacuation.
func TestOrdersAreIdempotent(t *testing.T) {
	var s Set
	for i, tc := range []struct {
		order     func(string, time.Time, uint64) bool
		zone      string
		changed   bool
		evacuated []string
	}{
		{s.Finish, "a", false, nil},
		{s.Start, "a", true, []string{"a"}},
		{s.Start, "a", false, []string{"a"}},
		{s.Start, "b", true, []string{"a", "b"}},
		{s.Finish, "a", true, []string{"b"}},
		{s.Finish, "a", false, []string{"b"}},
		{s.Finish, "c", false, []string{"b"}},
	} {
		if got := tc.order(tc.zone, testNow, uint64(i+1)); got != tc.changed {
			t.Errorf("order %d changes something: %t, want %t", i, got, tc.changed)
		}
		if got := s.Evacuated(); !slices.Equal(got, tc.evacuated) || s.Count() != len(tc.evacuated) {
			t.Errorf("after order %d the zones %v are evacuated, count %d, want %v", i, got, s.Count(), tc.evacuated)
		}
	}
	for _, zone := range []string{"a", "b", "c"} {
		if !s.IsKnown(zone) {
			t.Errorf("zone %s is forgotten", zone)
		}
	}
	if got := s.Zones()[0]; got != (Zone{Name: "a", ChangedAt: testNow, Revision: 5}) {
		t.Errorf("the latest change is %+v, want that of the accepted order", got)
	}
}

// TestArbitraryNamesAreBounded guards against a state that grows with each name, and against
// an evacuation that is forgotten.
func TestArbitraryNamesAreBounded(t *testing.T) {
	var s Set
	s.Start("first", testNow, 1)
	for i := range 3 * _maxFinished {
		name := fmt.Sprint("z", i)
		s.Start(name, testNow, uint64(2*i+2))
		s.Finish(name, testNow, uint64(2*i+3))
	}
	if got := len(s.Zones()); got != _maxFinished+1 {
		t.Errorf("%d zones are remembered, want %d", got, _maxFinished+1)
	}
	if !s.IsEvacuated("first") || s.Count() != 1 {
		t.Error("the evacuation is forgotten")
	}
	if last := fmt.Sprint("z", 3*_maxFinished-1); !s.IsKnown(last) {
		t.Error("the latest zone is forgotten")
	}
}

func TestNamesAreChecked(t *testing.T) {
	for name, valid := range map[string]bool{
		"a": true, "zone-1": true, "Zürich": true, "a b": true, strings.Repeat("x", 256): true,
		"": false, "a/b": false, "a\n": false, "\xff": false, strings.Repeat("x", 257): false,
	} {
		if err := CheckName(name); (err == nil) != valid || err != nil && fault.CodeOf(err) != fault.BadRequest {
			t.Errorf("%.20q: got %v, want valid: %t", name, err, valid)
		}
	}
}
