// Package settings reads the daemon's JSON settings and checks them whole
// before anything starts.
package settings

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/declaration"
	"github.com/gentianrail/gentianrail/internal/unit"
)

// Roles that a process can hold.
const (
	RoleEntry      = "entry"
	RoleController = "controller"
	RoleAgent      = "agent"
)

// Controller settings.
type Controller struct {
	ID              string            `json:"id"`
	Address         string            `json:"address"`
	OperatorAddress string            `json:"operator_address"`
	DataFolder      string            `json:"data_folder"`
	Members         map[string]string `json:"members,omitempty"`
	ElectionTimeout unit.Duration     `json:"election_timeout"`
	Heartbeat       unit.Duration     `json:"heartbeat"`
	Lease           unit.Duration     `json:"lease"`
	SnapshotEntries int               `json:"snapshot_entries"`
	Seeds           []string          `json:"seeds,omitempty"`
	Bootstrap       bool              `json:"bootstrap,omitempty"`
	Losses          *int              `json:"tolerated_losses,omitempty"`
	Replicas        int               `json:"replicas,omitempty"`
	RunLease        unit.Duration     `json:"run_lease"`
}

// Entry settings.
type Entry struct {
	Address        string        `json:"address"`
	Retries        int           `json:"retries"`
	RetryRatio     float64       `json:"retry_ratio"`
	WatchHeartbeat unit.Duration `json:"watch_heartbeat"`
	BurnInterval   unit.Duration `json:"burn_interval"`
}

// Agent settings.
type Agent struct {
	ID            string        `json:"id"`
	Address       string        `json:"address"`
	TargetAddress string        `json:"target_address"`
	Targets       []string      `json:"targets"`
	Slots         int           `json:"slots"`
	Connections   int           `json:"connections"`
	CPU           unit.Cores    `json:"cpu"`
	Memory        unit.Bytes    `json:"memory"`
	Accelerators  int           `json:"accelerators"`
	SyncInterval  unit.Duration `json:"sync_interval"`
}

// Sample settings switch on the stand-in target.
type Sample struct {
	Address string   `json:"address"`
	Targets []string `json:"targets"`
}

// Log settings.
type Log struct {
	Format string `json:"format"`
	Level  string `json:"level"`
}

// Platform settings have the roles serve the users' platform in place of the
// product's own interfaces.
type Platform struct {
	Frontend     string `json:"frontend,omitempty"`      // callers, at an entry
	Readiness    string `json:"readiness,omitempty"`     // the balancer's probes, at an entry
	ControlPlane string `json:"control_plane,omitempty"` // the operator at a controller, the worker at an agent
	Worker       string `json:"worker,omitempty"`        // the worker of an agent
	Advice       string `json:"advice,omitempty"`        // the service that approves workers, for a controller
}

// Settings is the whole file. A role's part is nil if it is left out.
type Settings struct {
	Name        string      `json:"name"`
	Region      string      `json:"region"`
	Zone        string      `json:"zone"`
	Rack        string      `json:"rack"`
	Roles       []string    `json:"roles"`
	Controllers []string    `json:"controllers,omitempty"`
	Controller  *Controller `json:"controller,omitempty"`
	Entry       *Entry      `json:"entry,omitempty"`
	Agent       *Agent      `json:"agent,omitempty"`
	Sample      *Sample     `json:"sample,omitempty"`
	Platform    *Platform   `json:"platform,omitempty"`
	Port        int         `json:"controllers_port,omitempty"`

	MetricsAddress string        `json:"metrics_address,omitempty"`
	Log            Log           `json:"log"`
	DrainTimeout   unit.Duration `json:"drain_timeout"`
	MemoryLimit    unit.Bytes    `json:"memory_limit"`
}

// Default values of what a file leaves out.
const (
	_electionTimeout = unit.Duration(500 * time.Millisecond)
	_heartbeat       = unit.Duration(50 * time.Millisecond)
	_lease           = unit.Duration(10 * time.Second)
	_snapshotEntries = 20_000
	_runLease        = unit.Duration(4 * time.Second)
	_retries         = 2
	_retryRatio      = 0.1
	_watchHeartbeat  = unit.Duration(5 * time.Second)
	_burnInterval    = unit.Duration(2 * time.Second)
	_syncInterval    = unit.Duration(time.Second)
	_drainTimeout    = unit.Duration(24 * time.Hour)
	_agentMemory     = unit.Bytes(14 << 20) // besides the program's own pages
	_memoryLimit     = unit.Bytes(512 << 20)
)

// Load reads and checks a settings file. The error lists every fault with its
// path in the file.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fault.Wrap(fault.BadSettings, err, "read the settings")
	}
	s, err := Parse(file, data)
	if err != nil {
		return Settings{}, err
	}
	if s.Controller != nil && !filepath.IsAbs(s.Controller.DataFolder) {
		s.Controller.DataFolder = filepath.Join(filepath.Dir(file), s.Controller.DataFolder)
	}
	return s, nil
}

// Parse reads and checks settings.
func Parse(file string, data []byte) (Settings, error) {
	var s Settings
	if err := declaration.Strict(data, &s); err != nil {
		return Settings{}, fault.New(fault.BadSettings, "%s: %s", file, err)
	}
	s.setDefaults()
	var c checker
	c.check(&s)
	if len(c.faults) > 0 {
		return Settings{}, fault.New(fault.BadSettings, "%s: %s", file, strings.Join(c.faults, "; "))
	}
	return s, nil
}

// Holds reports whether the process has the role.
func (s *Settings) Holds(role string) bool { return slices.Contains(s.Roles, role) }

// Level returns the log level.
func (s *Settings) Level() logrus.Level {
	l, err := logrus.ParseLevel(s.Log.Level)
	if err != nil {
		return logrus.InfoLevel
	}
	return l
}

func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}

// withPort returns the address with the port in place of its own.
func withPort(address string, port int) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil || port == 0 {
		return address
	}
	return net.JoinHostPort(host, strconv.Itoa(port))
}

// setPorts replaces the ports of addresses that name the controllers by
// another of their interfaces.
func (s *Settings) setPorts() {
	for i, a := range s.Controllers {
		s.Controllers[i] = withPort(a, s.Port)
	}
	if s.Controller != nil {
		for i, a := range s.Controller.Seeds {
			s.Controller.Seeds[i] = withPort(a, s.Port)
		}
	}
}

func (s *Settings) setDefaults() {
	s.setPorts()
	if c := s.Controller; c != nil && c.Losses != nil && c.Replicas == 0 {
		c.Replicas = 2**c.Losses + 1
	}
	setDefault(&s.Log.Format, "text")
	setDefault(&s.Log.Level, "info")
	setDefault(&s.DrainTimeout, _drainTimeout)
	if s.Agent != nil && s.Controller == nil && s.Entry == nil {
		setDefault(&s.MemoryLimit, _agentMemory)
	}
	setDefault(&s.MemoryLimit, _memoryLimit)
	if c := s.Controller; c != nil {
		setDefault(&c.ElectionTimeout, _electionTimeout)
		setDefault(&c.Heartbeat, _heartbeat)
		setDefault(&c.Lease, _lease)
		setDefault(&c.SnapshotEntries, _snapshotEntries)
		setDefault(&c.RunLease, _runLease)
		if len(c.Members) == 0 && c.Replicas == 0 {
			c.Members = map[string]string{c.ID: c.Address}
		}
	}
	if e := s.Entry; e != nil {
		setDefault(&e.Retries, _retries)
		setDefault(&e.RetryRatio, _retryRatio)
		setDefault(&e.WatchHeartbeat, _watchHeartbeat)
		setDefault(&e.BurnInterval, _burnInterval)
	}
	if a := s.Agent; a != nil {
		setDefault(&a.SyncInterval, _syncInterval)
		if s.Sample != nil {
			setDefault(&a.TargetAddress, s.Sample.Address)
			if len(a.Targets) == 0 {
				a.Targets = s.Sample.Targets
			}
		}
	}
	if len(s.Controllers) == 0 && s.Controller != nil {
		s.Controllers = slices.Clone(s.Controller.Seeds)
		for _, address := range s.Controller.Members {
			s.Controllers = append(s.Controllers, address)
		}
		slices.Sort(s.Controllers)
	}
}

type checker struct{ faults []string }

func (c *checker) add(path, format string, args ...any) {
	c.faults = append(c.faults, path+": "+fmt.Sprintf(format, args...))
}

func (c *checker) text(path, value string) {
	if value == "" {
		c.add(path, "missing")
	}
}

// address checks for an IP number and a port, as the platform gives them.
func (c *checker) address(path, value string) {
	if _, err := netip.ParseAddrPort(value); err == nil {
		return
	}
	if host, _, err := net.SplitHostPort(value); err == nil && host != "" {
		c.add(path, "found %q, allowed is an IP number and a port, not a name", value)
		return
	}
	c.add(path, "found %q, allowed is an IP number and a port such as \"127.0.0.1:8600\"", value)
}

func (c *checker) positive(path string, value int64) {
	if value <= 0 {
		c.add(path, "found %d, allowed is a number above 0", value)
	}
}

func (c *checker) span(path string, value unit.Duration) {
	if value <= 0 {
		c.add(path, "found %s, allowed is a duration above 0", time.Duration(value))
	}
}

func (c *checker) check(s *Settings) {
	c.text("name", s.Name)
	c.text("zone", s.Zone)
	if len(s.Roles) == 0 && s.Sample == nil {
		c.add("roles", "missing, allowed are entry, controller and agent")
	}
	for i, r := range s.Roles {
		if r != RoleEntry && r != RoleController && r != RoleAgent {
			c.add(fmt.Sprintf("roles.%d", i), "found %q, allowed are entry, controller and agent", r)
		}
	}
	if s.Log.Format != "json" && s.Log.Format != "text" {
		c.add("log.format", "found %q, allowed are json and text", s.Log.Format)
	}
	if _, err := logrus.ParseLevel(s.Log.Level); err != nil {
		c.add("log.level", "found %q, allowed are debug, info, warning and error", s.Log.Level)
	}
	c.span("drain_timeout", s.DrainTimeout)
	if s.MetricsAddress != "" {
		c.address("metrics_address", s.MetricsAddress)
	}
	c.role(s.Holds(RoleController), s.Controller != nil, RoleController)
	if s.Platform == nil {
		c.role(s.Holds(RoleEntry), s.Entry != nil, RoleEntry)
		c.role(s.Holds(RoleAgent), s.Agent != nil, RoleAgent)
	} else {
		c.platform(s)
	}
	c.controller(s.Controller)
	c.entry(s.Entry)
	c.agent(s.Agent)
	if s.Sample != nil {
		c.address("sample.address", s.Sample.Address)
	}
	if len(s.Controllers) == 0 && len(s.Roles) > 0 {
		c.add("controllers", "missing, allowed is a list of the controllers' addresses")
	}
	for i, a := range s.Controllers {
		c.address(fmt.Sprintf("controllers.%d", i), a)
	}
}

func (c *checker) role(held, present bool, role string) {
	if held && !present {
		c.add(role, "missing, but roles names %s", role)
	}
	if present && !held {
		c.add(role, "present, but roles does not name %s", role)
	}
}

func (c *checker) controller(s *Controller) {
	if s == nil {
		return
	}
	if s.Replicas == 0 {
		c.text("controller.id", s.ID)
	}
	c.text("controller.data_folder", s.DataFolder)
	c.address("controller.address", s.Address)
	if s.OperatorAddress != "" || s.Replicas == 0 {
		c.address("controller.operator_address", s.OperatorAddress)
	}
	c.span("controller.election_timeout", s.ElectionTimeout)
	c.span("controller.heartbeat", s.Heartbeat)
	c.span("controller.lease", s.Lease)
	c.positive("controller.snapshot_entries", int64(s.SnapshotEntries))
	if s.ElectionTimeout < 4*s.Heartbeat {
		c.add("controller.election_timeout", "found %s, allowed is at least 4 times controller.heartbeat",
			time.Duration(s.ElectionTimeout))
	}
	c.span("controller.run_lease", s.RunLease)
	if s.Replicas != 0 {
		c.joining(s)
		return
	}
	for id, address := range s.Members {
		c.address("controller.members."+id, address)
	}
	if s.Members[s.ID] != s.Address {
		c.add("controller.members", "allowed is a map that has controller.id with controller.address")
	}
}

// platform checks the addresses that the roles serve on the users' platform.
func (c *checker) platform(s *Settings) {
	if s.Holds(RoleEntry) {
		c.address("platform.frontend", s.Platform.Frontend)
		c.address("platform.readiness", s.Platform.Readiness)
	}
	if s.Holds(RoleAgent) {
		c.address("platform.worker", s.Platform.Worker)
	}
	if s.Holds(RoleAgent) || s.Holds(RoleController) {
		c.address("platform.control_plane", s.Platform.ControlPlane)
	}
	if s.Entry != nil || s.Agent != nil {
		c.add("platform", "present, but so are entry or agent, whose interfaces it replaces")
	}
}

// joining checks the settings of a controller that founds a group with the
// seeds or joins one.
func (c *checker) joining(s *Controller) {
	if s.Replicas < 1 || s.Replicas%2 == 0 {
		c.add("controller.replicas", "found %d, allowed is an odd number", s.Replicas)
	}
	if len(s.Seeds) == 0 {
		c.add("controller.seeds", "missing, allowed is a list of controllers' addresses")
	}
	for i, a := range s.Seeds {
		c.address(fmt.Sprintf("controller.seeds.%d", i), a)
	}
	if len(s.Members) > 0 {
		c.add("controller.members", "present, but controller.replicas names a group that forms by itself")
	}
}

func (c *checker) entry(s *Entry) {
	if s == nil {
		return
	}
	c.address("entry.address", s.Address)
	c.span("entry.watch_heartbeat", s.WatchHeartbeat)
	c.span("entry.burn_interval", s.BurnInterval)
	if s.Retries < 0 || s.Retries > 10 {
		c.add("entry.retries", "found %d, allowed is 0 to 10", s.Retries)
	}
	if s.RetryRatio < 0 || s.RetryRatio > 1 {
		c.add("entry.retry_ratio", "found %v, allowed is 0 to 1", s.RetryRatio)
	}
}

func (c *checker) agent(s *Agent) {
	if s == nil {
		return
	}
	c.text("agent.id", s.ID)
	c.address("agent.address", s.Address)
	c.address("agent.target_address", s.TargetAddress)
	c.positive("agent.slots", int64(s.Slots))
	c.positive("agent.connections", int64(s.Connections))
	c.positive("agent.cpu", int64(s.CPU))
	c.positive("agent.memory", int64(s.Memory))
	c.span("agent.sync_interval", s.SyncInterval)
	if len(s.Targets) == 0 {
		c.add("agent.targets", "missing, allowed is a list of target names")
	}
	if s.Accelerators < 0 {
		c.add("agent.accelerators", "found %d, allowed is 0 or more", s.Accelerators)
	}
}
