package catalogue

import (
	"fmt"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/fault"
)

func testSpec(name string, version uint64, slots int) *Spec {
	return &Spec{
		Name: name, Owner: "workshop", Class: Service, Target: "sample", Version: version,
		Limits: Limits{
			Slots: slots, Connections: 8, RequestTimeout: time.Second, MaxRunningTasks: 1,
			Deadline: time.Second, MaxAttempts: 1,
		},
		Objective: Objective{Ratio: 0.99, Latency: time.Second},
	}
}

// changeStep is one change, its expected code and the expected current entry
// after it as "version/slots".
type changeStep struct {
	id   string
	base uint64
	put  *Spec // nil to delete
	code fault.Code
	want string
}

// TestConflictingAndRepeatedChanges guards against a lost update by concurrent
// operators and against a second effect of a resent change.
func TestConflictingAndRepeatedChanges(t *testing.T) {
	const any = AnyVersion
	for _, tc := range []struct {
		name  string
		steps []changeStep
	}{
		{"two operators declare the same version with other content", []changeStep{
			{"a", any, testSpec("e", 1, 1), fault.OK, "1/1"},
			{"b", any, testSpec("e", 2, 2), fault.OK, "2/2"},
			{"c", any, testSpec("e", 2, 3), fault.VersionConflict, "2/2"},
			{"d", any, testSpec("e", 2, 2), fault.OK, "2/2"},
		}},
		{"two operators change the same base version", []changeStep{
			{"a", 0, testSpec("e", 0, 1), fault.OK, "1/1"},
			{"b", 1, testSpec("e", 0, 2), fault.OK, "2/2"},
			{"c", 1, testSpec("e", 0, 3), fault.VersionConflict, "2/2"},
			{"d", 2, testSpec("e", 0, 3), fault.OK, "3/3"},
		}},
		{"a change resent after its answer was lost is not applied again", []changeStep{
			{"a", any, testSpec("e", 0, 1), fault.OK, "1/1"},
			{"a", any, testSpec("e", 0, 1), fault.OK, "1/1"},
			{"b", any, testSpec("e", 0, 2), fault.OK, "2/2"},
			{"a", any, testSpec("e", 0, 1), fault.OK, "2/2"},
		}},
		{"an old declaration is rejected after a delete", []changeStep{
			{"a", any, testSpec("e", 3, 1), fault.OK, "3/1"},
			{"b", 3, nil, fault.OK, "none"},
			{"c", any, testSpec("e", 3, 1), fault.VersionConflict, "none"},
			{"d", any, testSpec("e", 4, 1), fault.OK, "4/1"},
		}},
		{"a delete based on another version is rejected", []changeStep{
			{"a", any, testSpec("e", 1, 1), fault.OK, "1/1"},
			{"b", 7, nil, fault.VersionConflict, "1/1"},
			{"b", any, nil, fault.OK, "none"},
			{"b", any, nil, fault.OK, "none"},
			{"c", any, nil, fault.EntryNotFound, "none"},
		}},
		{"an invalid declaration changes nothing", []changeStep{
			{"a", any, testSpec("e", 1, 1), fault.OK, "1/1"},
			{"b", any, testSpec("e", 2, 0), fault.BadDeclaration, "1/1"},
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var c Catalogue
			for i, s := range tc.steps {
				_, err := c.Apply(Change{ID: s.id, Base: s.base, Name: "e", Put: s.put, At: time.Unix(int64(i), 0)}, uint64(i+1))
				if fault.CodeOf(err) != s.code {
					t.Fatalf("step %d: error %v, want code %d", i, err, s.code)
				}
				// A snapshot and restore between changes must not alter the result.
				c = restoreCopy(&c)
				if got := currentEntry(&c); got != s.want {
					t.Fatalf("step %d: current entry is %s, want %s", i, got, s.want)
				}
			}
		})
	}
}

func currentEntry(c *Catalogue) string {
	e, ok := c.Entry("e")
	if !ok {
		return "none"
	}
	return fmt.Sprintf("%d/%d", e.Version(), e.Limits().Slots)
}

func restoreCopy(c *Catalogue) Catalogue {
	var out Catalogue
	for _, d := range c.DeletedVersions() {
		out.RestoreVersion(d)
	}
	for _, e := range c.Entries() {
		out.Put(e)
	}
	for _, r := range c.AcceptedChanges() {
		out.RestoreChange(r)
	}
	return out
}

// TestDryRunChangesNothing checks that a dry run returns the result of a change
// and stores neither the entry nor the change.
func TestDryRunChangesNothing(t *testing.T) {
	var c Catalogue
	got, err := c.Apply(Change{ID: "a", Base: AnyVersion, Name: "e", Put: testSpec("e", 1, 1), DryRun: true}, 1)
	if err != nil || got.Entry.Version() != 1 {
		t.Errorf("got %v, %v", got, err)
	}
	if c.Len() != 0 || len(c.AcceptedChanges()) != 0 {
		t.Error("a dry run changed the catalogue")
	}
}

// TestOldChangesExpire checks that changes older than ChangeRetention are
// removed. The list of changes would grow without bound otherwise.
func TestOldChangesExpire(t *testing.T) {
	var c Catalogue
	for i := range 3 {
		at := time.Unix(0, 0).Add(time.Duration(i) * ChangeRetention * 2 / 3)
		if _, err := c.Apply(Change{ID: fmt.Sprint(i), Base: AnyVersion, Name: "e", Put: testSpec("e", 0, i+1), At: at}, uint64(i+1)); err != nil {
			t.Fatal(err)
		}
	}
	if got := len(c.AcceptedChanges()); got != 2 {
		t.Errorf("%d changes are stored, want 2", got)
	}
}

// TestIdempotent guards against repeating requests that are not idempotent. PUT
// and the paths /price/* are declared idempotent here.
func TestIdempotent(t *testing.T) {
	e := RestoreEntry(Spec{IdempotentMethods: []string{"PUT"}, IdempotentPaths: []string{"/price/*"}}, 1, 1)
	for _, tc := range []struct {
		method, path string
		want         bool
	}{
		{"GET", "/confirm", true},
		{"HEAD", "/confirm", true},
		{"PUT", "/confirm", true},
		{"DELETE", "/confirm", false},
		{"POST", "/confirm", false},
		{"POST", "/price/1", true},
		{"POST", "/price/1/2", false},
	} {
		if got := e.Idempotent(tc.method, tc.path); got != tc.want {
			t.Errorf("%s %s: %v, want %v", tc.method, tc.path, got, tc.want)
		}
	}
}
