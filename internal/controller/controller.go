package controller

import (
	"context"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/gofrs/flock"
	"github.com/rcrowley/go-metrics"
	"storj.io/drpc/drpcmux"

	"github.com/gentianrail/gentianrail/dispatch"
	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/internal/control"
	"github.com/gentianrail/gentianrail/internal/disk"
	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/internal/identity"
	"github.com/gentianrail/gentianrail/internal/link"
	"github.com/gentianrail/gentianrail/internal/peers"
	"github.com/gentianrail/gentianrail/internal/settings"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/replica"
)

// Controller runs a core and serves it to other processes.
type Controller struct {
	core         *Core
	lock         *flock.Flock
	peers        *peers.Set
	adviceClient AdviceClient
	controllers  *control.Client
	registry     metrics.Registry
	cancel       context.CancelFunc
	goroutines   sync.WaitGroup
}

// Start locks and reads the data folder and starts the controller's goroutines.
// adviceClient approves workers for the steps of some queues; it may be nil.
// controllers sends the join requests of a controller that is not a member; Start takes
// it over.
func Start(s *settings.Settings, log event.Log, adviceClient AdviceClient, controllers *control.Client, registry metrics.Registry) (*Controller, error) {
	cfg := s.Controller
	files, err := disk.OpenFolder(cfg.DataFolder)
	if err != nil {
		return nil, fault.Wrap(fault.DataUnusable, err, "open the data folder")
	}
	lock := flock.New(filepath.Join(cfg.DataFolder, "lock"))
	ok, err := lock.TryLock()
	if disk.IsFull(err) {
		return nil, fault.Wrap(fault.DataUnusable, err, "lock the data folder")
	}
	if err != nil || !ok {
		return nil, fault.New(fault.DataLocked, "the data folder is in use by another process")
	}
	c := &Controller{lock: lock, adviceClient: adviceClient, controllers: controllers, registry: registry}
	if err := c.start(s, files, log); err != nil {
		_ = lock.Unlock()
		return nil, err
	}
	return c, nil
}

func (c *Controller) start(s *settings.Settings, files disk.Files, log event.Log) error {
	cfg := s.Controller
	id, initialMembers, err := identity.LoadOrCreate(files, cfg)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.peers = peers.New(ctx, cfg.Address)
	core, err := NewCore(CoreConfig{
		Replica: replica.Config{
			ID:              id,
			InitialMembers:  initialMembers,
			ElectionTimeout: time.Duration(cfg.ElectionTimeout),
			Heartbeat:       time.Duration(cfg.Heartbeat),
			Rand:            rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), uint64(os.Getpid()))),
		},
		Files:           files,
		Log:             log,
		Send:            c.peers.Send,
		SnapshotEntries: cfg.SnapshotEntries,
		WorkerLease:     time.Duration(cfg.Lease),
		RunLease:        time.Duration(cfg.RunLease),
		RemotePenalty:   cfg.RemotePenalty,
		LateStartWindow: lateStartWindow(s),
		AdviceClient:    c.adviceClient,
		Metrics:         c.registry,
		Zones:           s.Zones,
		WarmUp:          warmUp(cfg),
		Replicas:        cfg.Replicas,
		OnMembersChange: func(members []replica.Member) { c.peers.UpdateMembers(id, members) },
		Address:         c.peers.Address,
		Accepted:        newAcceptedLimits(int64(s.MemoryLimit)),
	}, clock.Now())
	if err != nil {
		return err
	}
	c.core = core
	mux := drpcmux.New()
	if err := pb.DRPCRegisterController(mux, &rpcService{core: core, peers: c.peers}); err != nil {
		return fault.Wrap(fault.Internal, err, "register the controller's service")
	}
	server, err := link.Listen(cfg.Address, mux, link.ServerConfig{
		Role: settings.RoleController, Connections: s.Intake.PeerConnections, MessageBudget: int64(s.Intake.BodyBudget),
		Log: log, Metrics: c.registry, OnPanic: core.logPanic,
	})
	if err != nil {
		return err
	}
	c.goroutines.Go(func() { server.Serve(ctx) })
	c.goroutines.Go(func() { core.Run(ctx) })
	if cfg.Replicas > 0 {
		c.goroutines.Go(func() { c.requestMembership(ctx, id, s) })
	}
	return nil
}

// Core returns the core, which owns the controller's state.
func (c *Controller) Core() *Core { return c.core }

// _leadershipTransferTimeout bounds the transfer of leadership on a planned stop.
const _leadershipTransferTimeout = 2 * time.Second

// Stop transfers leadership and stops the goroutines.
func (c *Controller) Stop(ctx context.Context) error {
	c.transferLeadership(ctx)
	c.cancel()
	c.goroutines.Wait()
	c.peers.Wait()
	return c.lock.Unlock()
}

// transferLeadership transfers leadership to another controller and waits until
// this controller does not lead, for at most _leadershipTransferTimeout. It
// returns at once if no transfer can start.
func (c *Controller) transferLeadership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, _leadershipTransferTimeout)
	defer cancel()
	started := false
	for ctx.Err() == nil {
		leads := false
		err := c.core.Do(ctx, func(c *Core, now time.Time) {
			leads = c.leads()
			if leads && !started {
				started = c.replica.TransferLeadership(now) == nil
				leads = started
			}
		})
		if err != nil || !leads {
			return
		}
		time.Sleep(_tickInterval)
	}
}

// warmUp returns the bounds of cold workers.
func warmUp(cfg *settings.Controller) dispatch.WarmUp {
	if cfg.WarmUp == nil {
		return dispatch.WarmUp{}
	}
	return dispatch.WarmUp{Overage: cfg.WarmUp.Overage, Tolerance: int(cfg.WarmUp.Tolerance)}
}

// lateStartWindow returns how long after a call without an answer a worker may hold a lease
// that the call gives. The project's own worker interface has sessions, which late calls of
// an earlier one don't pass.
func lateStartWindow(s *settings.Settings) time.Duration {
	if s.Platform == nil {
		return 0
	}
	return time.Duration(s.Platform.MaxCallDelay + s.Platform.MaxLease)
}
