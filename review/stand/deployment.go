package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gentianrail/gentianrail/internal/clock"
)

// Ports of a machine, the same on all machines. Each machine has a loopback address of
// its own.
const (
	_frontendPort     = 8161
	_controlPlanePort = 8166
	_readinessPort    = 8167
	_workerPort       = 8080
	_firstPort        = 7720 // of the internal port range
	_lastPort         = 7735
)

const (
	_daemon       = "target/gentianraild" // as in the deploy file
	_maxHoldMS    = 6000
	_startTimeout = 20 * time.Second
	_seeds        = 3
	_edges        = 2

	_rackSize    = 3
	_workerCPU   = 64_000          // thousandths of a core
	_workerMemMB = 256_000         // as on the users' smallest sheet
	_settleTime  = 3 * time.Second // for the agents to take up their workers
)

// machine is one machine with one process of the system.
type machine struct {
	name     string
	role     string
	address  string
	folder   string // settings, log and data
	started  bool
	cmd      *exec.Cmd
	done     chan struct{} // closed when the process has ended
	expected bool          // the test has ended the process
}

func (m *machine) at(port int) string { return net.JoinHostPort(m.address, strconv.Itoa(port)) }

// deployment is a small deployment on loopback addresses: core, edge and side machines.
type deployment struct {
	rec    *record
	folder string
	prefix string // of all addresses
	core   []*machine
	edge   []*machine
	side   []*machine
}

// _running is the deployment of the case that is played, which a signal to stop ends.
var _running atomic.Pointer[deployment]

// newDeployment renders the settings of the machines. It starts nothing.
func newDeployment(rec *record, cores, sides int) (*deployment, error) {
	folder, err := os.MkdirTemp("", "stand")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, folder: folder}
	if d.prefix, err = freePrefix(); err != nil {
		return nil, err
	}
	n := 0
	add := func(role string, count int) (out []*machine) {
		for i := range count {
			n++
			m := &machine{name: fmt.Sprintf("%s-%d", role, i+1), role: role, address: fmt.Sprintf("%s.%d", d.prefix, n)}
			m.folder = filepath.Join(folder, m.name)
			out = append(out, m)
		}
		return out
	}
	d.core, d.edge, d.side = add("controller", cores), add("entry", _edges), add("agent", sides)
	_running.Store(d)
	return d, nil
}

// freePrefix returns the first three numbers of loopback addresses that nobody uses.
func freePrefix() (string, error) {
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250))
		free := true
		for _, port := range []int{_frontendPort, _controlPlanePort, _readinessPort, _workerPort, _firstPort, _firstPort + 1} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", prefix, port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return prefix, nil
		}
	}
	return "", errors.New("no free ports")
}

func (d *deployment) machines() []*machine {
	return append(append(append([]*machine(nil), d.core...), d.edge...), d.side...)
}

var _seedSection = regexp.MustCompile(`\{\{#seed-nodes\}\}.*\{\{/seed-nodes\}\}`)

// writeSettings fills in the template of the machine's role, as the platform does at
// each start.
func (d *deployment) writeSettings(m *machine) error {
	template, err := os.ReadFile(filepath.Join("deploy", m.role+".tmpl"))
	if err != nil {
		return err
	}
	var seeds []string
	for _, c := range d.core[:min(_seeds, len(d.core))] {
		seeds = append(seeds, strconv.Quote(c.at(_controlPlanePort)))
	}
	text := _seedSection.ReplaceAllString(string(template), strings.Join(seeds, ","))
	for name, value := range map[string]string{
		"node-name": m.name, "region": "lv-central", "zone": "lv-central-a", "ip": m.address,
		"internal-port-range.0": strconv.Itoa(_firstPort), "internal-port-range.1": strconv.Itoa(_firstPort + 1),
		"bind-addresses.frontend": m.at(_frontendPort), "bind-addresses.readiness": m.at(_readinessPort),
		"bind-addresses.control-plane": m.at(_controlPlanePort), "app": m.at(_workerPort),
		"bounds.max-hold-ms": strconv.Itoa(_maxHoldMS), "data-dir": filepath.Join(m.folder, "data"),
		"bootstrap": strconv.FormatBool(!m.started), "fault-tolerance.machines": strconv.Itoa((len(d.core) - 1) / 2),
		"recommendation": fmt.Sprintf("%s.250:8169", d.prefix),
	} {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	if strings.Contains(text, "{{") {
		return fmt.Errorf("%s: unknown placeholder in the template", m.role)
	}
	return os.WriteFile(filepath.Join(m.folder, "settings.conf"), []byte(text), 0o600)
}

// start starts a machine's process with the command of the deploy file. Only the path
// of the settings file differs.
func (d *deployment) start(m *machine) error {
	if err := os.MkdirAll(filepath.Join(m.folder, "data"), 0o700); err != nil {
		return err
	}
	if err := d.writeSettings(m); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(_daemon, "--config", filepath.Join(m.folder, "settings.conf"))
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	m.cmd, m.done, m.expected, m.started = cmd, make(chan struct{}), false, true
	d.rec.add("%s: process started", m.name)
	go func(done chan struct{}) {
		_ = cmd.Wait()
		if !m.expected {
			d.rec.add("%s: process ended by itself: %s", m.name, cmd.ProcessState)
		}
		close(done)
	}(m.done)
	return nil
}

// startAll starts all machines and waits until an entry is ready.
func (d *deployment) startAll() error {
	for _, m := range d.machines() {
		if err := d.start(m); err != nil {
			return err
		}
	}
	for end := clock.Now().Add(_startTimeout); clock.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, m := range d.edge {
			resp, err := http.Get("http://" + m.at(_readinessPort) + "/gentianrail/readyz")
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(d.edge) {
			return nil
		}
	}
	return errors.New("the entries did not become ready")
}

func (d *deployment) signal(m *machine, s syscall.Signal) {
	d.rec.add("%s: %s", m.name, s)
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		m.expected = true
	}
	_ = m.cmd.Process.Signal(s)
}

// kill kills the processes of machines at the same moment.
func (d *deployment) kill(machines ...*machine) {
	for _, m := range machines {
		d.signal(m, syscall.SIGKILL)
	}
	for _, m := range machines {
		<-m.done
	}
}

// _coreDownTime is how long the core is down: its processes are back within a second.
const _coreDownTime = 800 * time.Millisecond

// restartCore kills all processes of the core at the same moment and starts them again
// with their disks.
func (d *deployment) restartCore() error {
	d.kill(d.core...)
	time.Sleep(_coreDownTime)
	for _, m := range d.core {
		if err := d.start(m); err != nil {
			return err
		}
	}
	return nil
}

// startDeployment starts a deployment with a worker on each side machine, and sends the
// configuration. The first worker is of the kind with the given label if there is one.
func startDeployment(rec *record, cores, sides int, firstKind string) (*deployment, []*worker, error) {
	d, err := newDeployment(rec, cores, sides)
	if err != nil {
		return nil, nil, err
	}
	workers, err := d.startWithWorkers(firstKind)
	if err != nil {
		d.stopAll()
		return nil, nil, err
	}
	return d, workers, nil
}

func (d *deployment) startWithWorkers(firstKind string) ([]*worker, error) {
	if err := d.startAll(); err != nil {
		return nil, err
	}
	var workers []*worker
	for i, m := range d.side {
		kind := "a"
		if i == 0 && firstKind != "" {
			kind = firstKind
		}
		w := newWorker(d.rec, m, []string{kind, fmt.Sprintf("r1-%d", i/_rackSize)}, _workerCPU, _workerMemMB)
		if err := w.start(); err != nil {
			return nil, err
		}
		workers = append(workers, w)
	}
	if err := d.applyConfig(_config); err != nil {
		return nil, err
	}
	time.Sleep(_settleTime)
	return workers, nil
}

// stopAll ends all processes and removes the folder.
func (d *deployment) stopAll() {
	for _, m := range d.machines() {
		if m.cmd == nil {
			continue
		}
		m.expected = true
		_ = m.cmd.Process.Signal(syscall.SIGCONT)
		_ = m.cmd.Process.Kill()
		<-m.done
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(d.folder)
		return
	}
	fmt.Println("logs:", d.folder)
}
