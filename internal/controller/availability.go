package controller

import (
	"container/list"
	"time"
)

// recency orders keys by when they were touched last. The zero value is empty.
type recency struct {
	order    list.List // of string, the one touched longest ago first
	elements map[string]*list.Element
}

func (r *recency) touch(key string) {
	if e := r.elements[key]; e != nil {
		r.order.MoveToBack(e)
		return
	}
	if r.elements == nil {
		r.elements = make(map[string]*list.Element)
	}
	r.elements[key] = r.order.PushBack(key)
}

func (r *recency) remove(key string) {
	if e := r.elements[key]; e != nil {
		r.order.Remove(e)
		delete(r.elements, key)
	}
}

// oldest returns the key that was touched longest ago.
func (r *recency) oldest() (key string, ok bool) {
	e := r.order.Front()
	if e == nil {
		return "", false
	}
	return e.Value.(string), true
}

// updateAvailability tells the scheduler whether a worker whose agent has just
// reported can receive tasks. On a worker without a lease a run would be ended
// while its start order is in transit. The capacity that stray runs take is not
// recorded.
func (c *Core) updateAvailability(now time.Time, sess *session) {
	incarnation := sess.worker.Incarnation
	_, expiring := c.sessions.expiring[incarnation]
	leased := now.Before(c.sessions.leaseExpiries[incarnation])
	if !leased || expiring || !sess.hasLists || len(sess.strays) > 0 {
		c.sessions.removeWorker(incarnation)
		return
	}
	c.sessions.reportOrder.touch(incarnation)
	c.sessions.scheduler.SetWorker(c.machine.Submissions(), sess.worker)
}

// updateDeparture tells the scheduler whether a worker is leaving.
func (c *Core) updateDeparture(sess *session) {
	if !sess.leaving {
		c.sessions.scheduler.ClearDeparture(sess.worker.Incarnation)
		return
	}
	c.sessions.scheduler.SetDeparture(sess.worker.Incarnation, sess.earliestDeparture)
}

func (s *sessions) removeWorker(incarnation string) {
	s.reportOrder.remove(incarnation)
	s.scheduler.RemoveWorker(incarnation)
	s.scheduler.ClearDeparture(incarnation)
}

// dropSilentWorkers removes the workers whose agents have not reported for
// _maxReportAge.
func (s *sessions) dropSilentWorkers(now time.Time) {
	for {
		incarnation, ok := s.reportOrder.oldest()
		if !ok {
			return
		}
		if sess := s.byIncarnation[incarnation]; sess != nil && now.Sub(sess.lastReport) < _maxReportAge {
			return
		}
		s.reportOrder.remove(incarnation)
		s.scheduler.RemoveWorker(incarnation)
	}
}

// expiredLeases removes and returns the worker incarnations whose leases have
// expired.
func (s *sessions) expiredLeases(now time.Time) (out []string) {
	for {
		incarnation, ok := s.leaseOrder.oldest()
		if !ok || now.Before(s.leaseExpiries[incarnation]) {
			return out
		}
		s.leaseOrder.remove(incarnation)
		out = append(out, incarnation)
	}
}
