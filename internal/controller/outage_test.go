package controller

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/replica"
	"github.com/gentianrail/gentianrail/state"
	"github.com/gentianrail/gentianrail/worker"
)

// TestControllerRecoversFromFullDisk fills the disks of some controllers of a group. They must
// send nothing, grant nothing and be reported; the group must go on while most have space, and
// acknowledge nothing otherwise. With space again, all must take part without a restart, and
// nothing acknowledged may be lost.
func TestControllerRecoversFromFullDisk(t *testing.T) {
	for _, tc := range []struct {
		name       string
		size, full int
		withLeader bool
	}{
		{"the only controller", 1, 1, true},
		{"the leader of three", 3, 1, true},
		{"a follower of three", 3, 1, false},
		{"two followers of five", 5, 2, false},
		{"three of five", 5, 3, true},
		{"three followers of five", 5, 3, false},
		{"all of three", 3, 3, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			g := newOutageGroup(t, tc.size, 8)
			g.submitMore(5)
			leader := g.leader()
			var full []*outageNode
			for i := range tc.full {
				at := (leader + i) % tc.size
				if !tc.withLeader {
					at = (leader + 1 + i) % tc.size
				}
				full = append(full, g.nodes[at])
				g.nodes[at].files.limit(i) // in the middle of a write for some
			}
			// A replica without a leader writes nothing while the others grant it no vote.
			quorum := tc.size/2 + 1
			g.await("the full disks are noticed", func() bool {
				g.submit()
				return countFull(full) >= min(len(full), quorum)
			})
			g.checkOutage(slices.DeleteFunc(slices.Clone(full), func(n *outageNode) bool { return !n.isFull() }), tc.size-tc.full >= quorum)
			for _, n := range full {
				n.files.limit(-1)
			}
			g.submitMore(10)
			g.awaitRecord()
			for _, n := range full {
				want := 1
				if tc.full > quorum && n.log.count("disk_full") == 0 {
					want = 0
				}
				if n.isFull() || n.log.count("disk_full") != want || n.log.count("disk_available") != want || n.log.count("disk_failed") != 0 {
					t.Errorf("%s: full %t, log events:\n%s", n.id, n.isFull(), n.log.text())
				}
				if _, err := n.core.Read(t.Context(), 0, func(ReadOnlyState) {}); err != nil {
					t.Errorf("%s is not ready: %v", n.id, err)
				}
			}
		})
	}
}

func countFull(nodes []*outageNode) (n int) {
	for _, node := range nodes {
		if node.isFull() {
			n++
		}
	}
	return n
}

// checkOutage checks a group with full disks for some seconds.
func (g *outageGroup) checkOutage(full []*outageNode, goesOn bool) {
	g.Helper()
	var sent []int
	for _, n := range full {
		sent = append(sent, g.sent(n))
	}
	acknowledged := len(g.acknowledged)
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end) || goesOn && len(g.acknowledged) < acknowledged+20; {
		if !g.submit() {
			time.Sleep(10 * time.Millisecond)
		}
		if time.Now().After(end.Add(60 * time.Second)) {
			g.Fatal("the group does not go on")
		}
	}
	if !goesOn && len(g.acknowledged) > acknowledged {
		g.Errorf("%d submissions were acknowledged with %d full disks of %d", len(g.acknowledged)-acknowledged, len(full), len(g.nodes))
	}
	for i, n := range full {
		if more := g.sent(n) - sent[i]; more > 0 {
			g.Errorf("%s has sent %d messages while its disk was full", n.id, more)
		}
		if _, err := n.core.Read(g.Context(), 0, func(ReadOnlyState) {}); fault.CodeOf(err) != fault.NotReady {
			g.Errorf("%s: reads give %v, want NotReady", n.id, err)
		}
		if n.core.feed.CanServe() {
			g.Errorf("%s serves its view", n.id)
		}
		address := n.core.LeaderAddress()
		// A busy leader may send its heartbeats late.
		for end := time.Now().Add(10 * time.Second); goesOn != (address != "") && time.Now().Before(end); address = n.core.LeaderAddress() {
			time.Sleep(time.Millisecond)
		}
		if address == "address of "+string(n.id) || goesOn != (address != "") {
			g.Errorf("%s names the leader %q; the group goes on: %t", n.id, address, goesOn)
		}
		members, err := (&rpcService{core: n.core}).Members(g.Context(), nil)
		if err != nil || len(members.GetControllers()) != len(g.nodes) {
			g.Errorf("%s names the members %v, %v", n.id, members.GetControllers(), err)
		}
		select {
		case <-n.core.DiskFailed():
			g.Errorf("%s ends", n.id)
		default:
		}
	}
}

// TestFullDiskAtEachChange lets the disk of the only controller become full after each number
// of changes: in a record, a snapshot and the start of a segment. The attempts to open the
// store fail after more and more changes too. Some controllers are killed and start with the
// full disk.
func TestFullDiskAtEachChange(t *testing.T) {
	var errors sync.Map // in which the disks became full
	t.Cleanup(func() {
		for _, e := range []string{"write the log", "write a snapshot", "start a log segment"} {
			if _, ok := errors.Load(e); !ok && !t.Failed() {
				t.Errorf("no disk became full at: %s", e)
			}
		}
	})
	for n := range 24 {
		t.Run(fmt.Sprint("after ", n), func(t *testing.T) {
			t.Parallel()
			g := newOutageGroup(t, 1, 3)
			node := g.nodes[0]
			g.submitMore(1 + n%3)
			var room []int
			for i := 1; i < 14; i += 1 + n%4 {
				room = append(room, i)
			}
			if n%3 == 2 {
				room = nil
				node.files.limit(n)
			} else {
				node.files.limitAttempts(n, room)
			}
			g.await("the full disk is noticed", func() bool {
				g.submit()
				return node.isFull() || node.log.count("disk_available") > 0
			})
			for _, e := range []string{"write the log", "write a snapshot", "start a log segment"} {
				if strings.Contains(node.log.text(), e+": write data: no space left on device") {
					errors.Store(e, true)
				}
			}
			if n%3 == 2 {
				for range 2 {
					node.stop()
					g.start(0)
					if !node.isFull() || g.submit() {
						t.Error("a controller that was started with a full disk takes part")
					}
				}
				node.files.limit(-1)
			}
			g.submitMore(5)
			g.awaitRecord()
			if n%3 != 2 && node.files.rejections() < len(room) {
				t.Errorf("%d changes were rejected, want at least %d", node.files.rejections(), len(room))
			}
			node.stop()
			g.start(0)
			g.awaitRecord()
		})
	}
}

// TestOtherFailureOfFullDiskEndsProcess guards against a controller that waits for ever for
// the space of a disk that has failed for good.
func TestOtherFailureOfFullDiskEndsProcess(t *testing.T) {
	g := newOutageGroup(t, 1, 1000)
	n := g.nodes[0]
	g.submit()
	n.files.limit(0)
	g.await("the full disk is noticed", func() bool {
		g.submit()
		return n.isFull()
	})
	n.files.fail()
	select {
	case <-n.core.DiskFailed():
	case <-time.After(10 * time.Second):
		t.Fatal("the failure is not reported")
	}
	if n.log.count("disk_failed") != 1 || g.submit() {
		t.Errorf("log events:\n%s", n.log.text())
	}
}

// newLimitedLeader returns a leader with a disk that may be full, and its disk.
func newLimitedLeader(t *testing.T) (*drivenLeader, *limitedDisk) {
	t.Helper()
	l := newDrivenLeader(t)
	d := &limitedDisk{Files: l.files, remaining: -1}
	l.files = d
	l.restart()
	return l, d
}

// reopen lets the leader open its store, and returns whether it could.
func (l *drivenLeader) reopen() bool {
	l.Helper()
	l.core.outage.nextAttempt = l.now
	l.core.tick(l.now)
	if !l.core.writing {
		l.Fatal("no attempt to open the store")
	}
	l.core.handleWriteResult(<-l.core.writeResults)
	return l.core.diskErr == nil
}

// TestFullDiskReleasesLeadership guards against a leader with a full disk that still gives
// orders, answers or leases, also to streams that it had, or votes again too soon.
func TestFullDiskReleasesLeadership(t *testing.T) {
	l, d := newLimitedLeader(t)
	c := l.core
	first := report("m1/w/1")
	sess := l.attach(first)
	orderedRuns(sess)
	reply := make(chan result, 1)
	d.limit(1) // the write succeeds and its sync fails
	if err := c.proposeAll(l.now, []proposal{{cmd: state.CancelSubmission{ID: "none"}, reply: reply}}); err != nil {
		t.Fatal(err)
	}
	l.answerHeartbeat()
	if r := <-reply; fault.CodeOf(r.err) != fault.MaybeApplied {
		t.Errorf("the proposal in flight ends with %v, want MaybeApplied", r.err)
	}
	if _, closed := sess.outbox.popAll(); !closed {
		t.Error("the agent's stream stays open")
	}
	c.handleReport(l.now, sess, &pb.AgentReport{Complete: true})
	if orders, _ := sess.outbox.popAll(); len(orders) > 0 {
		t.Errorf("the agent got the orders %v", orders)
	}
	if c.attach(l.now, first) != nil || c.holdsLease(l.now) || c.leads() || c.role != replica.Follower || c.leadership.leads {
		t.Error("the controller still leads")
	}
	late := make(chan result, 1)
	if err := c.proposeAll(l.now, []proposal{{cmd: state.CancelSubmission{ID: "none"}, reply: late}}); err == nil {
		t.Error("a proposal was accepted")
	}
	if r := <-late; fault.CodeOf(r.err) != fault.NoLeader {
		t.Errorf("a proposal ends with %v, want NoLeader", r.err)
	}
	if l.reopen() {
		t.Fatal("the store opens on a full disk")
	}
	d.limit(-1)
	if !l.reopen() {
		t.Fatal(c.diskErr)
	}
	var sent []replica.Message
	c.send = func(ms []replica.Message) { sent = append(sent, ms...) }
	term := c.replica.Term()
	for _, preVote := range []bool{true, false} {
		c.step(l.now.Add(9*time.Second), replica.Message{
			From: "b", To: "a", Term: term + 1, Body: replica.VoteRequest{PreVote: preVote, LastIndex: 1000, LastTerm: term},
		})
		c.processReady()
	}
	for _, m := range sent {
		if v, ok := m.Body.(replica.VoteReply); !ok || v.Granted {
			t.Errorf("it sends %#v within an election timeout", m)
		}
	}
}

// TestFullDiskNamesNextLeader guards against a controller that names a deposed leader, or
// learns the leader from a message that any replica sends.
func TestFullDiskNamesNextLeader(t *testing.T) {
	l, d := newLimitedLeader(t)
	c := l.core
	c.group.address = func(id replica.ID) string { return "address of " + string(id) }
	term := c.replica.Term()
	d.limit(0)
	l.propose(state.CancelSubmission{ID: "none"})
	l.answerHeartbeat()
	for _, tc := range []struct {
		from replica.ID
		term uint64
		body replica.Body
		want string
	}{
		{"c", term + 1, replica.VoteRequest{}, ""},
		{"c", term + 2, replica.Append{}, "address of c"},
		{"d", term + 1, replica.Append{}, "address of c"},
		{"d", term + 3, replica.InstallSnapshot{}, "address of d"},
	} {
		c.step(clock.Now(), replica.Message{From: tc.from, To: "a", Term: tc.term, Body: tc.body})
		if got := c.leaderAddress(); got != tc.want {
			t.Errorf("after %T of %s in term %d: leader %q, want %q", tc.body, tc.from, tc.term, got, tc.want)
		}
	}
	if c.replica.LastIndex() > 1000 || c.replica.Term() != term {
		t.Error("the replica has handled the messages")
	}
}

// TestViewDoesNotGoBackAfterFullDisk restores a controller whose disk does not say that the
// latest entries are committed. Holders of its view must not get an earlier one.
func TestViewDoesNotGoBackAfterFullDisk(t *testing.T) {
	l, d := newLimitedLeader(t)
	c := l.core
	l.propose(state.RegisterWorker{Worker: worker.Worker{ID: "w1", AgentIncarnation: 1, Address: "a", Targets: []string{"t"}}})
	l.commit()
	revision := c.feed.Revision()
	d.limit(0)
	l.propose(state.CancelSubmission{ID: "none"})
	l.answerHeartbeat()
	if c.diskErr == nil {
		t.Fatal("the disk is not full")
	}
	d.limit(-1)
	if !l.reopen() {
		t.Fatal(c.diskErr)
	}
	if c.machine.Revision() >= revision || c.isCaughtUp() {
		t.Fatalf("restored at revision %d, want one before %d", c.machine.Revision(), revision)
	}
	last := c.replica.LastIndex()
	c.step(l.now, replica.Message{From: "b", To: "a", Term: c.replica.Term(), Body: replica.Append{PrevIndex: last, PrevTerm: c.replica.Term(), Commit: revision - 1}})
	c.processReady()
	c.tick(clock.Now())
	if c.feed.CanServe() || c.feed.Revision() != revision {
		t.Errorf("serves its view: %t, at revision %d, want %d", c.feed.CanServe(), c.feed.Revision(), revision)
	}
	c.step(clock.Now(), replica.Message{From: "b", To: "a", Term: c.replica.Term(), Body: replica.Append{PrevIndex: last, PrevTerm: c.replica.Term(), Commit: revision}})
	c.processReady()
	c.tick(clock.Now())
	u, ok, _ := c.feed.ChangesSince(revision - 1)
	if !c.feed.CanServe() || !ok || u.GetRevision() != revision || len(u.GetWorkers()) != 1 {
		t.Errorf("serves its view: %t, changes %v", c.feed.CanServe(), u)
	}
}
