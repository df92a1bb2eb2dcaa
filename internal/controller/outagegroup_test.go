package controller

import (
	"bytes"
	"context"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/internal/disk"
	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/replica"
	"github.com/gentianrail/gentianrail/state"
	"github.com/gentianrail/gentianrail/submission"
)

// limitedDisk is a folder in which only a number of changes succeed. The first write beyond
// them leaves a part of its data in the file.
type limitedDisk struct {
	disk.Files
	mu        sync.Mutex
	remaining int  // changes that succeed; negative for all
	rejected  int  // changes
	isOpening bool // attempts to open the store have the limits in room
	room      []int
	isBroken  bool
}

// limit lets n more changes succeed; negative for all.
func (d *limitedDisk) limit(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.remaining, d.room = n, nil
}

// limitAttempts lets n more changes succeed, then room[i] changes in the i-th attempt to open
// the store, and then all.
func (d *limitedDisk) limitAttempts(n int, room []int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.remaining, d.room, d.isOpening = n, room, true
}

// fail lets the folder fail for good.
func (d *limitedDisk) fail() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isBroken = true
}

func (d *limitedDisk) rejections() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rejected
}

func (d *limitedDisk) change() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.remaining == 0 {
		d.rejected++
		return &fs.PathError{Op: "write", Path: "data", Err: syscall.ENOSPC}
	}
	if d.remaining > 0 {
		d.remaining--
	}
	return nil
}

// List is what an attempt to open the store begins with.
func (d *limitedDisk) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isBroken {
		return nil, syscall.EIO
	}
	if d.isOpening && d.remaining == 0 {
		if d.remaining = -1; len(d.room) > 0 {
			d.remaining, d.room = d.room[0], d.room[1:]
		}
	}
	return d.Files.List()
}

func (d *limitedDisk) Create(name string) (disk.File, error) {
	if err := d.change(); err != nil {
		return nil, err
	}
	f, err := d.Files.Create(name)
	return &limitedFile{File: f, disk: d}, err
}

func (d *limitedDisk) Rename(from, to string) error {
	if err := d.change(); err != nil {
		return err
	}
	return d.Files.Rename(from, to)
}

func (d *limitedDisk) Remove(name string) error {
	if err := d.change(); err != nil {
		return err
	}
	return d.Files.Remove(name)
}

func (d *limitedDisk) SyncFolder() error {
	if err := d.change(); err != nil {
		return err
	}
	return d.Files.SyncFolder()
}

type limitedFile struct {
	disk.File
	disk *limitedDisk
}

func (f *limitedFile) Write(p []byte) (int, error) {
	if err := f.disk.change(); err != nil {
		n, _ := f.File.Write(p[:len(p)/2])
		return n, err
	}
	return f.File.Write(p)
}

func (f *limitedFile) Sync() error {
	if err := f.disk.change(); err != nil {
		return err
	}
	return f.File.Sync()
}

// outageNode is a running controller of an outageGroup.
type outageNode struct {
	id       replica.ID
	core     *Core
	files    *limitedDisk
	registry metrics.Registry
	log      eventCounter
	sent     int // messages; guarded by the group's mutex
	stop     func()
}

// eventCounter counts log events.
type eventCounter struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

func (c *eventCounter) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lines.Write(p)
}

func (c *eventCounter) text() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lines.String()
}

func (c *eventCounter) count(name string) int {
	return strings.Count(strings.ReplaceAll(c.text(), "\n", " "), "event_name="+name+" ")
}

func (n *outageNode) isFull() bool {
	return n.registry.Get("controller.disk_full").(metrics.Gauge).Value() == 1
}

// outageGroup is a group of controllers with disks that may be full.
type outageGroup struct {
	*testing.T
	snapshotEntries int
	members         []replica.Member
	mu              sync.Mutex
	nodes           []*outageNode
	acknowledged    []string // submissions
	submitted       int
}

func newOutageGroup(t *testing.T, size, snapshotEntries int) *outageGroup {
	t.Helper()
	g := &outageGroup{T: t, snapshotEntries: snapshotEntries}
	for i := range size {
		id := replica.ID('a' + rune(i))
		g.members = append(g.members, replica.Member{ID: id, Address: "address of " + string(id)})
	}
	for i := range size {
		folder, err := disk.OpenFolder(t.TempDir())
		if err != nil {
			t.Fatal(err)
		}
		g.nodes = append(g.nodes, &outageNode{id: g.members[i].ID, files: &limitedDisk{Files: folder, remaining: -1}})
	}
	for i := range g.nodes {
		g.start(i)
	}
	t.Cleanup(func() {
		for _, n := range g.nodes {
			n.stop()
		}
	})
	g.await("the table of queues", func() bool { return g.propose(state.ReplaceQueues{Table: testQueues()}) == nil })
	return g
}

func (g *outageGroup) start(i int) {
	g.Helper()
	n := g.nodes[i]
	registry := metrics.NewRegistry()
	core, err := NewCore(CoreConfig{
		Replica: replica.Config{
			ID: n.id, InitialMembers: g.members, ElectionTimeout: 300 * time.Millisecond, Heartbeat: 40 * time.Millisecond,
			Rand: rand.New(rand.NewPCG(uint64(i), 3)),
		},
		Files: n.files, Log: event.NewLog(&n.log, event.Text, logrus.InfoLevel), Metrics: registry,
		Send:            func(m []replica.Message) { g.send(n, m) },
		SnapshotEntries: g.snapshotEntries, WorkerLease: time.Second, RunLease: time.Second,
	}, clock.Now())
	if err != nil {
		g.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { core.Run(ctx) })
	g.mu.Lock()
	defer g.mu.Unlock()
	n.core, n.registry = core, registry
	n.stop = func() {
		cancel()
		running.Wait()
	}
}

func (g *outageGroup) send(from *outageNode, messages []replica.Message) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range messages {
		from.sent++
		for _, n := range g.nodes {
			if core := n.core; n.id == m.To && core != nil {
				go func() { _ = core.Deliver(context.Background(), m) }()
			}
		}
	}
}

func (g *outageGroup) sent(n *outageNode) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return n.sent
}

// propose proposes a command at each controller until one accepts it.
func (g *outageGroup) propose(cmd state.Command) error {
	var err error
	for _, n := range g.nodes {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, err = n.core.Propose(ctx, cmd)
		cancel()
		if fault.CodeOf(err) != fault.NoLeader {
			return err
		}
	}
	return err
}

// submit records a submission. It reports whether it was acknowledged.
func (g *outageGroup) submit() bool {
	g.submitted++
	id := fmt.Sprint("s", g.submitted)
	steps := []submission.Step{{Count: 1, Requirement: "absent"}}
	if g.propose(state.Submit{Submission: submission.Submission{Spec: submission.Spec{ID: id, Queue: "q", Steps: steps}}}) != nil {
		return false
	}
	g.acknowledged = append(g.acknowledged, id)
	return true
}

// submitMore submits until n more submissions are acknowledged.
func (g *outageGroup) submitMore(n int) {
	g.Helper()
	want := len(g.acknowledged) + n
	g.await("submissions are acknowledged", func() bool {
		for g.submit() && len(g.acknowledged) < want {
			continue
		}
		return len(g.acknowledged) >= want
	})
}

func (g *outageGroup) await(what string, isDone func() bool) {
	g.Helper()
	for end := time.Now().Add(60 * time.Second); !isDone(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			g.Fatalf("timeout after 60 s: %s", what)
		}
	}
}

// awaitRecord waits until all controllers have all acknowledged submissions.
func (g *outageGroup) awaitRecord() {
	g.Helper()
	for _, n := range g.nodes {
		missing := ""
		g.await(fmt.Sprintf("controller %s lacks an acknowledged submission", n.id), func() bool {
			missing = ""
			_ = n.core.Do(context.Background(), func(c *Core, _ time.Time) {
				for _, id := range g.acknowledged {
					if _, ok := c.machine.Submissions().Submission(id); !ok {
						missing = id
					}
				}
			})
			return missing == ""
		})
	}
}

func (g *outageGroup) leader() int {
	leader := -1
	g.await("a leader", func() bool {
		for i, n := range g.nodes {
			leads := false
			_ = n.core.Do(context.Background(), func(c *Core, now time.Time) { leads = c.holdsLease(now) })
			if leads {
				leader = i
				return true
			}
		}
		return false
	})
	return leader
}
