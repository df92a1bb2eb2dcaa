package controller

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"slices"
	"time"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/clock"
	"github.com/gentianrail/gentianrail/internal/control"
	"github.com/gentianrail/gentianrail/internal/disk"
	"github.com/gentianrail/gentianrail/internal/settings"
	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/replica"
)

const (
	_identityFile  = "identity"
	_identityBytes = 8                      // random bytes in the identifier of a controller that joins
	_joinInterval  = 200 * time.Millisecond // between join requests
	// _joinDelay is the time without a leader after which a member requests to
	// join again, and the timeout of a request.
	_joinDelay = time.Second
)

// loadOrCreateIdentity returns this controller's identifier and the initial
// members of its group. In a fixed group both are in the settings. Otherwise the
// first start decides both and stores them on disk. With the bootstrap setting a
// seed uses its address as identifier, so that the initial members know each
// other. Any other controller, including one that lost its disk, generates a new
// identifier and joins.
func loadOrCreateIdentity(files disk.Files, cfg *settings.Controller) (replica.ID, []replica.Member, error) {
	if cfg.Replicas == 0 {
		return replica.ID(cfg.ID), fixedMembers(cfg.Members), nil
	}
	names, err := files.List()
	if err != nil {
		return "", nil, fault.Wrap(fault.DataUnusable, err, "list the data folder")
	}
	if slices.Contains(names, _identityFile) {
		data, err := files.Read(_identityFile)
		if err != nil {
			return "", nil, fault.Wrap(fault.DataUnusable, err, "read %s", _identityFile)
		}
		return wire.UnmarshalIdentity(data)
	}
	id, members := replica.ID(cfg.Address), []replica.Member(nil)
	if cfg.Bootstrap && slices.Contains(cfg.Seeds, cfg.Address) {
		for _, s := range cfg.Seeds {
			members = append(members, replica.Member{ID: replica.ID(s), Address: s})
		}
	} else {
		var b [_identityBytes]byte
		if _, err := rand.Read(b[:]); err != nil {
			return "", nil, fault.Wrap(fault.Internal, err, "generate an identifier")
		}
		id += replica.ID("#" + hex.EncodeToString(b[:]))
	}
	return id, members, saveIdentity(files, id, members)
}

// fixedMembers returns the members of a fixed group, sorted by ID.
func fixedMembers(addresses map[string]string) []replica.Member {
	var out []replica.Member
	for id, address := range addresses {
		out = append(out, replica.Member{ID: replica.ID(id), Address: address})
	}
	slices.SortFunc(out, func(a, b replica.Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

func saveIdentity(files disk.Files, id replica.ID, members []replica.Member) error {
	data, err := wire.MarshalIdentity(id, members)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encode the identity")
	}
	temporary := "new_" + _identityFile
	f, err := files.Create(temporary)
	if err != nil {
		return fault.Wrap(fault.DataUnusable, err, "create %s", temporary)
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = files.Rename(temporary, _identityFile)
	}
	if err == nil {
		err = files.SyncFolder()
	}
	if err != nil {
		return fault.Wrap(fault.DataUnusable, err, "write %s", _identityFile)
	}
	return nil
}

// requestMembership sends join requests until this controller is a member, and
// again whenever it has no contact with a leader: at the first start, after a
// disk loss, and when the group has continued without this controller.
func (c *Controller) requestMembership(ctx context.Context, id replica.ID, s *settings.Settings) {
	client := control.NewClient(s.Controllers)
	defer client.Close()
	lastContact := clock.Now()
	joined := false
	for ctx.Err() == nil {
		clock.Sleep(ctx, _joinInterval)
		var addresses []string
		leaderless, member := false, false
		err := c.core.Do(ctx, func(c *Core, now time.Time) {
			if c.replica.HasRecentContact(now) {
				lastContact = now
			}
			leaderless = now.Sub(lastContact) >= _joinDelay
			addresses = c.memberAddresses()
			member = slices.ContainsFunc(c.replica.Members(), func(m replica.Member) bool { return m.ID == id })
		})
		if err != nil {
			return
		}
		client.SetMembers(addresses)
		joined = joined || member
		if joined && !leaderless {
			continue
		}
		joinCtx, cancel := context.WithTimeout(ctx, _joinDelay)
		// The next iteration repeats a failed request.
		_ = client.Join(joinCtx, string(id), s.Controller.Address)
		cancel()
	}
}
