package identity

import (
	"strings"
	"testing"

	"github.com/gentianrail/gentianrail/internal/disk"
	"github.com/gentianrail/gentianrail/internal/settings"
	"github.com/gentianrail/gentianrail/replica"
)

// TestControllerThatLostItsDiskIsAnotherOne guards against a group that is founded again
// beside the record, and against a voter that has forgotten its votes and entries.
func TestControllerThatLostItsDiskIsAnotherOne(t *testing.T) {
	cfg := settings.Controller{Replicas: 3, Seeds: []string{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"}, Address: "10.0.0.2:7000"}
	load := func(folder string, bootstrap bool) (replica.ID, []replica.Member) {
		t.Helper()
		files, err := disk.OpenFolder(folder)
		if err != nil {
			t.Fatal(err)
		}
		c := cfg
		c.Bootstrap = bootstrap
		id, members, err := LoadOrCreate(files, &c)
		if err != nil {
			t.Fatal(err)
		}
		return id, members
	}
	folder := t.TempDir()
	id, members := load(folder, true)
	if id != "10.0.0.2:7000" || len(members) != 3 {
		t.Fatalf("got the identifier %s and the initial members %v", id, members)
	}
	for _, bootstrap := range []bool{true, false} {
		if again, initial := load(folder, bootstrap); again != id || len(initial) != 3 {
			t.Errorf("bootstrap %t: with its disk it is %s with the initial members %v, want %s", bootstrap, again, initial, id)
		}
	}
	seen := map[replica.ID]bool{id: true}
	for range 2 {
		empty := t.TempDir()
		next, initial := load(empty, false)
		if seen[next] || !strings.HasPrefix(string(next), cfg.Address) || len(initial) > 0 {
			t.Errorf("without its disk it is %s with the initial members %v, want another identifier and none", next, initial)
		}
		seen[next] = true
		if again, initial := load(empty, true); again != next || len(initial) > 0 {
			t.Errorf("after a restart it is %s with the initial members %v, want %s and none", again, initial, next)
		}
	}
}
