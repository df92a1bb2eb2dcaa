package controller

import (
	"time"

	"github.com/gentianrail/gentianrail/dispatch"
)

// Parameters of the wall-clock time that a new leader uses.
const (
	_settleTime     = time.Second // after an election, until which few readings are not enough
	_settleReadings = 5           // machines whose wall clocks are enough within _settleTime
)

// logClock converts the time of this process to log time. Log time continues
// across leaders and restarts: it advances like the steady clock of the process
// that leads and never jumps, whatever the wall clocks show. It does not count
// the time during which no controller runs. The zero value starts at the time of
// the process.
type logClock struct {
	base time.Time // log time at the time at; zero if no log time is known
	at   time.Time
}

// advance records that the log contains the log time t at the time now.
func (l *logClock) advance(now, t time.Time) {
	if t.After(l.time(now)) || l.base.IsZero() {
		l.base, l.at = t, now
	}
}

// time returns the log time at the time now.
func (l *logClock) time(now time.Time) time.Time {
	if l.base.IsZero() {
		return now
	}
	return l.base.Add(now.Sub(l.at))
}

// clocks returns the present time on all clocks. The wall-clock time is that of
// the majority of the attached workers' machines and this one: occurrences must
// not start early because this machine's wall clock has stepped.
func (c *Core) clocks(now, ownWall time.Time) dispatch.Clocks {
	at := dispatch.Clocks{Now: now, Log: c.logClock.time(now)}
	c.sessions.wallClocks.Record(now, "", ownWall)
	if now.Sub(c.sessions.leaderSince) < _settleTime && c.sessions.wallClocks.Len(now) < _settleReadings {
		return at
	}
	if wall, ok := c.sessions.wallClocks.Wall(now); ok {
		at.Wall = wall
	}
	return at
}
