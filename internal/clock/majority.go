package clock

import (
	"slices"
	"time"
)

// Parameters of Majority.
const (
	_readingTTL = 3 * time.Second // of a reading; machines report several times a second
	// Time for which an estimate is reused. A step of a minority's clocks does not
	// change the estimate.
	_estimateTTL = 50 * time.Millisecond
)

// Majority estimates the wall-clock time from readings of several machines'
// wall clocks. The estimate is off by no more than the clocks of the majority,
// whatever the clocks of the others show. Of two middle readings it uses the
// earlier one, so that with two clocks nothing happens before both allow it. The
// zero value has no readings.
type Majority struct {
	readings    map[string]reading // latest, by machine
	offset      time.Duration      // wall-clock time minus Now, as estimated last
	estimatedAt time.Time          // zero if readings has changed in a way that the estimate must reflect
}

// reading is one machine's wall clock.
type reading struct {
	at     time.Time     // when the reading arrived
	offset time.Duration // wall-clock time minus Now
}

// Record records that a machine's wall clock showed wall at the time now.
func (m *Majority) Record(now time.Time, machine string, wall time.Time) {
	if m.readings == nil {
		m.readings = make(map[string]reading)
	}
	if _, ok := m.readings[machine]; !ok {
		m.estimatedAt = time.Time{}
	}
	m.readings[machine] = reading{at: now, offset: wall.Sub(now)}
}

// Len returns the number of machines with a recent reading.
func (m *Majority) Len(now time.Time) int {
	n := 0
	for _, r := range m.readings {
		if now.Sub(r.at) < _readingTTL {
			n++
		}
	}
	return n
}

// Wall returns the estimated wall-clock time at the time now. ok is false if
// there is no recent reading.
func (m *Majority) Wall(now time.Time) (wall time.Time, ok bool) {
	if !m.estimatedAt.IsZero() && now.Sub(m.estimatedAt) < _estimateTTL {
		return now.Add(m.offset), true
	}
	offsets := make([]time.Duration, 0, len(m.readings))
	for machine, r := range m.readings {
		if now.Sub(r.at) >= _readingTTL {
			delete(m.readings, machine)
			continue
		}
		offsets = append(offsets, r.offset)
	}
	if len(offsets) == 0 {
		return time.Time{}, false
	}
	slices.Sort(offsets)
	m.offset, m.estimatedAt = offsets[(len(offsets)-1)/2], now
	return now.Add(m.offset), true
}

// Reset discards all readings.
func (m *Majority) Reset() { *m = Majority{} }
