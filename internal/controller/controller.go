package controller

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/gofrs/flock"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/disk"
	"github.com/gentianrail/gentianrail/internal/event"
	"github.com/gentianrail/gentianrail/internal/link"
	"github.com/gentianrail/gentianrail/internal/settings"
	"github.com/gentianrail/gentianrail/internal/wire/pb"
	"github.com/gentianrail/gentianrail/replica"
)

// Controller is one running controller.
type Controller struct {
	core     *Core
	lock     *flock.Flock
	cancel   context.CancelFunc
	tasks    sync.WaitGroup
	listener net.Listener
}

// Start locks and reads the data folder and starts the controller's tasks.
func Start(s *settings.Settings, log event.Log) (*Controller, error) {
	cfg := s.Controller
	files, err := disk.OpenFolder(cfg.DataFolder)
	if err != nil {
		return nil, fault.Wrap(fault.DataUnusable, err, "open the data folder")
	}
	lock := flock.New(filepath.Join(cfg.DataFolder, "lock"))
	if ok, err := lock.TryLock(); err != nil || !ok {
		return nil, fault.New(fault.DataLocked, "the data folder is in use by another process")
	}
	c := &Controller{lock: lock}
	if err := c.start(s, files, log); err != nil {
		_ = lock.Unlock()
		return nil, err
	}
	return c, nil
}

func (c *Controller) start(s *settings.Settings, files disk.Files, log event.Log) error {
	cfg := s.Controller
	peers, boxes := makePeers(cfg)
	core, err := NewCore(CoreConfig{
		Replica:         replicaConfig(cfg),
		Files:           files,
		Log:             log,
		Send:            func(ms []replica.Message) { post(boxes, ms) },
		SnapshotEntries: cfg.SnapshotEntries,
		Lease:           time.Duration(cfg.Lease),
	}, time.Now())
	if err != nil {
		return err
	}
	c.core = core
	mux := drpcmux.New()
	if err := pb.DRPCRegisterController(mux, &service{core: core, members: cfg.Members}); err != nil {
		return fault.Wrap(fault.Internal, err, "register the controller's service")
	}
	if c.listener, err = net.Listen("tcp", cfg.Address); err != nil {
		return fault.Wrap(fault.BadSettings, err, "listen on %s", cfg.Address)
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	server := drpcserver.NewWithOptions(mux, link.ServerOptions(nil))
	c.tasks.Go(func() { _ = server.Serve(ctx, c.listener) })
	c.tasks.Go(func() { core.Run(ctx) })
	for _, p := range peers {
		c.tasks.Go(func() { p.run(ctx) })
	}
	return nil
}

func replicaConfig(cfg *settings.Controller) replica.Config {
	rc := replica.Config{
		ID:              replica.ID(cfg.ID),
		ElectionTimeout: time.Duration(cfg.ElectionTimeout),
		Heartbeat:       time.Duration(cfg.Heartbeat),
		Rand:            rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), uint64(os.Getpid()))),
	}
	for id := range cfg.Members {
		rc.Voters = append(rc.Voters, replica.ID(id))
	}
	return rc
}

func makePeers(cfg *settings.Controller) ([]*peer, map[replica.ID]*mailbox) {
	var peers []*peer
	boxes := make(map[replica.ID]*mailbox)
	for id, address := range cfg.Members {
		if id == cfg.ID {
			continue
		}
		p := &peer{address: address, box: newMailbox()}
		peers = append(peers, p)
		boxes[replica.ID(id)] = p.box
	}
	return peers, boxes
}

func post(boxes map[replica.ID]*mailbox, ms []replica.Message) {
	for _, m := range ms {
		if b, ok := boxes[m.To]; ok {
			b.put(m)
		}
	}
}

// Core returns the task that owns the controller's state.
func (c *Controller) Core() *Core { return c.core }

// handOverFor bounds the hand-over of leadership on a planned stop.
const handOverFor = 2 * time.Second

// Stop hands leadership over and stops the tasks.
func (c *Controller) Stop(ctx context.Context) error {
	c.handOver(ctx)
	c.cancel()
	c.tasks.Wait()
	return c.lock.Unlock()
}

// handOver waits until this controller does not lead any more, if another
// one can.
func (c *Controller) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverFor)
	defer cancel()
	started := false
	for ctx.Err() == nil {
		leads := false
		err := c.core.Do(ctx, func(c *Core, now time.Time) {
			leads = c.replica.Role() == replica.Leader
			if leads && !started {
				started = c.replica.Transfer(now) == nil
				leads = started
			}
		})
		if err != nil || !leads {
			return
		}
		time.Sleep(_tick)
	}
}
