package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/unit"
)

const _validSettings = `{"name": "n", "zone": "z", "roles": ["controller", "entry", "agent"],
	"controller": {"id": "c1", "address": "127.0.0.1:1", "operator_address": "127.0.0.1:2", "data_folder": "d"},
	"entry": {"address": "127.0.0.1:3"},
	"agent": {"id": "w1", "address": "127.0.0.1:4", "slots": 1, "connections": 1, "cpu": "1", "memory": "1GiB"},
	"sample": {"address": "127.0.0.1:5", "targets": ["sample"]}}`

func TestParseSetsDefaults(t *testing.T) {
	s, err := Parse("f", []byte(_validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if len(s.Controllers) != 1 || s.Agent.TargetAddress != "127.0.0.1:5" || s.Entry.Retries != _retries {
		t.Errorf("missing defaults: %+v", s)
	}
}

// TestParseReportsPathOfInvalidField makes one field of valid settings invalid and
// checks that the error has the field's path.
func TestParseReportsPathOfInvalidField(t *testing.T) {
	for _, tc := range []struct{ from, to, want string }{
		{`"name": "n"`, `"name": ""`, "name: missing"},
		{`"name": "n"`, `"name": "n", "nmae": 1`, "nmae: unknown field"},
		{`"zone": "z"`, `"zone": "z", "zone": "y"`, "zone: repeated field"},
		{`"roles": ["controller", "entry", "agent"]`, `"roles": ["controller", "entry"]`, "agent: present, but roles does not name agent"},
		{`"entry", "agent"]`, `"entry", "agent", "cook"]`, `roles.3: found "cook"`},
		{`"entry": {"address": "127.0.0.1:3"},`, ``, "entry: missing, but roles names entry"},
		{`"127.0.0.1:3"`, `"localhost:3"`, `entry.address: found "localhost:3"`},
		{`"127.0.0.1:3"}`, `"127.0.0.1:3", "watch_heartbeat": "5"}`, "entry.watch_heartbeat"},
		{`"127.0.0.1:3"}`, `"127.0.0.1:3", "retries": 11}`, "entry.retries: found 11, allowed is 0 to 10"},
		{`"slots": 1`, `"slots": 0`, "agent.slots: found 0"},
		{`"cpu": "1"`, `"cpu": "one"`, "agent.cpu"},
		{`"memory": "1GiB"`, `"memory": "1 gig"`, "agent.memory"},
		{`"data_folder": "d"`, `"data_folder": "d", "heartbeat": "1s"`, "controller.election_timeout"},
		{`"data_folder": "d"`, `"data_folder": "d", "members": {"c2": "127.0.0.1:9"}`, "controller.members"},
		{`"data_folder": "d"`, `"data_folder": "d", "remote_penalty": 0.5`, "controller.remote_penalty: found 0.5, allowed is a factor from 1 to 100"},
		{`"data_folder": "d"`, `"data_folder": "d", "remote_penalty": 150`, "controller.remote_penalty: found 150"},
		{`"name": "n"`, `"name": "n", "intake": {"body_budget": "1MiB"}`, "intake.body_budget"},
		{`"name": "n"`, `"name": "n", "intake": {"connections": 1}`, "intake.connections"},
		{`"name": "n"`, `"name": "n", "intake": {"idle_timeout": "-1s"}`, "intake.idle_timeout"},
		{`"name": "n"`, `"name": 5`, "name: found a JSON number, allowed is a string"},
		{`{"name"`, `["name"`, "the document: found a JSON list, allowed is an object"},
		{`{"name"`, `{name`, "not JSON at byte"},
	} {
		_, err := Parse("f", []byte(strings.Replace(_validSettings, tc.from, tc.to, 1)))
		if fault.CodeOf(err) != fault.BadSettings || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: got %v, want %q", tc.to, err, tc.want)
		}
	}
}

// TestIntakeLimitsLeaveRoomForClients guards against derived limits that a client within
// its own limits reaches, or that exceed the machine of a role on the users' platform.
func TestIntakeLimitsLeaveRoomForClients(t *testing.T) {
	const descriptors, largestBody = 4100, 8 << 20
	for _, tc := range []struct {
		roles       []string
		memory      unit.Bytes
		connections int
		bodyTimeout time.Duration
	}{
		{[]string{RoleEntry}, 64 << 20, 682, 30 * time.Second},
		{[]string{RoleAgent}, 64 << 20, 256, 30 * time.Second},
		{[]string{RoleController}, 128 << 20, 256, time.Minute},
		{[]string{RoleAgent}, 14 << 20, 149, 30 * time.Second},
		{[]string{RoleController, RoleAgent, RoleEntry}, 512 << 20, 1922, time.Minute},
	} {
		s := Settings{Roles: tc.roles, MemoryLimit: tc.memory}
		l := s.IntakeLimits(descriptors)
		if l.Connections != tc.connections || time.Duration(l.BodyTimeout) != tc.bodyTimeout {
			t.Errorf("%v: got %+v, want %d connections and %s for a body", tc.roles, l, tc.connections, tc.bodyTimeout)
		}
		if large := l.BodyBudget / 4 * 3; large <= largestBody {
			t.Errorf("%v: large bodies have %d bytes, which don't hold one of %d", tc.roles, large, largestBody)
		}
		if time.Duration(l.HeaderTimeout) <= 3*time.Second || time.Duration(l.IdleTimeout) <= 15*time.Second {
			t.Errorf("%v: clients reach the timeouts %+v", tc.roles, l)
		}
	}
	s := Settings{Roles: []string{RoleEntry}, MemoryLimit: 64 << 20, Intake: Intake{Connections: 20, IdleTimeout: unit.Duration(time.Hour)}}
	if l := s.IntakeLimits(descriptors); l.Connections != 20 || time.Duration(l.IdleTimeout) != time.Hour {
		t.Errorf("settings were replaced: %+v", l)
	}
	if l := (&Settings{Roles: []string{RoleEntry}, MemoryLimit: 64 << 20}).IntakeLimits(100); l.Connections != _minConnections {
		t.Errorf("with 100 descriptors: %+v", l)
	}
}

func TestParseReportsAllProblems(t *testing.T) {
	_, err := Parse("f", []byte(`{"roles": ["entry"], "entry": {"address": "x"}}`))
	for _, want := range []string{"name: missing", "zone: missing", "entry.address", "controllers: missing"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v does not contain %q", err, want)
		}
	}
}

func TestExampleSettingsAreValid(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/*.json")
	if err != nil {
		t.Fatal(err)
	}
	files = append(files, "../../examples/single.json")
	for _, file := range files {
		if strings.Contains(file, "catalogue") || strings.Contains(file, "submissions") {
			continue // not settings; the tests of package declaration parse them
		}
		if _, err := Load(file); err != nil {
			t.Error(err)
		}
	}
}

// TestSettingsPageNamesAllKeys checks that docs/SETTINGS.md has every key of the
// settings file.
func TestSettingsPageNamesAllKeys(t *testing.T) {
	data, err := os.ReadFile("../../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, key := range settingsKeys(reflect.TypeFor[Settings](), "") {
		if !strings.Contains(string(data), "`"+key+"`") {
			t.Errorf("docs/SETTINGS.md lacks %s", key)
		}
	}
}

func settingsKeys(typ reflect.Type, prefix string) []string {
	var out []string
	for i := range typ.NumField() {
		f := typ.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		inner := f.Type
		if inner.Kind() == reflect.Pointer {
			inner = inner.Elem()
		}
		if inner.Kind() == reflect.Struct {
			out = append(out, settingsKeys(inner, prefix+name+".")...)
			continue
		}
		out = append(out, prefix+name)
	}
	return out
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(_validSettings))
	f.Add([]byte(`{"roles": null, "controller": {}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := Parse("f", data)
		if err != nil && fault.CodeOf(err) != fault.BadSettings {
			t.Errorf("code %d", fault.CodeOf(err))
		}
	})
}

func TestNumbersOutOfRangeAreRefused(t *testing.T) {
	group := strings.Replace(_validSettings, `"data_folder": "d"`, `"data_folder": "d", "seeds": ["127.0.0.1:1"], "replicas": 3`, 1)
	for _, tc := range []struct {
		settings, from, to string
		want               string // empty if the settings are valid
	}{
		{_validSettings, `"127.0.0.1:3"`, `"127.0.0.1:65535"`, ""},
		{_validSettings, `"127.0.0.1:3"`, `"127.0.0.1:65536"`, "entry.address"},
		{_validSettings, `"127.0.0.1:3"`, `"127.0.0.1:-1"`, "entry.address"},
		{_validSettings, `"127.0.0.1:3"`, `"127.0.0.1:99999999999999999999"`, "entry.address"},
		{_validSettings, `"name": "n"`, `"name": "n", "controllers": ["127.0.0.1:0"]`, "controllers.0"},
		{_validSettings, `"name": "n"`, `"name": "n", "controllers": ["127.0.0.1:1"], "controllers_port": 65535`, ""},
		{_validSettings, `"name": "n"`, `"name": "n", "controllers": ["127.0.0.1:1"], "controllers_port": 65536`, "controllers.0"},
		{_validSettings, `"name": "n"`, `"name": "n", "controllers": ["127.0.0.1:1"], "controllers_port": -1`, "controllers.0"},
		{_validSettings, `"name": "n"`, `"name": "n", "controllers_port": 1e30`, "controllers_port"},
		{_validSettings, `"slots": 1`, `"slots": 9223372036854775808`, "agent.slots"},
		{_validSettings, `"slots": 1`, `"slots": 2147483647`, ""},
		{_validSettings, `"slots": 1`, `"slots": 2147483648`, "agent.slots"},
		{_validSettings, `"connections": 1`, `"connections": 2147483648`, "agent.connections"},
		{_validSettings, `"slots": 1`, `"slots": 1, "accelerators": 2147483647`, ""},
		{_validSettings, `"slots": 1`, `"slots": 1, "accelerators": 2147483648`, "agent.accelerators"},
		{_validSettings, `"127.0.0.1:4"`, `"127.0.0.1:0"`, "agent.address"},
		{_validSettings, `"127.0.0.1:5"`, `"127.0.0.1:0"`, "agent.target_address"},
		{_validSettings, `"memory": "1GiB"`, `"memory": "99999999999999999999GiB"`, "agent.memory"},
		{_validSettings, `"127.0.0.1:3"}`, `"127.0.0.1:3", "retry_ratio": 1e400}`, "entry.retry_ratio"},
		{group, `"replicas": 3`, `"replicas": 3, "warm_up": {"overage": 1.5, "tolerance": 5}`, ""},
		{group, `"replicas": 3`, `"replicas": 3, "warm_up": {"overage": 0.1}`, ""},
		{group, `"replicas": 3`, `"replicas": 3, "warm_up": {"tolerance": 5}`, "controller.warm_up.overage"},
		{group, `"replicas": 3`, `"replicas": 3, "warm_up": {"overage": -1}`, "controller.warm_up.overage"},
		{group, `"replicas": 3`, `"replicas": 3, "warm_up": {"overage": 1001}`, "controller.warm_up.overage"},
		{group, `"replicas": 3`, `"replicas": 3, "warm_up": {"overage": 1.5, "tolerance": -1}`, "controller.warm_up.tolerance"},
		{_validSettings, `"name": "n"`, `"name": "n", "zones": ["a", "b"]`, ""},
		{_validSettings, `"name": "n"`, `"name": "n", "zones": ["a", "b", "a"]`, "zones.2"},
		{_validSettings, `"name": "n"`, `"name": "n", "zones": ["a", ""]`, "zones.1"},
		{_validSettings, `"name": "n"`, `"name": "n", "zones": ["a/b"]`, "zones.0"},
		{group, `"replicas": 3`, `"replicas": 99`, ""},
		{group, `"replicas": 3`, `"replicas": 101`, "controller.replicas"},
		{group, `"replicas": 3`, `"replicas": -3`, "controller.replicas"},
		{group, `"replicas": 3`, `"tolerated_losses": 1`, ""},
		{group, `"replicas": 3`, `"tolerated_losses": 49`, ""},
		{group, `"replicas": 3`, `"tolerated_losses": 50`, "controller.replicas"},
		{group, `"replicas": 3`, `"tolerated_losses": -1`, "controller.replicas"},
		{group, `"replicas": 3`, `"tolerated_losses": 4611686018427387904`, "controller"},
	} {
		changed := strings.Replace(tc.settings, tc.from, tc.to, 1)
		if changed == tc.settings {
			t.Fatalf("no %s in the settings", tc.from)
		}
		_, err := Parse("f", []byte(changed))
		if (err == nil) != (tc.want == "") || err != nil && !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: %v, want %q", tc.to, err, tc.want)
		}
	}
}

func TestDeeplyNestedSettingsAreRefused(t *testing.T) {
	for _, value := range []string{strings.Repeat("[", 1<<20), strings.Repeat(`{"a":`, 1<<18)} {
		if _, err := Parse("f", []byte(`{"name": `+value)); err == nil {
			t.Errorf("%.20q was accepted", value)
		}
	}
}

// TestMachineNameHasNoSlash guards against two machines that count as one, since their names
// begin alike: the leader would end the runs of the one whose agent has attached first.
func TestMachineNameHasNoSlash(t *testing.T) {
	const agent = `{"name":%q,"zone":"z","roles":["agent"],"controllers":["127.0.0.1:1"],
		"platform":{"control_plane":"127.0.0.1:2","worker":"127.0.0.1:3"}}`
	for name, accepted := range map[string]bool{"side-1": true, "side.1": true, "side/1": false, "/": false} {
		_, err := Parse("f", fmt.Appendf(nil, agent, name))
		if (err == nil) != accepted || err != nil && !strings.Contains(err.Error(), "without slashes") {
			t.Errorf("%q: got %v, want accepted: %t", name, err, accepted)
		}
	}
}
