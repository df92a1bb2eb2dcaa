// Package settings reads the daemon's JSON settings and checks all of them
// before any role starts. docs/SETTINGS.md explains each key; a test checks that
// the page has all of them.
package settings

import (
	"fmt"
	"math"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gentianrail/gentianrail/evacuation"
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

// Controller holds the settings of the controller role.
type Controller struct {
	ID              string            `json:"id"`
	Address         string            `json:"address"`
	OperatorAddress string            `json:"operator_address"`
	DataFolder      string            `json:"data_folder"`
	Members         map[string]string `json:"members,omitempty"`
	ElectionTimeout unit.Duration     `json:"election_timeout"`
	Heartbeat       unit.Duration     `json:"heartbeat"`
	Lease           unit.Duration     `json:"lease"` // how long a worker may run the tasks of jobs without renewal
	SnapshotEntries int               `json:"snapshot_entries"`
	Seeds           []string          `json:"seeds,omitempty"`
	Bootstrap       bool              `json:"bootstrap,omitempty"`
	ToleratedLosses *int              `json:"tolerated_losses,omitempty"` // sets Replicas to twice this plus one
	// Voters of a group that forms from its seeds; 0 for the fixed group of Members.
	Replicas int `json:"replicas,omitempty"`
	// How long the runs of submissions may continue without renewal.
	RunLease unit.Duration `json:"run_lease"`
	// Factor by which tasks run longer away from the rack that stores their data, or on
	// several racks if they are rack-local; 0 if it is not known.
	RemotePenalty float64 `json:"remote_penalty,omitempty"`
	// Bounds of the tasks on cold workers; nil for none.
	WarmUp *WarmUp `json:"warm_up,omitempty"`
}

// WarmUp bounds the tasks on a worker that announces that it is still slow.
type WarmUp struct {
	Overage   float64 `json:"overage"`   // multiple of the share of its capacity that a linear ramp gives
	Tolerance float64 `json:"tolerance"` // tasks beyond that
}

// Entry holds the settings of the entry role.
type Entry struct {
	Address        string        `json:"address"`
	Retries        int           `json:"retries"`
	RetryRatio     float64       `json:"retry_ratio"`
	WatchHeartbeat unit.Duration `json:"watch_heartbeat"`
	BurnInterval   unit.Duration `json:"burn_interval"`
}

// Agent holds the settings of the agent role.
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

// SampleTarget holds the settings of the sample target, which stands in for a
// real one. The sample target runs if these settings are present.
type SampleTarget struct {
	Address string   `json:"address"`
	Targets []string `json:"targets"`
}

// Log holds the settings of the log.
type Log struct {
	Format string `json:"format"`
	Level  string `json:"level"`
}

// Platform holds the addresses of the interfaces between the roles and the
// platform that gentianrail is deployed on. These interfaces replace
// gentianrail's own ones.
type Platform struct {
	Frontend     string `json:"frontend,omitempty"`      // where an entry serves callers
	Readiness    string `json:"readiness,omitempty"`     // where an entry answers the load balancer's probes
	ControlPlane string `json:"control_plane,omitempty"` // where a controller serves the operator and an agent its worker
	Worker       string `json:"worker,omitempty"`        // where an agent reaches its worker
	Advice       string `json:"advice,omitempty"`        // where a controller reaches the service that approves workers
	// MaxLease is the longest lease of its runs that an agent's worker accepts.
	MaxLease unit.Duration `json:"max_lease,omitempty"`
	// MaxCallDelay is how long after it was sent a call without an answer may be
	// carried out by a worker.
	MaxCallDelay unit.Duration `json:"max_call_delay,omitempty"`
}

// Intake holds the limits on what clients can make the process hold. A value that
// the file omits is derived by IntakeLimits.
type Intake struct {
	BodyBudget      unit.Bytes    `json:"body_budget,omitzero"`
	Connections     int           `json:"connections,omitzero"`
	PeerConnections int           `json:"peer_connections,omitzero"`
	BodyTimeout     unit.Duration `json:"body_timeout,omitzero"`
	HeaderTimeout   unit.Duration `json:"header_timeout,omitzero"`
	IdleTimeout     unit.Duration `json:"idle_timeout,omitzero"`
}

// Settings holds the contents of a settings file. The settings of a role are nil
// if the file has none.
type Settings struct {
	Name            string        `json:"name"`
	Region          string        `json:"region"`
	Zone            string        `json:"zone"`
	Rack            string        `json:"rack"`
	Roles           []string      `json:"roles"`
	Controllers     []string      `json:"controllers,omitempty"`
	Zones           []string      `json:"zones,omitempty"` // availability zones of the deployment
	Controller      *Controller   `json:"controller,omitempty"`
	Entry           *Entry        `json:"entry,omitempty"`
	Agent           *Agent        `json:"agent,omitempty"`
	Sample          *SampleTarget `json:"sample,omitempty"`
	Platform        *Platform     `json:"platform,omitempty"`
	ControllersPort int           `json:"controllers_port,omitempty"`

	Intake         Intake        `json:"intake,omitzero"`
	MetricsAddress string        `json:"metrics_address,omitempty"`
	Log            Log           `json:"log"`
	DrainTimeout   unit.Duration `json:"drain_timeout"`
	MemoryLimit    unit.Bytes    `json:"memory_limit"`
}

// _maxReplicas is more than any group needs: each command goes to all of them.
const _maxReplicas = 99

// _maxRemotePenalty is a factor that no platform has; it finds percentages.
const _maxRemotePenalty = 100

// _maxOverage is far beyond the multiple from which a cold worker is not bounded.
const _maxOverage = 1000

// Defaults of settings that a file omits.
const (
	_electionTimeout  = unit.Duration(500 * time.Millisecond)
	_heartbeat        = unit.Duration(50 * time.Millisecond)
	_lease            = unit.Duration(10 * time.Second)
	_snapshotEntries  = 20_000
	_runLease         = unit.Duration(4 * time.Second)
	_maxLease         = unit.Duration(10 * time.Second)
	_maxCallDelay     = unit.Duration(12 * time.Second)
	_retries          = 2
	_retryRatio       = 0.1
	_watchHeartbeat   = unit.Duration(5 * time.Second)
	_burnInterval     = unit.Duration(2 * time.Second)
	_syncInterval     = unit.Duration(time.Second)
	_drainTimeout     = unit.Duration(24 * time.Hour)
	_agentMemoryLimit = unit.Bytes(14 << 20) // excludes the mapped pages of the executable
	_memoryLimit      = unit.Bytes(512 << 20)
)

// Bounds of the derived limits of intake.
const (
	// _minBodyBudget holds the largest body, a configuration of 8 MiB, beside the
	// quarter that is reserved for small ones.
	_minBodyBudget     = unit.Bytes(12 << 20)
	_memoryPerBudget   = 8        // memory_limit by the budget of bodies: a body may exist decoded and encoded, too
	_memoryPerConn     = 96 << 10 // memory_limit by connections; one takes about 40 KiB and its receive buffer
	_memoryPerPeerConn = 48 << 10 // memory_limit by connections of other processes; one takes about 30 KiB
	_ownDescriptors    = 256      // kept back for files and the process's own calls
	_minConnections    = 16
	_maxFewConnections = 256 // of a process that serves no callers
	_bodyTimeout       = unit.Duration(30 * time.Second)
	_controlTimeout    = unit.Duration(time.Minute)      // for the larger bodies of a controller
	_headerTimeout     = unit.Duration(5 * time.Second)  // clients send headers within 3 s
	_idleTimeout       = unit.Duration(30 * time.Second) // clients are idle for at most 15 s
)

// IntakeLimits returns the limits on what clients can make the process hold. They
// are derived from the memory limit and from the number of files that the process
// may open, unless the settings state them.
func (s *Settings) IntakeLimits(descriptors int) Intake {
	out := s.Intake
	setDefault(&out.BodyBudget, max(_minBodyBudget, s.MemoryLimit/_memoryPerBudget))
	connections := min(int(s.MemoryLimit/_memoryPerConn), (descriptors-_ownDescriptors)/2)
	if !s.HasRole(RoleEntry) {
		connections = min(connections, _maxFewConnections)
	}
	setDefault(&out.Connections, max(connections, _minConnections))
	setDefault(&out.PeerConnections, max(min(int(s.MemoryLimit/_memoryPerPeerConn), (descriptors-_ownDescriptors)/2), _minConnections))
	if s.HasRole(RoleController) {
		setDefault(&out.BodyTimeout, _controlTimeout)
	}
	setDefault(&out.BodyTimeout, _bodyTimeout)
	setDefault(&out.HeaderTimeout, _headerTimeout)
	setDefault(&out.IdleTimeout, _idleTimeout)
	return out
}

func (c *checker) checkIntake(s *Intake) {
	if s.BodyBudget != 0 && s.BodyBudget < _minBodyBudget {
		c.addProblem("intake.body_budget", "found %d bytes, allowed are at least %d", s.BodyBudget, _minBodyBudget)
	}
	if s.Connections != 0 && s.Connections < _minConnections {
		c.addProblem("intake.connections", "found %d, allowed are at least %d", s.Connections, _minConnections)
	}
	if s.PeerConnections != 0 && s.PeerConnections < _minConnections {
		c.addProblem("intake.peer_connections", "found %d, allowed are at least %d", s.PeerConnections, _minConnections)
	}
	for path, d := range map[string]unit.Duration{
		"intake.body_timeout": s.BodyTimeout, "intake.header_timeout": s.HeaderTimeout, "intake.idle_timeout": s.IdleTimeout,
	} {
		if d != 0 {
			c.checkDuration(path, d)
		}
	}
}

// Load reads and checks a settings file. The error lists every problem with its
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
	if err := declaration.UnmarshalStrict(data, &s); err != nil {
		return Settings{}, fault.New(fault.BadSettings, "%s: %s", file, err)
	}
	s.setDefaults()
	var c checker
	c.checkSettings(&s)
	if len(c.problems) > 0 {
		return Settings{}, fault.New(fault.BadSettings, "%s: %s", file, strings.Join(c.problems, "; "))
	}
	return s, nil
}

// HasRole reports whether the process has the role.
func (s *Settings) HasRole(role string) bool { return slices.Contains(s.Roles, role) }

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

// withPort replaces the port of an address. It returns the address unchanged if
// port is 0 or the address is malformed.
func withPort(address string, port int) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil || port == 0 {
		return address
	}
	return net.JoinHostPort(host, strconv.Itoa(port))
}

// overridePorts replaces the port of each controller's address with
// controllers_port. The settings may give the port of another interface.
func (s *Settings) overridePorts() {
	for i, a := range s.Controllers {
		s.Controllers[i] = withPort(a, s.ControllersPort)
	}
	if s.Controller != nil {
		for i, a := range s.Controller.Seeds {
			s.Controller.Seeds[i] = withPort(a, s.ControllersPort)
		}
	}
}

func (s *Settings) setDefaults() {
	s.overridePorts()
	if c := s.Controller; c != nil && c.ToleratedLosses != nil && c.Replicas == 0 {
		c.Replicas = 2**c.ToleratedLosses + 1
	}
	setDefault(&s.Log.Format, "text")
	setDefault(&s.Log.Level, "info")
	setDefault(&s.DrainTimeout, _drainTimeout)
	if s.Agent != nil && s.Controller == nil && s.Entry == nil {
		setDefault(&s.MemoryLimit, _agentMemoryLimit)
	}
	setDefault(&s.MemoryLimit, _memoryLimit)
	if s.Platform != nil {
		setDefault(&s.Platform.MaxLease, _maxLease)
		setDefault(&s.Platform.MaxCallDelay, _maxCallDelay)
	}
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

type checker struct{ problems []string }

func (c *checker) addProblem(path, format string, args ...any) {
	c.problems = append(c.problems, path+": "+fmt.Sprintf(format, args...))
}

func (c *checker) checkNotEmpty(path, value string) {
	if value == "" {
		c.addProblem(path, "missing")
	}
}

// checkAddress checks that value is an IP address and a port, as the platform
// assigns them.
func (c *checker) checkAddress(path, value string) {
	if _, err := netip.ParseAddrPort(value); err == nil {
		return
	}
	if host, _, err := net.SplitHostPort(value); err == nil && host != "" {
		c.addProblem(path, "found %q, allowed is an IP address and a port, not a name", value)
		return
	}
	c.addProblem(path, "found %q, allowed is an IP address and a port such as \"127.0.0.1:8600\"", value)
}

// checkDialAddress checks the address of another process.
func (c *checker) checkDialAddress(path, value string) {
	if a, err := netip.ParseAddrPort(value); err == nil && a.Port() == 0 {
		c.addProblem(path, "found %q, allowed is a port from 1 to 65535", value)
		return
	}
	c.checkAddress(path, value)
}

// checkCount checks a number that the messages between the processes hold.
func (c *checker) checkCount(path string, value int) {
	c.checkPositive(path, int64(value))
	if value > math.MaxInt32 {
		c.addProblem(path, "found %d, allowed is a number up to %d", value, math.MaxInt32)
	}
}

func (c *checker) checkPositive(path string, value int64) {
	if value <= 0 {
		c.addProblem(path, "found %d, allowed is a number above 0", value)
	}
}

func (c *checker) checkDuration(path string, value unit.Duration) {
	if value <= 0 {
		c.addProblem(path, "found %s, allowed is a duration above 0", time.Duration(value))
	}
}

func (c *checker) checkSettings(s *Settings) {
	c.checkNotEmpty("name", s.Name)
	c.checkNotEmpty("zone", s.Zone)
	if len(s.Roles) == 0 && s.Sample == nil {
		c.addProblem("roles", "missing, allowed are entry, controller and agent")
	}
	for i, r := range s.Roles {
		if r != RoleEntry && r != RoleController && r != RoleAgent {
			c.addProblem(fmt.Sprintf("roles.%d", i), "found %q, allowed are entry, controller and agent", r)
		}
	}
	if s.Log.Format != "json" && s.Log.Format != "text" {
		c.addProblem("log.format", "found %q, allowed are json and text", s.Log.Format)
	}
	if _, err := logrus.ParseLevel(s.Log.Level); err != nil {
		c.addProblem("log.level", "found %q, allowed are debug, info, warning and error", s.Log.Level)
	}
	c.checkDuration("drain_timeout", s.DrainTimeout)
	c.checkIntake(&s.Intake)
	if s.MetricsAddress != "" {
		c.checkAddress("metrics_address", s.MetricsAddress)
	}
	c.checkRole(s.HasRole(RoleController), s.Controller != nil, RoleController)
	if s.Platform == nil {
		c.checkRole(s.HasRole(RoleEntry), s.Entry != nil, RoleEntry)
		c.checkRole(s.HasRole(RoleAgent), s.Agent != nil, RoleAgent)
	} else {
		c.checkPlatform(s)
	}
	c.checkController(s.Controller)
	c.checkEntry(s.Entry)
	c.checkAgent(s.Agent)
	if s.Sample != nil {
		c.checkAddress("sample.address", s.Sample.Address)
	}
	if len(s.Controllers) == 0 && len(s.Roles) > 0 {
		c.addProblem("controllers", "missing, allowed is a list of the controllers' addresses")
	}
	for i, a := range s.Controllers {
		c.checkDialAddress(fmt.Sprintf("controllers.%d", i), a)
	}
	for i, zone := range s.Zones {
		if err := evacuation.CheckName(zone); err != nil || slices.Contains(s.Zones[:i], zone) {
			c.addProblem(fmt.Sprintf("zones.%d", i), "found %.300q, allowed are different names without slashes and control characters", zone)
		}
	}
}

func (c *checker) checkRole(hasRole, present bool, role string) {
	if hasRole && !present {
		c.addProblem(role, "missing, but roles names %s", role)
	}
	if present && !hasRole {
		c.addProblem(role, "present, but roles does not name %s", role)
	}
}

func (c *checker) checkController(s *Controller) {
	if s == nil {
		return
	}
	if s.Replicas == 0 {
		c.checkNotEmpty("controller.id", s.ID)
	}
	c.checkNotEmpty("controller.data_folder", s.DataFolder)
	c.checkAddress("controller.address", s.Address)
	if s.OperatorAddress != "" || s.Replicas == 0 {
		c.checkAddress("controller.operator_address", s.OperatorAddress)
	}
	c.checkDuration("controller.election_timeout", s.ElectionTimeout)
	c.checkDuration("controller.heartbeat", s.Heartbeat)
	c.checkDuration("controller.lease", s.Lease)
	c.checkPositive("controller.snapshot_entries", int64(s.SnapshotEntries))
	if s.ElectionTimeout < 4*s.Heartbeat {
		c.addProblem("controller.election_timeout", "found %s, allowed is at least 4 times controller.heartbeat",
			time.Duration(s.ElectionTimeout))
	}
	c.checkDuration("controller.run_lease", s.RunLease)
	if p := s.RemotePenalty; p != 0 && (p < 1 || p > _maxRemotePenalty) {
		c.addProblem("controller.remote_penalty", "found %v, allowed is a factor from 1 to %d, or 0 for none", p, _maxRemotePenalty)
	}
	if w := s.WarmUp; w != nil {
		if !(w.Overage > 0 && w.Overage <= _maxOverage) {
			c.addProblem("controller.warm_up.overage", "found %v, allowed is a number above 0 and up to %d", w.Overage, _maxOverage)
		}
		if !(w.Tolerance >= 0 && w.Tolerance <= math.MaxInt32) {
			c.addProblem("controller.warm_up.tolerance", "found %v, allowed is 0 to %d", w.Tolerance, math.MaxInt32)
		}
	}
	if s.Replicas != 0 {
		c.checkGroupSettings(s)
		return
	}
	for id, address := range s.Members {
		c.checkAddress("controller.members."+id, address)
	}
	if s.Members[s.ID] != s.Address {
		c.addProblem("controller.members", "allowed is a map that gives controller.id the address controller.address")
	}
}

// checkPlatform checks the addresses of the platform's interfaces that the roles
// need.
func (c *checker) checkPlatform(s *Settings) {
	if s.HasRole(RoleEntry) {
		c.checkAddress("platform.frontend", s.Platform.Frontend)
		c.checkAddress("platform.readiness", s.Platform.Readiness)
	}
	if s.HasRole(RoleAgent) {
		if strings.Contains(s.Name, "/") { // names of incarnations begin with the machine's name and a slash
			c.addProblem("name", "found %q, allowed for an agent is a name without slashes", s.Name)
		}
		c.checkDialAddress("platform.worker", s.Platform.Worker)
	}
	if s.HasRole(RoleAgent) || s.HasRole(RoleController) {
		c.checkDuration("platform.max_lease", s.Platform.MaxLease)
		c.checkDuration("platform.max_call_delay", s.Platform.MaxCallDelay)
		c.checkAddress("platform.control_plane", s.Platform.ControlPlane)
	}
	if s.Entry != nil || s.Agent != nil {
		c.addProblem("platform", "present, allowed only without entry and agent, whose interfaces it replaces")
	}
}

// checkGroupSettings checks the settings of a controller that forms a group with
// its seeds or joins an existing one.
func (c *checker) checkGroupSettings(s *Controller) {
	if s.Replicas < 1 || s.Replicas > _maxReplicas || s.Replicas%2 == 0 {
		c.addProblem("controller.replicas", "found %d, allowed is an odd number from 1 to %d", s.Replicas, _maxReplicas)
	}
	if len(s.Seeds) == 0 {
		c.addProblem("controller.seeds", "missing, allowed is a list of controllers' addresses")
	}
	for i, a := range s.Seeds {
		c.checkDialAddress(fmt.Sprintf("controller.seeds.%d", i), a)
	}
	if len(s.Members) > 0 {
		c.addProblem("controller.members", "present, allowed only without controller.replicas, which makes the group form from its seeds")
	}
}

func (c *checker) checkEntry(s *Entry) {
	if s == nil {
		return
	}
	c.checkAddress("entry.address", s.Address)
	c.checkDuration("entry.watch_heartbeat", s.WatchHeartbeat)
	c.checkDuration("entry.burn_interval", s.BurnInterval)
	if s.Retries < 0 || s.Retries > 10 {
		c.addProblem("entry.retries", "found %d, allowed is 0 to 10", s.Retries)
	}
	if s.RetryRatio < 0 || s.RetryRatio > 1 {
		c.addProblem("entry.retry_ratio", "found %v, allowed is 0 to 1", s.RetryRatio)
	}
}

func (c *checker) checkAgent(s *Agent) {
	if s == nil {
		return
	}
	c.checkNotEmpty("agent.id", s.ID)
	c.checkDialAddress("agent.address", s.Address)
	c.checkDialAddress("agent.target_address", s.TargetAddress)
	c.checkCount("agent.slots", s.Slots)
	c.checkCount("agent.connections", s.Connections)
	c.checkPositive("agent.cpu", int64(s.CPU))
	c.checkPositive("agent.memory", int64(s.Memory))
	c.checkDuration("agent.sync_interval", s.SyncInterval)
	if len(s.Targets) == 0 {
		c.addProblem("agent.targets", "missing, allowed is a list of target names")
	}
	if s.Accelerators < 0 || s.Accelerators > math.MaxInt32 {
		c.addProblem("agent.accelerators", "found %d, allowed is 0 to %d", s.Accelerators, math.MaxInt32)
	}
}
