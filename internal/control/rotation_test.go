package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/internal/wire/pb"
)

// joinTarget answers join requests as a leader.
type joinTarget struct {
	fakeController
	joins atomic.Int64
}

func (j *joinTarget) Join(context.Context, *pb.JoinRequest) (*pb.JoinReply, error) {
	j.joins.Add(1)
	return &pb.JoinReply{}, nil
}

// TestShortCallsReachEachAddress guards against callers that meet the same silent
// addresses in each call, since a call ends before it has tried all of them.
func TestShortCallsReachEachAddress(t *testing.T) {
	const (
		bound    = 4 * time.Second // in which a new controller must be able to join
		deadline = time.Second     // of a join request
	)
	for n := 2; n <= 6; n++ {
		for place := range n {
			t.Run(fmt.Sprintf("%d of %d", place, n), func(t *testing.T) {
				t.Parallel()
				leader := &joinTarget{}
				var addresses []string
				for i := range n {
					if i == place {
						addresses = append(addresses, serveController(t, leader))
					} else {
						addresses = append(addresses, silentController(t))
					}
				}
				c := NewClient(addresses)
				defer c.Close()
				ctx, cancel := context.WithTimeout(t.Context(), bound)
				defer cancel()
				for ctx.Err() == nil && leader.joins.Load() == 0 {
					callCtx, endCall := context.WithTimeout(ctx, deadline)
					_ = c.Join(callCtx, "c", "10.0.0.1:1")
					endCall()
				}
				if leader.joins.Load() == 0 {
					t.Errorf("the only address that answers got no request within %s", bound)
				}
			})
		}
	}
}

// TestFailedAttemptKeepsOtherLeader guards against calls that forget the leader because
// an attempt at another address failed.
func TestFailedAttemptKeepsOtherLeader(t *testing.T) {
	leader := serve(t, &fakeController{leads: true})
	c := NewClient([]string{silentController(t), leader})
	defer c.Close()
	stale := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(t.Context(), _attemptTimeout/2)
		defer cancel()
		_, err := c.Barrier(ctx) // the silent address has the first turn
		stale <- err
	}()
	time.Sleep(_attemptTimeout / 6)
	if _, err := c.Barrier(t.Context()); err != nil {
		t.Fatal(err)
	}
	<-stale
	if got := c.knownLeader(); got != leader {
		t.Errorf("the leader is %q after a failed attempt elsewhere, want %q", got, leader)
	}
}

// TestRotationReachesEachAddress states the property of a rotation: an address that
// stays on the list has a turn within as many turns as the list is long at most, however
// the rest of the list changes.
func TestRotationReachesEachAddress(t *testing.T) {
	for seed := range uint64(300) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		var r Rotation
		var addresses []string
		lastTurn, longest := make(map[string]int), 0
		for turn := range 200 {
			if rnd.IntN(4) == 0 {
				addresses = changedList(rnd, addresses)
			}
			longest = max(longest, len(addresses))
			for a := range lastTurn {
				if !slices.Contains(addresses, a) {
					delete(lastTurn, a)
				}
			}
			for _, a := range addresses {
				if _, ok := lastTurn[a]; !ok {
					lastTurn[a] = turn - 1
				}
			}
			got := r.next(addresses, func(string) bool { return false })
			for a, last := range lastTurn {
				if turn-last > longest && a != got {
					t.Fatalf("seed %d: %s has had no turn in %d turns, with at most %d addresses", seed, a, turn-last, longest)
				}
			}
			if got != "" {
				lastTurn[got] = turn
			}
		}
	}
}

// changedList returns a list with a random subset of the addresses and some new ones.
func changedList(rnd *rand.Rand, addresses []string) (out []string) {
	for _, a := range addresses {
		if rnd.IntN(4) > 0 {
			out = append(out, a)
		}
	}
	for len(out) == 0 || rnd.IntN(2) == 0 {
		out = append(out, fmt.Sprint("a", rnd.Uint32()))
	}
	rnd.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// TestSearchReachesEachAddress states the property of a search for the leader: whichever
// addresses are silent, and whatever leader the others name, each address is tried within
// twice as many attempts as there are addresses.
func TestSearchReachesEachAddress(t *testing.T) {
	for seed := range uint64(300) {
		rnd := rand.New(rand.NewPCG(seed, 2))
		n := 1 + rnd.IntN(9)
		var addresses []string
		silent := make(map[string]bool)
		for i := range n {
			a := fmt.Sprint("a", i)
			addresses = append(addresses, a)
			silent[a] = rnd.IntN(2) == 0
		}
		c := NewClient(addresses)
		attemptsOfCall := 1 + rnd.IntN(2*n)
		tries := make(map[string]int)
		var search *leaderSearch
		hint := ""
		for attempt := range 2 * n * 3 {
			if attempt%attemptsOfCall == 0 {
				search, hint = newLeaderSearch(c), ""
			}
			a := search.next(hint)
			tries[a]++
			hint = ""
			if !silent[a] {
				if rnd.IntN(2) == 0 {
					hint = addresses[rnd.IntN(n)]
				}
			}
			if attempt%(2*n) != 2*n-1 {
				continue
			}
			for _, a := range addresses {
				if tries[a] == 0 {
					t.Fatalf("seed %d: %s was not tried in %d attempts at %d addresses, calls of %d attempts", seed, a, 2*n, n, attemptsOfCall)
				}
			}
			clear(tries)
		}
	}
}

// TestSearchPassesSilentLeader guards against a call that waits for the same leader again and
// again, since the other controllers name it and only this process can't reach it.
func TestSearchPassesSilentLeader(t *testing.T) {
	addresses := []string{"a", "b", "c", "d"}
	s := newLeaderSearch(NewClient(addresses))
	tries := make(map[string]int)
	hint := ""
	for range 2*len(addresses) - 1 {
		a := s.next(hint)
		tries[a]++
		hint = ""
		if a != "d" {
			hint = "d"
		}
	}
	for _, a := range addresses {
		if tries[a] == 0 {
			t.Errorf("%s was not tried; the tries are %v", a, tries)
		}
	}
}

// slowLeader leads, and its first answer to a call takes too long.
type slowLeader struct {
	fakeController
	calls atomic.Int64
}

func (s *slowLeader) Call(ctx context.Context, _ *pb.CallRequest) (*pb.CallReply, error) {
	if s.calls.Add(1) == 1 {
		<-ctx.Done()
	}
	return &pb.CallReply{}, nil
}

// TestSlowLeaderIsAskedAgain guards against callers that get no answer because a leader whose
// commit took long is asked again only after all other controllers.
func TestSlowLeaderIsAskedAgain(t *testing.T) {
	const limit = _attemptTimeout + 300*time.Millisecond
	leader := serveController(t, &slowLeader{fakeController: fakeController{leads: true}})
	addresses := []string{leader}
	for range 6 {
		addresses = append(addresses, serve(t, &fakeController{leader: leader}))
	}
	c := NewClient(addresses)
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	if _, err := c.Call(ctx, Call{Verb: Submit, Path: "/q/0123456789abcdef"}); err != nil {
		t.Errorf("no answer within %s: %v", limit, err)
	}
}

// TestNewSeedsKeepMembers guards against a client that has forgotten the members when its
// new seeds are silent.
func TestNewSeedsKeepMembers(t *testing.T) {
	c := NewClient([]string{"old seed"})
	c.SetMembers([]string{"member"})
	c.SetSeeds([]string{"new seed"})
	if got, want := c.addresses(), []string{"member", "new seed"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
