package controller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/gentianrail/gentianrail/internal/control"
	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/internal/settings"
	"github.com/gentianrail/gentianrail/replica"
)

// _maxJoinTime is the time in which a new controller must be a voter.
const _maxJoinTime = 4 * time.Second

// Ports below the ephemeral ones: an outgoing connection of another test could take an
// ephemeral port between the close of a listener and the start of the controller.
const (
	_firstJoinPort = 11000
	_joinPorts     = 5000
)

// _joinPort counts the ports that were tried, from a random one on.
var _joinPort atomic.Int64

// joinGroup is a group of controllers that serve on loopback addresses.
type joinGroup struct {
	*testing.T
	controllers []*Controller
	addresses   []string
}

// listen returns an address that accepts connections and never answers, until the
// listener is closed.
func (g *joinGroup) listen() net.Listener {
	g.Helper()
	_joinPort.CompareAndSwap(0, 1+rand.Int64N(_joinPorts))
	for range _joinPorts {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", _firstJoinPort+_joinPort.Add(1)%_joinPorts))
		if err != nil {
			continue // the port is in use
		}
		g.Cleanup(func() { _ = l.Close() })
		return l
	}
	g.Fatal("no free port for a controller")
	return nil
}

// add starts a controller of a group of five with the given seeds, and returns it with the
// client of its join requests.
func (g *joinGroup) add(address string, seeds []string, bootstrap bool) (*Controller, *control.Client) {
	g.Helper()
	list := `"` + strings.Join(seeds, `","`) + `"`
	text := fmt.Sprintf(`{"name":"c%d","zone":"z","roles":["controller"],"controllers":[%s],"controller":{"address":%q,"data_folder":%q,
		"seeds":[%s],"bootstrap":%t,"tolerated_losses":2},"platform":{"control_plane":"127.0.0.1:1"}}`,
		len(g.controllers), list, address, filepath.Join(g.TempDir(), "data"), list, bootstrap)
	s, err := settings.Parse("test", []byte(text))
	if err != nil {
		g.Fatal(err)
	}
	client := control.NewClient(s.Controllers)
	c, err := Start(&s, event.Log{}, nil, client, metrics.NewRegistry())
	if err != nil {
		g.Fatal(err)
	}
	g.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = c.Stop(ctx)
	})
	g.controllers, g.addresses = append(g.controllers, c), append(g.addresses, address)
	return c, client
}

// newJoinGroup returns a group of three voters, which has room for two more.
func newJoinGroup(t *testing.T) *joinGroup {
	t.Helper()
	g := &joinGroup{T: t}
	var addresses []string
	for range 3 {
		l := g.listen()
		addresses = append(addresses, l.Addr().String())
		_ = l.Close()
	}
	for _, a := range addresses {
		g.add(a, addresses, true)
	}
	g.waitForVoters(3, 20*time.Second)
	return g
}

// waitForVoters waits until the newest controller is one of at least n voters.
func (g *joinGroup) waitForVoters(n int, timeout time.Duration) {
	g.Helper()
	newest, address := g.controllers[len(g.controllers)-1], g.addresses[len(g.addresses)-1]
	voters, found := 0, false
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		_ = newest.Core().Do(g.Context(), func(c *Core, _ time.Time) {
			all := slices.DeleteFunc(slices.Clone(c.replica.Members()), func(m replica.Member) bool { return m.Learner })
			voters = len(all)
			found = slices.ContainsFunc(all, func(m replica.Member) bool { return m.Address == address })
		})
		if voters >= n && found {
			return
		}
	}
	g.Fatalf("after %s: %d voters, the newest controller among them: %t; want %d", timeout, voters, found, n)
}

// TestSuccessorJoinsThroughAnySeed guards against controllers that never join, since their
// requests meet the silent seeds only: the group stays short of voters, and the next loss
// ends its quorum.
func TestSuccessorJoinsThroughAnySeed(t *testing.T) {
	for place := range 3 {
		t.Run(fmt.Sprint("seed ", place), func(t *testing.T) {
			t.Parallel()
			g := newJoinGroup(t)
			seeds := []string{g.listen().Addr().String(), g.listen().Addr().String(), g.listen().Addr().String()}
			seeds[place] = g.addresses[0]
			l := g.listen()
			_ = l.Close()
			g.add(l.Addr().String(), seeds, false)
			g.waitForVoters(4, _maxJoinTime)
		})
	}
}

// TestSuccessorJoinsThroughNewSeeds guards against join requests that go on to the seeds of
// the start when others are configured.
func TestSuccessorJoinsThroughNewSeeds(t *testing.T) {
	g := newJoinGroup(t)
	l := g.listen()
	_ = l.Close()
	_, client := g.add(l.Addr().String(), []string{g.listen().Addr().String()}, false)
	client.SetSeeds(g.addresses[:1])
	g.waitForVoters(4, _maxJoinTime)
}
