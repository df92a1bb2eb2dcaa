package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/gentianrail/gentianrail/internal/clock"
)

// Classes of machines.
const (
	classEdge = "edge"
	classSide = "side"
	classCore = "core"
)

// Ports, counted from the deployment's first one. They are the same on all machines.
const (
	portFrontend = iota
	portReadiness
	portControlPlane
	portWorker
	portAdvice
	portInternal
	_portCount = portInternal + 2
)

const (
	_seeds      = 3 // machines that the settings name
	_successors = 2 // core machines that may be added
)

// machine is one machine of the deployment: a loopback address with one process.
type machine struct {
	name, class, ip, zone string
	port                  int // the deployment's first port
	settings              string
	command               []string
	root, log             string
	cmd                   *exec.Cmd
	done                  chan struct{}
}

func (m *machine) address(port int) string { return net.JoinHostPort(m.ip, strconv.Itoa(m.port+port)) }

// deployment is a small installation.
type deployment struct {
	r                   *record
	folder              string
	port                int
	prefix              string // of the machines' addresses
	core, edges, sides  []*machine
	seeds               []*machine // that settings name
	successors          []*machine // core machines that are not started with the others
	configVersion       int
	operatorHTTP        *http.Client
	bounds              map[string]string
	nextIP              int
	commands, templates map[string]string
}

// running holds the processes that this program has started.
var running struct {
	sync.Mutex
	all []*machine
}

// endAll ends all processes that this program has started.
func endAll() {
	running.Lock()
	all := running.all
	running.all = nil
	running.Unlock()
	for _, m := range all {
		m.signal(syscall.SIGKILL)
		m.signal(syscall.SIGCONT)
		select {
		case <-m.done:
		case <-time.After(2 * time.Second):
		}
	}
}

// newDeployment lays out an installation with the given numbers of machines, and starts
// nothing.
func newDeployment(r *record, core, edge, side int) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		r: r, folder: folder, prefix: fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250)),
		operatorHTTP: &http.Client{Timeout: time.Second}, bounds: map[string]string{"max-hold-ms": "6000"},
	}
	if d.commands, d.templates, err = readDeployFile("deploy/system.toml"); err != nil {
		return nil, err
	}
	if err := d.choosePorts(core + edge + side + _successors + 1); err != nil {
		return nil, err
	}
	for _, c := range []struct {
		class string
		n     int
		list  *[]*machine
	}{{classCore, core, &d.core}, {classEdge, edge, &d.edges}, {classSide, side, &d.sides}} {
		for i := range c.n {
			zone := string(rune('a' + i%3))
			m := &machine{name: fmt.Sprintf("%s-%s-%02d", c.class, zone, i+1), class: c.class, ip: d.newIP(), zone: "zone-" + zone, port: d.port}
			*c.list = append(*c.list, m)
		}
	}
	for i := range _successors {
		d.successors = append(d.successors, &machine{name: fmt.Sprintf("core-a-%02d", core+i+1), class: classCore, ip: d.newIP(), zone: "zone-a", port: d.port})
	}
	d.seeds = d.core[:min(_seeds, len(d.core))]
	return d, nil
}

func (d *deployment) newIP() string {
	d.nextIP++
	return d.prefix + strconv.Itoa(d.nextIP)
}

// choosePorts searches ports that are free on all addresses.
func (d *deployment) choosePorts(machines int) error {
	for range 100 {
		d.port = 21000 + rand.IntN(9000)
		if d.portsAreFree(machines) {
			return nil
		}
	}
	return errors.New("no free ports")
}

func (d *deployment) portsAreFree(machines int) bool {
	for i := 1; i <= machines; i++ {
		for p := range _portCount {
			l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", d.prefix, i, d.port+p))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

// readDeployFile returns the command and the template of each class of machines.
func readDeployFile(file string) (commands, templates map[string]string, err error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, err
	}
	commands, templates = make(map[string]string), make(map[string]string)
	for _, section := range strings.Split(string(data), "[roles.")[1:] {
		values := make(map[string]string)
		for _, m := range regexp.MustCompile(`(?m)^(\w+) = "(.*)"$`).FindAllStringSubmatch(section, -1) {
			values[m[1]] = m[2]
		}
		commands[values["on"]], templates[values["on"]] = values["run"], values["template"]
	}
	return commands, templates, nil
}

// fields returns the fields of a machine's settings as the platform names them.
func (d *deployment) fields(m *machine, bootstrap bool) map[string]string {
	f := map[string]string{
		"node-name": m.name, "zone": m.zone, "region": "region", "ip": m.ip,
		"internal-port-range.0": strconv.Itoa(m.port + portInternal), "internal-port-range.1": strconv.Itoa(m.port + portInternal + 1),
		"bind-addresses.frontend": m.address(portFrontend), "bind-addresses.readiness": m.address(portReadiness),
		"bind-addresses.control-plane": m.address(portControlPlane), "app": m.address(portWorker),
		"data-dir": filepath.Join(d.folder, m.name, "data"), "bootstrap": strconv.FormatBool(bootstrap),
		"fault-tolerance.machines": strconv.Itoa((len(d.core) - 1) / 2), "recommendation": net.JoinHostPort(d.adviceIP(), strconv.Itoa(d.port+portAdvice)),
	}
	for name, value := range d.bounds {
		f["bounds."+name] = value
	}
	return f
}

// adviceIP returns the address of the advice service, after those of the machines.
func (d *deployment) adviceIP() string {
	return d.prefix + strconv.Itoa(len(d.core)+len(d.edges)+len(d.sides)+_successors+1)
}

var (
	_listSection = regexp.MustCompile(`\{\{#seed-nodes\}\}(.*?)\{\{/seed-nodes\}\}`)
	_placeholder = regexp.MustCompile(`\{\{([\w.-]+)\}\}`)
)

// render fills in a template of the deploy file.
func (d *deployment) render(template string, fields map[string]string) string {
	text := _listSection.ReplaceAllStringFunc(template, func(section string) string {
		item := _listSection.FindStringSubmatch(section)[1]
		var out []string
		for i, m := range d.seeds {
			comma := ","
			if i == len(d.seeds)-1 {
				comma = ""
			}
			out = append(out, strings.NewReplacer("{{.}}", m.address(portControlPlane), "{{,}}", comma).Replace(item))
		}
		return strings.Join(out, "")
	})
	return _placeholder.ReplaceAllStringFunc(text, func(p string) string { return fields[_placeholder.FindStringSubmatch(p)[1]] })
}

// writeSettings writes a machine's settings file.
func (d *deployment) writeSettings(m *machine, bootstrap bool) error {
	template, err := os.ReadFile(d.templates[m.class])
	if err != nil {
		return err
	}
	return os.WriteFile(m.settings, []byte(d.render(string(template), d.fields(m, bootstrap))), 0o600)
}

// start starts a machine's process. Only the first start of a deployment bootstraps it.
func (d *deployment) start(m *machine, bootstrap bool) error {
	folder := filepath.Join(d.folder, m.name)
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	m.settings = filepath.Join(folder, "settings.conf")
	if err := d.writeSettings(m, bootstrap); err != nil {
		return err
	}
	command := strings.Fields(d.commands[m.class])
	for i := range command {
		command[i] = strings.ReplaceAll(command[i], "/etc/gentianrail/settings.conf", m.settings)
	}
	m.log = filepath.Join(folder, "log")
	log, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	m.cmd = exec.Command(command[0], command[1:]...)
	m.cmd.Stdout, m.cmd.Stderr = log, log
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + folder, "LANG=C.UTF-8"}
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(m.cmd, m.done)
	running.Lock()
	running.all = append(running.all, m)
	running.Unlock()
	return nil
}

// startAll starts all machines for the first time and waits until a controller leads and the
// entries are ready.
func (d *deployment) startAll() error {
	for _, list := range [][]*machine{d.core, d.edges, d.sides} {
		for _, m := range list {
			if err := d.start(m, true); err != nil {
				return err
			}
		}
	}
	return waitFor(30*time.Second, "the deployment to be ready", func() bool {
		if d.leader() == nil {
			return false
		}
		for _, m := range d.edges {
			resp, err := d.operatorHTTP.Get("http://" + m.address(portReadiness) + "/gentianrail/readyz")
			if err != nil {
				return false
			}
			resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// remove ends the processes and removes the temporary folder.
func (d *deployment) remove() {
	endAll()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(d.folder)
	}
}

func (m *machine) signal(s syscall.Signal) {
	if m.cmd != nil && m.cmd.Process != nil {
		_ = m.cmd.Process.Signal(s)
	}
}

// kill kills a machine's process and waits for its end.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	<-m.done
}

// leader returns the controller that says it leads, or nil.
func (d *deployment) leader() *machine {
	client := &http.Client{Timeout: 300 * time.Millisecond}
	for _, m := range d.core {
		resp, err := client.Get("http://" + m.address(portInternal+1) + "/v1/status")
		if err != nil {
			continue
		}
		data, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		var status struct {
			Role string `json:"role"`
		}
		if json.Unmarshal(data, &status) == nil && status.Role == "leader" {
			return m
		}
	}
	return nil
}

func waitFor(limit time.Duration, what string, ok func() bool) error {
	for end := clock.Now().Add(limit); clock.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return nil
		}
	}
	return fmt.Errorf("waited %s in vain for %s", limit, what)
}

// voters returns the number of controllers that vote, as the leader has logged it last.
func (d *deployment) voters() int {
	leader := d.leader()
	if leader == nil {
		return 0
	}
	data, err := os.ReadFile(leader.log)
	if err != nil {
		return 0
	}
	n := 0
	for _, line := range strings.Split(string(data), "\n") {
		var e struct {
			Name    string   `json:"event_name"`
			Members []string `json:"members"`
		}
		if json.Unmarshal([]byte(line), &e) != nil || len(e.Members) == 0 {
			continue
		}
		n = 0
		for _, m := range e.Members {
			if !strings.Contains(m, "learner") {
				n++
			}
		}
	}
	return n
}
