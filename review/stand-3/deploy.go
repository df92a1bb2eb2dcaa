package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
)

// Ports, the same on all machines. Each machine has a loopback address of its own.
const (
	_internalPort = 7720
	_metricsPort  = 7721
	_controlPort  = 8166
	_callerPort   = 8161
	_readyPort    = 8167
	_appPort      = 8165
	_advicePort   = 8169
)

// machine is one machine of the deployment with its process.
type machine struct {
	name   string
	class  string // edge, core or side
	zone   string
	ip     string
	folder string

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	stopped bool // by the scenario; an end is expected
}

// deployment is a set of machines, as in a small site of the platform's pages.
type deployment struct {
	rec      *record
	root     string // of the repository
	folder   string // temporary
	network  string // first two parts of the loopback addresses
	machines []*machine
	zones    []string
}

// newDeployment lays out the machines and checks that their ports are free.
func newDeployment(rec *record, root string, edges, sides, cores int) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		rec: rec, root: root, folder: folder, zones: []string{"enugu-a", "enugu-b", "enugu-c"},
	}
	for n := 0; n < 100; n++ {
		d.network = fmt.Sprintf("127.%d", 20+(os.Getpid()+n)%200)
		d.machines = nil
		d.add("edge", edges)
		d.add("side", sides)
		d.add("core", cores)
		if d.portsAreFree() {
			return d, nil
		}
	}
	return nil, errors.New("no free ports")
}

func (d *deployment) add(class string, count int) {
	for i := range count {
		zone := d.zones[i%len(d.zones)]
		name := fmt.Sprintf("%s-%s-%d", class, zone, i/len(d.zones)+1)
		d.machines = append(d.machines, &machine{
			name: name, class: class, zone: zone, ip: fmt.Sprintf("%s.1.%d", d.network, len(d.machines)+1), folder: filepath.Join(d.folder, name),
		})
	}
}

func (d *deployment) portsAreFree() bool {
	for _, m := range d.machines {
		for _, port := range []int{_internalPort, _metricsPort, _controlPort, _callerPort, _readyPort, _appPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", m.ip, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// of returns the machines of a class.
func (d *deployment) of(class string) []*machine {
	var out []*machine
	for _, m := range d.machines {
		if m.class == class {
			out = append(out, m)
		}
	}
	return out
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// values returns what the platform fills into the templates, as for the site owl-rota.
func (d *deployment) values(m *machine, bootstrap bool) map[string]any {
	var seeds []any
	for _, c := range d.of("core")[:3] {
		seeds = append(seeds, c.address(_controlPort))
	}
	zones := make(map[string]any)
	for _, z := range d.zones {
		zones[z] = "enugu"
	}
	return map[string]any{
		"node-name": m.name, "region": "enugu", "zone": m.zone, "zones": zones, "ip": m.ip, "seed-nodes": seeds,
		"internal-port-range": []any{_internalPort, _internalPort + 15}, "bootstrap": bootstrap, "data-dir": filepath.Join(m.folder, "data"),
		"bind-addresses": map[string]any{
			"control-plane": m.address(_controlPort), "frontend": m.address(_callerPort), "readiness": m.address(_readyPort),
		},
		"app": m.address(_appPort), "recommendation": fmt.Sprintf("%s.2.1:%d", d.network, _advicePort),
		"fault-tolerance": map[string]any{"machines": 2, "zones": 0, "regions": 0},
		"bounds":          map[string]any{"max-hold-ms": _maxHold.Milliseconds(), "remote-penalty": 1.5},
	}
}

// _roles are the roles of the deploy file, by class of machine.
var _roles = map[string]string{"edge": "entry", "side": "agent", "core": "controller"}

// start starts the process of a machine with the command of the deploy file.
func (d *deployment) start(m *machine, bootstrap bool) error {
	if err := os.MkdirAll(filepath.Join(m.folder, "data"), 0o755); err != nil {
		return err
	}
	template, err := os.ReadFile(filepath.Join(d.root, "deploy", _roles[m.class]+".tmpl"))
	if err != nil {
		return err
	}
	settings := filepath.Join(m.folder, "settings.conf")
	values := d.values(m, bootstrap)
	if err := os.WriteFile(settings, []byte(render(string(template), scope{root: values, item: values})), 0o644); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(m.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer output.Close()
	cmd := exec.Command(filepath.Join(d.root, "target", "gentianraild"), "--config", settings)
	cmd.Dir, cmd.Stdout, cmd.Stderr = d.root, output, output
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.folder}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.exited, m.stopped = cmd, exited, false
	m.mu.Unlock()
	go func() {
		err := cmd.Wait()
		m.mu.Lock()
		expected := m.stopped
		m.mu.Unlock()
		if !expected {
			d.rec.printf("PROCESS of %s has ended by itself: %v", m.name, err)
		}
		close(exited)
	}()
	return nil
}

// startAll starts all machines.
func (d *deployment) startAll() error {
	for _, m := range d.machines {
		if err := d.start(m, true); err != nil {
			return err
		}
	}
	return nil
}

// kill kills a machine's process.
func (d *deployment) kill(m *machine) {
	m.mu.Lock()
	m.stopped = true
	d.rec.printf("the process of %s is killed", m.name)
	_ = m.cmd.Process.Kill()
	exited := m.exited
	m.mu.Unlock()
	<-exited
}

// leader returns the controller that logged last that it leads, or nil.
func (d *deployment) leader() *machine {
	var leader *machine
	latest := ""
	for _, m := range d.of("core") {
		data, err := os.ReadFile(filepath.Join(m.folder, "log"))
		if err != nil {
			continue
		}
		for _, line := range strings.Split(string(data), "\n") {
			if !strings.Contains(line, `"event_name":"role_changed"`) || !strings.Contains(line, `"to":"leader"`) {
				continue
			}
			if at := field(line, "time"); at > latest {
				leader, latest = m, at
			}
		}
	}
	return leader
}

// field returns a text field of a log line.
func field(line, name string) string {
	_, rest, ok := strings.Cut(line, `"`+name+`":"`)
	if !ok {
		return ""
	}
	value, _, _ := strings.Cut(rest, `"`)
	return value
}

// stopAll ends all processes and removes the temporary folder.
func (d *deployment) stopAll() {
	for _, m := range d.machines {
		m.mu.Lock()
		m.stopped = true
		if m.cmd != nil {
			_ = m.cmd.Process.Kill()
		}
		exited := m.exited
		m.mu.Unlock()
		if exited != nil {
			<-exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		fmt.Println("kept", d.folder)
	}
}
