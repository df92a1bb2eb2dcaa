package dispatch

import (
	"github.com/gentianrail/gentianrail/submission"
)

// search enumerates workers that may fit a task of a step: those of the rack that
// stores its data, then those with enough CPU, the fullest first. It looks at a
// bounded number of workers. In a larger pool the second half of them is a window that
// goes on where the step's latest search has ended, so that successive searches for a
// step look at each worker in turn, whatever other steps search.
type search struct {
	service *service
	lists   [][]*node
	total   int    // length of all lists
	rack    string // of the first list, if that is a rack's; empty otherwise
	offset  int
	unbound bool // looks at all workers
	list    int  // index in lists
	index   int  // in the present list, from offset on
	scanned int

	// Position in all lists at which the window begins. It is advanced; nil for no window.
	cursor *int
	passed int            // positions of the window so far
	seen   map[*node]bool // returned before the window; nil before it begins
}

// newSearch starts a search for a step of a submission. cursor is where the step's latest
// search has ended; nil if the search need not reach each worker.
func (r *round) newSearch(sub *submission.Submission, step *submission.Step, cursor *int) search {
	return r.newRackSearch(sub, step, cursor, step.DataRack)
}

// newRackSearch starts a search that begins with the workers of a rack, if there are any.
func (r *round) newRackSearch(sub *submission.Submission, step *submission.Step, cursor *int, preferred string) search {
	service := r.pool.services[sub.Service]
	if service == nil {
		return search{}
	}
	s := search{service: service, offset: service.cursor, unbound: r.searchAll, cursor: cursor}
	if step.Requirement != "" {
		s.addList(service.byLabel[step.Requirement])
		return s
	}
	if rack := service.byRack[preferred]; preferred != "" && len(rack) > 0 {
		s.addList(rack)
		s.rack = preferred
	}
	buckets, first := &service.byFree, bucketOf(step.Reserved().CPU)
	if step.UnreservedCPU {
		buckets, first = &service.byIdle, bucketOf(step.Needs.CPU)
		if step.LongRunning || r.isStarved(sub) {
			first = 0
		}
	}
	for _, list := range buckets[first:] {
		s.addList(list)
	}
	return s
}

func (s *search) addList(list []*node) {
	if len(list) > 0 {
		s.lists = append(s.lists, list)
		s.total += len(list)
	}
}

// hasWindow reports whether the search ends with a window.
func (s *search) hasWindow() bool { return s.cursor != nil && !s.unbound && s.total > _maxScanned }

// next returns the next worker, or nil at the end.
func (s *search) next() *node {
	limit := _maxScanned
	if s.hasWindow() {
		limit = _maxScanned / 2
	}
	for s.list < len(s.lists) && (s.scanned < limit || s.unbound) {
		list := s.lists[s.list]
		if s.index == len(list) {
			s.list, s.index = s.list+1, 0
			continue
		}
		n := list[(s.offset+s.index)%len(list)]
		s.index++
		if s.isRepeated(s.list, n) {
			continue
		}
		s.scanned++
		s.service.cursor++
		return n
	}
	if s.hasWindow() {
		return s.nextOfWindow()
	}
	return nil
}

// isRepeated reports whether a worker of a list was returned as one of the rack's.
func (s *search) isRepeated(list int, n *node) bool {
	return s.rack != "" && list > 0 && n.Rack == s.rack
}

// nextOfWindow returns the next worker of the window that was not returned before.
func (s *search) nextOfWindow() *node {
	if s.seen == nil {
		s.collectSeen()
	}
	for s.scanned < _maxScanned && s.passed < s.total {
		at := *s.cursor % s.total
		*s.cursor = at + 1
		s.passed++
		list := 0
		for at >= len(s.lists[list]) {
			at -= len(s.lists[list])
			list++
		}
		if n := s.lists[list][at]; !s.isRepeated(list, n) && !s.seen[n] {
			s.scanned++
			return n
		}
	}
	return nil
}

// collectSeen collects the workers that were returned before the window.
func (s *search) collectSeen() {
	s.seen = make(map[*node]bool, s.scanned)
	for i, list := range s.lists[:min(s.list+1, len(s.lists))] {
		count := len(list)
		if i == s.list {
			count = s.index
		}
		for k := range count {
			s.seen[list[(s.offset+k)%len(list)]] = true
		}
	}
}
