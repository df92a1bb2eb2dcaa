package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gentianrail/gentianrail/catalogue"
	"github.com/gentianrail/gentianrail/claim"
	"github.com/gentianrail/gentianrail/internal/control"
	"github.com/gentianrail/gentianrail/internal/load"
	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/job"
	"github.com/gentianrail/gentianrail/placement"
	"github.com/gentianrail/gentianrail/state"
	"github.com/gentianrail/gentianrail/worker"
)

// Sizes of the measurements.
const (
	_warmUp       = 5 * time.Second  // from the start of the processes to a measurement
	_idleDuration = 15 * time.Second // of the measurement of idle processes
	_loadDuration = 6 * time.Second  // of each run of requests or commits
	_loadRate     = 400              // requests a second
)

var _fleetSizes = []int{10, 50, 200} // agents

func cpuPercent(cpu, span time.Duration) float64 { return 100 * float64(cpu) / float64(span) }

func toMiB(n int64) float64 { return float64(n) / (1 << 20) }

// measureIdleProcesses measures idle fleets of several sizes.
func measureIdleProcesses(binary, dir string, out *strings.Builder) error {
	out.WriteString("### Idle processes\n\nThree controllers, one entry instance, N agents that share a target; " +
		"no requests. Agent figures are the median and the largest of all agents. Bytes are all that crossed loopback, divided by N.\n\n" +
		"| agents | agent CPU % median / max | agent MB median / max | leader CPU % | leader MB | entry CPU % | entry MB | bytes/s an agent |\n" +
		"| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, n := range _fleetSizes {
		if err := measureIdleFleet(binary, dir, n, out); err != nil {
			return err
		}
	}
	out.WriteString("\n")
	return nil
}

func measureIdleFleet(binary, dir string, n int, out *strings.Builder) error {
	f, err := startFleet(binary, dir, n)
	if err != nil {
		return err
	}
	defer f.killAll()
	time.Sleep(_warmUp)
	before := make(map[string]usage)
	for name := range f.procs {
		if before[name], err = f.usage(name); err != nil {
			return err
		}
	}
	bytesBefore, err := loopbackBytes()
	if err != nil {
		return err
	}
	time.Sleep(_idleDuration)
	bytesAfter, err := loopbackBytes()
	if err != nil {
		return err
	}
	var cpu, resident []float64
	var leader, entry usage
	for name, b := range before {
		a, err := f.usage(name)
		if err != nil {
			return err
		}
		used := usage{cpu: a.cpu - b.cpu, resident: a.resident}
		switch {
		case strings.HasPrefix(name, "agent"):
			cpu = append(cpu, cpuPercent(used.cpu, _idleDuration))
			resident = append(resident, toMiB(used.resident))
		case name == "entry":
			entry = used
		case strings.HasPrefix(name, "c") && used.cpu > leader.cpu: // see leaderCPU
			leader = used
		}
	}
	slices.Sort(cpu)
	slices.Sort(resident)
	fmt.Fprintf(out, "| %d | %.2f / %.2f | %.1f / %.1f | %.1f | %.1f | %.2f | %.1f | %.0f |\n", n,
		cpu[len(cpu)/2], cpu[len(cpu)-1], resident[len(resident)/2], resident[len(resident)-1],
		cpuPercent(leader.cpu, _idleDuration), toMiB(leader.resident), cpuPercent(entry.cpu, _idleDuration), toMiB(entry.resident),
		float64(bytesAfter-bytesBefore)/_idleDuration.Seconds()/float64(n))
	return nil
}

// measureRequestPath compares requests sent directly to the target with requests
// through entry and agent. Each route is measured three times, in turn.
func measureRequestPath(binary, dir string, out *strings.Builder) error {
	f, err := startFleet(binary, dir, 3)
	if err != nil {
		return err
	}
	defer f.killAll()
	if err := declareService("quotes"); err != nil {
		return err
	}
	time.Sleep(_warmUp)
	fmt.Fprintf(out, "### The path of a request\n\n%d requests a second for %s each, in turn. CPU is of all agents and of the entry instance, "+
		"for each request.\n\n| run | route | p50 ms | p99 ms | p99.9 ms | entry CPU µs | agent CPU µs | entry MB | agent MB max |\n"+
		"| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n", _loadRate, _loadDuration)
	routes := []struct{ name, url, method string }{
		{"direct", "http://" + address(_targetPort) + "/price", "GET"},
		{"through", "http://" + address(_entryPort) + "/v1/services/quotes/price", "GET"},
		{"through, with a key", "http://" + address(_entryPort) + "/v1/services/quotes/confirm", "POST"},
	}
	for run := range 3 {
		for _, route := range routes {
			if err := f.measureRoute(run, route.name, route.url, route.method, out); err != nil {
				return err
			}
		}
	}
	out.WriteString("\n")
	return nil
}

func (f *fleet) measureRoute(run int, name, url, method string, out *strings.Builder) error {
	entry, agents, _, err := f.requestPathUsage()
	if err != nil {
		return err
	}
	cfg := load.Config{URL: url, Method: method, Rate: _loadRate, Duration: _loadDuration, InFlight: 128, Timeout: 10 * time.Second}
	if method == "POST" {
		cfg.IdempotencyKey = func(n int) string { return fmt.Sprintf("%d_%d", run, n) }
	}
	r, err := load.Run(context.Background(), cfg)
	if err != nil {
		return err
	}
	if r.Statuses[200] != r.Sent {
		return fmt.Errorf("%s: sent %d, statuses %v, errors %v", name, r.Sent, r.Statuses, r.Errors)
	}
	entryAfter, agentsAfter, maxResident, err := f.requestPathUsage()
	if err != nil {
		return err
	}
	microsPerRequest := func(d time.Duration) float64 { return float64(d.Microseconds()) / float64(r.Sent) }
	ms := func(i int) float64 { return float64(r.Quantiles[i].Latency) / float64(time.Millisecond) }
	fmt.Fprintf(out, "| %d | %s | %.2f | %.2f | %.2f | %.0f | %.0f | %.1f | %.1f |\n", run+1, name, ms(0), ms(2), ms(3),
		microsPerRequest(entryAfter.cpu-entry.cpu), microsPerRequest(agentsAfter-agents), toMiB(entryAfter.resident), toMiB(maxResident))
	return nil
}

func (f *fleet) requestPathUsage() (entry usage, agents time.Duration, maxResident int64, err error) {
	if entry, err = f.usage("entry"); err != nil {
		return
	}
	for name := range f.procs {
		if !strings.HasPrefix(name, "agent") {
			continue
		}
		u, err := f.usage(name)
		if err != nil {
			return entry, 0, 0, err
		}
		agents += u.cpu
		maxResident = max(maxResident, u.resident)
	}
	return entry, agents, maxResident, nil
}

// measureCommits measures the rate at which concurrent callers begin claims.
func measureCommits(binary, dir string, out *strings.Builder) error {
	f, err := startFleet(binary, dir, 1)
	if err != nil {
		return err
	}
	defer f.killAll()
	time.Sleep(_warmUp)
	out.WriteString("### Commits\n\nSmall commands from callers that each wait for the answer before the next command, with fsync on three controllers.\n\n" +
		"| callers | commits/s | p50 ms | p99 ms | leader CPU µs a commit |\n| --- | --- | --- | --- | --- |\n")
	for _, callers := range []int{1, 16, 64, 256} {
		if err := f.measureCallers(callers, out); err != nil {
			return err
		}
	}
	out.WriteString("\n")
	return nil
}

func (f *fleet) measureCallers(callers int, out *strings.Builder) error {
	client := control.NewClient(_controllers)
	defer client.Close()
	var mu sync.Mutex
	var allLatencies []time.Duration
	var failed error
	before, err := f.leaderCPU()
	if err != nil {
		return err
	}
	began := time.Now()
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			var latencies []time.Duration
			for n := 0; time.Since(began) < _loadDuration; n++ {
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				at := time.Now()
				_, err := client.Propose(ctx, state.BeginClaim{
					Claim:     claim.Claim{Entry: "quotes", Key: fmt.Sprintf("%d_%d_%d", callers, c, n), Token: "t", Fingerprint: 1},
					Remaining: time.Minute,
				})
				cancel()
				latencies = append(latencies, time.Since(at))
				if err != nil {
					mu.Lock()
					failed = err
					mu.Unlock()
					return
				}
			}
			mu.Lock()
			allLatencies = append(allLatencies, latencies...)
			mu.Unlock()
		})
	}
	wg.Wait()
	elapsed := time.Since(began)
	if failed != nil {
		return failed
	}
	after, err := f.leaderCPU()
	if err != nil {
		return err
	}
	slices.Sort(allLatencies)
	ms := func(q float64) float64 {
		return float64(allLatencies[int(q*float64(len(allLatencies)-1))]) / float64(time.Millisecond)
	}
	fmt.Fprintf(out, "| %d | %.0f | %.2f | %.2f | %.0f |\n", callers, float64(len(allLatencies))/elapsed.Seconds(), ms(0.5), ms(0.99),
		float64((after-before).Microseconds())/float64(len(allLatencies)))
	return nil
}

// leaderCPU returns the CPU time of the leader, which uses the most CPU of the
// controllers.
func (f *fleet) leaderCPU() (time.Duration, error) {
	var maxCPU time.Duration
	for _, name := range []string{"c1", "c2", "c3"} {
		u, err := f.usage(name)
		if err != nil {
			return 0, err
		}
		maxCPU = max(maxCPU, u.cpu)
	}
	return maxCPU, nil
}

// measureViews measures the time from the acceptance of a catalogue change until
// all holders of a view have it.
func measureViews(binary, dir string, out *strings.Builder) error {
	f, err := startFleet(binary, dir, 2)
	if err != nil {
		return err
	}
	defer f.killAll()
	out.WriteString("### Time until a change takes effect\n\nHolders of a view in one process, spread over three controllers; ten changes.\n\n" +
		"| holders | median ms until all holders have it | max ms |\n| --- | --- | --- |\n")
	for _, n := range []int{10, 50, 200} {
		if err := measureHolders(n, out); err != nil {
			return err
		}
	}
	out.WriteString("\n")
	return nil
}

func measureHolders(n int, out *strings.Builder) error {
	ctx, cancel := context.WithCancel(context.Background())
	client := control.NewClient(_controllers)
	defer client.Close()
	holders := make([]control.View, n)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	for i := range holders {
		wg.Go(func() { client.FollowView(ctx, fmt.Sprint("h", i), &holders[i], func() {}, func(error) {}) })
	}
	time.Sleep(_warmUp / 2)
	var latencies []time.Duration
	for c := range 10 {
		o, err := client.Propose(ctx, state.PutEntry{Base: catalogue.AnyVersion, Spec: testSpec(fmt.Sprintf("e%d_%d", n, c))})
		if err != nil {
			return err
		}
		began := time.Now()
		for !allHaveRevision(holders, o.Revision) {
			if time.Since(began) > 10*time.Second {
				return fmt.Errorf("timed out waiting for %d holders to reach revision %d", n, o.Revision)
			}
			time.Sleep(100 * time.Microsecond)
		}
		latencies = append(latencies, time.Since(began))
	}
	slices.Sort(latencies)
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	fmt.Fprintf(out, "| %d | %.1f | %.1f |\n", n, ms(latencies[len(latencies)/2]), ms(latencies[len(latencies)-1]))
	return nil
}

func allHaveRevision(holders []control.View, revision uint64) bool {
	for i := range holders {
		if holders[i].Revision() < revision {
			return false
		}
	}
	return true
}

func testSpec(name string) catalogue.Spec {
	return catalogue.Spec{
		Name: name, Owner: "workshop", Class: catalogue.Batch, Target: "sample",
		Limits: catalogue.Limits{
			Slots: 8, Connections: 64, RequestTimeout: time.Second, CPUMillis: 500, MemoryBytes: 256 << 20,
			MaxRunningTasks: 200_000, Deadline: time.Hour, MaxAttempts: 3,
		},
		Objective: catalogue.Objective{Ratio: 0.99, Latency: time.Second},
	}
}

// measureState fills a state with records of one kind at a time. It measures the
// memory and snapshot size of a record, and the times to encode and restore all
// records.
func measureState(_, _ string, out *strings.Builder) error {
	const n = 50_000
	out.WriteString("### State of a controller\n\n50,000 of each; job bodies and answers of 200 bytes.\n\n" +
		"| record | memory bytes each | snapshot bytes each | encode ms for all | restore ms for all |\n| --- | --- | --- | --- | --- |\n")
	kinds := []struct {
		name string
		cmd  func(i int) state.Command
	}{
		{"entry", func(i int) state.Command {
			return state.PutEntry{Base: catalogue.AnyVersion, Spec: testSpec(fmt.Sprint("e", i))}
		}},
		{"worker", func(i int) state.Command { return state.RegisterWorker{Worker: testWorker(i)} }},
		{"job", func(i int) state.Command {
			return state.SubmitJob{Job: job.Job{ID: fmt.Sprintf("%036d", i), Entry: "e", Body: make([]byte, 200)}}
		}},
		{"claim", func(i int) state.Command {
			return state.BeginClaim{Claim: claim.Claim{Entry: "quotes", Key: fmt.Sprintf("%036d", i), Token: fmt.Sprintf("%050d", i)}, Remaining: time.Hour}
		}},
	}
	for _, k := range kinds {
		m := &state.Machine{}
		now := time.Unix(1_000_000, 0)
		m.Apply(1, now, state.PutEntry{Base: catalogue.AnyVersion, Spec: testSpec("e")})
		before := heapBytes()
		for i := range n {
			if r := m.Apply(uint64(i+2), now, k.cmd(i)); r.Outcome.Err != nil {
				return r.Outcome.Err
			}
		}
		bytes := heapBytes() - before
		began := time.Now()
		data, err := wire.MarshalState(m.Contents())
		if err != nil {
			return err
		}
		encodeTime := time.Since(began)
		began = time.Now()
		contents, err := wire.UnmarshalState(data)
		if err != nil {
			return err
		}
		state.Restore(contents)
		fmt.Fprintf(out, "| %s | %d | %d | %d | %d |\n", k.name, bytes/n, len(data)/n, encodeTime.Milliseconds(), time.Since(began).Milliseconds())
		runtime.KeepAlive(m)
	}
	out.WriteString("\n")
	return nil
}

func testWorker(i int) worker.Worker {
	return worker.Worker{
		ID: fmt.Sprintf("worker_%d", i), AgentIncarnation: 1, Address: "127.0.0.1:1", Zone: fmt.Sprint("z", i%12), Rack: fmt.Sprint("r", i/40),
		Targets:  []string{"sample"},
		Capacity: worker.Capacity{Slots: 8, Connections: 64, CPUMillis: 64_000, MemoryBytes: 250 << 30, Accelerators: 2},
	}
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// measurePlacement measures the rate of placements on workers that have the CPU
// of about 16 tasks in use on average.
func measurePlacement(_, _ string, out *strings.Builder) error {
	out.WriteString("### Placement\n\nOne round for 1,000 queued jobs on workers that are partly full; the best of five rounds.\n\n" +
		"| workers | placements/s | ms a round |\n| --- | --- | --- |\n")
	entry := catalogue.RestoreEntry(testSpec("e"), 1, 1)
	rnd := rand.New(rand.NewPCG(1, 1))
	for _, n := range []int{11, 1000, 3000, 5900} {
		best := time.Duration(1 << 62)
		placed := 0
		for range 5 {
			var nodes []placement.Node
			for i := range n {
				nodes = append(nodes, placement.Node{
					Worker: testWorker(i), Used: worker.Capacity{CPUMillis: int64(500 * rnd.IntN(32)), MemoryBytes: 4 << 30},
				})
			}
			var queue []placement.Candidate
			for i := range 1000 {
				queue = append(queue, placement.Candidate{Job: job.Job{ID: fmt.Sprint(i), Sequence: uint64(i)}, Entry: entry})
			}
			began := time.Now()
			placed = len(placement.Place(began, queue, nodes, nil).Placements)
			best = min(best, time.Since(began))
		}
		fmt.Fprintf(out, "| %d | %.0f | %.1f |\n", n, float64(placed)/best.Seconds(), float64(best)/float64(time.Millisecond))
	}
	out.WriteString("\n")
	return nil
}
