package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Ports of the measured processes. Controllers and agents add their index.
const (
	_controllerPort = 18810
	_operatorPort   = 18820
	_entryPort      = 18830
	_targetPort     = 18840
	_agentPort      = 18900
)

const _ticksPerSecond = 100 // unit of the CPU times in /proc

// fleet is the set of processes of one measurement.
type fleet struct {
	binary string
	dir    string
	procs  map[string]*exec.Cmd
}

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// document is a JSON object of settings.
type document map[string]any

// startProcess writes the settings of a process and starts the process.
func (f *fleet) startProcess(name string, settings document) error {
	settings["name"] = name
	settings["zone"] = "zone_a"
	settings["log"] = document{"level": "error"}
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	file := filepath.Join(f.dir, name+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	cmd := exec.Command(f.binary, "--config", file)
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return err
	}
	f.procs[name] = cmd
	return nil
}

// killAll kills all processes of the fleet.
func (f *fleet) killAll() {
	for _, cmd := range f.procs {
		_ = cmd.Process.Signal(syscall.SIGKILL)
	}
	for _, cmd := range f.procs {
		_ = cmd.Wait()
	}
}

var _controllers = []string{address(_controllerPort + 1), address(_controllerPort + 2), address(_controllerPort + 3)}

// startFleet starts three controllers, an entry instance, one target, and the
// given number of agents that share the target.
func startFleet(binary, dir string, agents int) (*fleet, error) {
	f := &fleet{binary: binary, dir: filepath.Join(dir, fmt.Sprint("fleet", agents)), procs: make(map[string]*exec.Cmd)}
	if err := os.MkdirAll(f.dir, 0o700); err != nil {
		return nil, err
	}
	members := document{}
	for i, a := range _controllers {
		members[fmt.Sprint("c", i+1)] = a
	}
	var errs []error
	for i, a := range _controllers {
		id := fmt.Sprint("c", i+1)
		errs = append(errs, f.startProcess(id, document{"roles": []string{"controller"}, "controller": document{
			"id": id, "address": a, "operator_address": address(_operatorPort + i + 1), "data_folder": id, "members": members,
		}}))
	}
	errs = append(errs,
		f.startProcess("target", document{"roles": []string{}, "sample": document{"address": address(_targetPort), "targets": []string{"sample"}}}),
		f.startProcess("entry", document{"roles": []string{"entry"}, "controllers": _controllers, "entry": document{"address": address(_entryPort)}}))
	for i := range agents {
		name := fmt.Sprintf("agent%03d", i)
		errs = append(errs, f.startProcess(name, document{"roles": []string{"agent"}, "controllers": _controllers, "agent": document{
			"id": name, "address": address(_agentPort + i), "target_address": address(_targetPort), "targets": []string{"sample"},
			"slots": 8, "connections": 64, "cpu": "4", "memory": "4GiB",
		}}))
	}
	if err := errors.Join(errs...); err != nil {
		f.killAll()
		return nil, err
	}
	if err := waitForWorkers(agents); err != nil {
		f.killAll()
		return nil, err
	}
	return f, nil
}

func operatorURL(path string) string { return "http://" + address(_operatorPort+1) + path }

func waitForWorkers(n int) error {
	var lastErr error
	for range 300 {
		time.Sleep(200 * time.Millisecond)
		var doc struct{ Workers int }
		if lastErr = getJSON(operatorURL("/v1/status"), &doc); lastErr == nil && doc.Workers == n {
			return nil
		}
	}
	return fmt.Errorf("waiting for %d agents to register: %w", n, lastErr)
}

func getJSON(url string, out any) error {
	resp, err := http.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", resp.Status, body)
	}
	return json.Unmarshal(body, out)
}

func declareService(name string) error {
	doc := fmt.Sprintf(`{"name": %q, "owner": "o", "class": "service", "target": "sample", "objective": {"ratio": 0.99, "latency": "1s"}}`, name)
	req, err := http.NewRequest(http.MethodPut, operatorURL("/v1/catalogue/entries/"+name), strings.NewReader(doc))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(resp.Body)
		return fmt.Errorf("declare %s: %s %s", name, resp.Status, body)
	}
	return nil
}

// usage is the CPU time and memory that one process uses.
type usage struct {
	cpu      time.Duration // user and system time
	resident int64         // bytes
}

func (f *fleet) usage(name string) (usage, error) {
	pid := strconv.Itoa(f.procs[name].Process.Pid)
	stat, err := os.ReadFile("/proc/" + pid + "/stat")
	if err != nil {
		return usage{}, err
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	return usage{
		cpu:      time.Duration(user+system) * time.Second / _ticksPerSecond,
		resident: pages * int64(os.Getpagesize()),
	}, nil
}

// loopbackBytes returns the bytes that the loopback interface has received.
func loopbackBytes() (int64, error) {
	data, err := os.ReadFile("/proc/net/dev")
	if err != nil {
		return 0, err
	}
	for _, line := range strings.Split(string(data), "\n") {
		name, rest, ok := strings.Cut(strings.TrimSpace(line), ":")
		if ok && name == "lo" {
			return strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
		}
	}
	return 0, errors.New("no loopback interface in /proc/net/dev")
}
