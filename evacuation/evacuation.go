// Package evacuation holds the availability zones that operators have evacuated.
//
// Nothing is started on the workers of an evacuated zone. Running work continues.
package evacuation

import (
	"cmp"
	"maps"
	"slices"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/gentianrail/gentianrail/fault"
)

const (
	_maxNameBytes = 256 // as of a zone's name in a worker's announcement
	// _maxFinished bounds the zones that are remembered after their evacuation. A deployment
	// has few zones; the bound holds if operators order evacuations of arbitrary names.
	_maxFinished = 1000
)

// Zone is an availability zone of which an operator's order was accepted.
type Zone struct {
	Name      string
	Evacuated bool
	ChangedAt time.Time // log time of the latest change
	Revision  uint64    // of the latest change
}

// Set holds the zones of which an order was accepted. A zone is remembered after its
// evacuation, so that a repeated order is accepted again. The zero value is empty.
type Set struct {
	zones    map[string]Zone
	finished int // zones that are not evacuated
}

// Start evacuates a zone, and reports whether that is a change.
func (s *Set) Start(name string, now time.Time, revision uint64) bool {
	return s.set(Zone{Name: name, Evacuated: true, ChangedAt: now, Revision: revision})
}

// Finish ends a zone's evacuation, and reports whether that is a change.
func (s *Set) Finish(name string, now time.Time, revision uint64) bool {
	return s.set(Zone{Name: name, ChangedAt: now, Revision: revision})
}

func (s *Set) set(z Zone) bool {
	old, ok := s.zones[z.Name]
	if ok && old.Evacuated == z.Evacuated {
		return false
	}
	s.Put(z)
	if s.finished > _maxFinished {
		s.forgetOldest()
	}
	return old.Evacuated != z.Evacuated
}

// Put stores a zone, for example from a snapshot.
func (s *Set) Put(z Zone) {
	if s.zones == nil {
		s.zones = make(map[string]Zone)
	}
	if old, ok := s.zones[z.Name]; ok && !old.Evacuated {
		s.finished--
	}
	if !z.Evacuated {
		s.finished++
	}
	s.zones[z.Name] = z
}

// forgetOldest forgets the zone whose evacuation ended first.
func (s *Set) forgetOldest() {
	var oldest Zone
	for _, z := range s.zones {
		if !z.Evacuated && (oldest.Name == "" || cmp.Or(cmp.Compare(z.Revision, oldest.Revision), cmp.Compare(z.Name, oldest.Name)) < 0) {
			oldest = z
		}
	}
	delete(s.zones, oldest.Name)
	s.finished--
}

// IsEvacuated reports whether a zone is evacuated.
func (s *Set) IsEvacuated(name string) bool { return s.zones[name].Evacuated }

// IsKnown reports whether an order of the zone was accepted.
func (s *Set) IsKnown(name string) bool {
	_, ok := s.zones[name]
	return ok
}

// Evacuated returns the names of the evacuated zones, sorted.
func (s *Set) Evacuated() []string {
	var out []string
	for _, z := range s.zones {
		if z.Evacuated {
			out = append(out, z.Name)
		}
	}
	slices.Sort(out)
	return out
}

// Count returns the number of evacuated zones.
func (s *Set) Count() int { return len(s.zones) - s.finished }

// Zones returns all zones, sorted by name.
func (s *Set) Zones() []Zone {
	return slices.SortedFunc(maps.Values(s.zones), func(a, b Zone) int { return cmp.Compare(a.Name, b.Name) })
}

// CheckName returns a BadRequest error for a name that no zone can have. A slash would be
// taken for a part of a path.
func CheckName(name string) error {
	isBad := func(r rune) bool { return r == '/' || !unicode.IsPrint(r) }
	if name == "" || len(name) > _maxNameBytes || !utf8.ValidString(name) || slices.ContainsFunc([]rune(name), isBad) {
		return fault.New(fault.BadRequest, "zone: found %.300q, allowed is a name of 1 to %d bytes without slashes and control characters", name, _maxNameBytes)
	}
	return nil
}
