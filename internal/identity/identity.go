// Package identity loads a controller's identifier and the initial members of its
// group.
package identity

import (
	"crypto/rand"
	"encoding/hex"
	"slices"

	"github.com/gentianrail/gentianrail/fault"
	"github.com/gentianrail/gentianrail/internal/disk"
	"github.com/gentianrail/gentianrail/internal/settings"
	"github.com/gentianrail/gentianrail/internal/wire"
	"github.com/gentianrail/gentianrail/replica"
)

const (
	_file  = "identity"
	_bytes = 8 // random bytes in the identifier of a controller that joins
)

// LoadOrCreate returns this controller's identifier and the initial
// members of its group. In a fixed group both are in the settings. Otherwise the
// first start decides both and stores them on disk. With the bootstrap setting a
// seed uses its address as identifier, so that the initial members know each
// other. Any other controller, including one that lost its disk, generates a new
// identifier and joins.
func LoadOrCreate(files disk.Files, cfg *settings.Controller) (replica.ID, []replica.Member, error) {
	if cfg.Replicas == 0 {
		return replica.ID(cfg.ID), fixedMembers(cfg.Members), nil
	}
	names, err := files.List()
	if err != nil {
		return "", nil, fault.Wrap(fault.DataUnusable, err, "list the data folder")
	}
	if slices.Contains(names, _file) {
		data, err := files.Read(_file)
		if err != nil {
			return "", nil, fault.Wrap(fault.DataUnusable, err, "read %s", _file)
		}
		return wire.UnmarshalIdentity(data)
	}
	id, members := replica.ID(cfg.Address), []replica.Member(nil)
	if cfg.Bootstrap && slices.Contains(cfg.Seeds, cfg.Address) {
		for _, s := range cfg.Seeds {
			members = append(members, replica.Member{ID: replica.ID(s), Address: s})
		}
	} else {
		var b [_bytes]byte
		if _, err := rand.Read(b[:]); err != nil {
			return "", nil, fault.Wrap(fault.Internal, err, "generate an identifier")
		}
		id += replica.ID("#" + hex.EncodeToString(b[:]))
	}
	return id, members, save(files, id, members)
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

func save(files disk.Files, id replica.ID, members []replica.Member) error {
	data, err := wire.MarshalIdentity(id, members)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encode the identity")
	}
	temporary := "new_" + _file
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
		err = files.Rename(temporary, _file)
	}
	if err == nil {
		err = files.SyncFolder()
	}
	if err != nil {
		return fault.Wrap(fault.DataUnusable, err, "write %s", _file)
	}
	return nil
}
