// Package intake accounts for the bodies of requests that a process reads or
// processes at the same time, so that clients without restraint can't fill its
// memory.
//
// A body acquires its bytes from a budget before memory for them is allocated. If
// the budget is full, the body waits, and bodies that make no progress are cut off
// for it: first the one that has made the least progress for its time, on ties the
// one that holds most. A body that was received completely is being processed and
// is never cut off. The last part of the budget is reserved for small bodies, so
// that large ones can't keep ordinary requests waiting.
//
// The package has no I/O, clock or goroutine.
package intake

import "time"

// Limits are the limits of a Ledger.
type Limits struct {
	Budget      int64         // bytes that all bodies may hold
	Reserve     int64         // part of Budget that only small bodies may use
	SmallBody   int64         // bytes that a small body holds at most
	ClientShare int64         // bytes that the large bodies of one client address may hold beyond its first body
	Stall       time.Duration // without a received byte, after which a body may be cut off for others
	Grace       time.Duration // of a body before its rate counts
	MinRate     int64         // bytes per second; a slower body may be cut off for others, and one that is too slow for its deadline
	MaxWait     time.Duration // of a body for the budget
	BodyTimeout time.Duration // from a body's first read to its end
}

// Reason is why a body was cut off.
type Reason uint8

// Reasons of cutting off a body.
const (
	// NoReason is the reason of a body that was not cut off.
	NoReason Reason = iota
	// Stalled bodies made too little progress while others waited.
	Stalled
	// NoBudget bodies waited for the budget for too long, or held a part of it while
	// all bodies waited.
	NoBudget
	// TooSlow bodies did not end within the time for a body, or by their deadline.
	TooSlow
)

// String returns the reason's name in lower case.
func (r Reason) String() string {
	return [...]string{"", "stalled", "no_budget", "too_slow"}[r]
}

// Body is the account of one body. Only a Ledger changes it.
type Body struct {
	client    string
	sequence  uint64
	held      int64
	received  int64
	opened    time.Time // first read; the time that the body waited for the budget is added
	progress  time.Time // latest received byte, or the end of a wait
	wants     int64     // bytes that it waits for; 0 if it doesn't wait
	waitSince time.Time
	deadline  time.Time // for its end; zero for none
	size      int64     // announced bytes; 0 if unknown
	reading   bool      // bytes of the client are expected
	streaming bool      // received bytes are passed on, not held
	reason    Reason
}

// Held returns the bytes that the body holds.
func (b *Body) Held() int64 { return b.held }

// Received returns the bytes that were received.
func (b *Body) Received() int64 { return b.received }

// Reason returns why the body was cut off.
func (b *Body) Reason() Reason { return b.reason }

// Waiting reports whether the body waits for the budget.
func (b *Body) Waiting() bool { return b.wants > 0 }

// Actions are what the owner of a Ledger must do.
type Actions struct {
	Granted []*Body // waited and may go on
	Cut     []*Body // must be cut off; Close releases what they hold
}

// Ledger is the account of all bodies of a process.
type Ledger struct {
	limits    Limits
	bodies    map[*Body]struct{}
	byClient  map[string]*client
	held      int64
	releasing int64 // held by bodies that were cut off
	waiting   int
	reading   int // bodies of which bytes are expected, waiting ones included
	sequence  uint64

	smallestNext bool // the next wait to end is that of the smallest body, not the longest wait
}

// client is the account of a client address.
type client struct {
	bodies    int
	held      int64
	releasing int64 // held by bodies that were cut off
}

// anyAddress stands for all client addresses.
const anyAddress = "*"

// New returns a ledger without bodies.
func New(limits Limits) *Ledger {
	return &Ledger{limits: limits, bodies: make(map[*Body]struct{}), byClient: make(map[string]*client)}
}

// Held returns the bytes that all bodies hold.
func (l *Ledger) Held() int64 { return l.held }

// Reading returns the number of bodies that are being received.
func (l *Ledger) Reading() int { return l.reading }

// Open adds a body of a client address.
func (l *Ledger) Open(now time.Time, address string) *Body {
	l.sequence++
	b := &Body{client: address, sequence: l.sequence, opened: now, progress: now, reading: true}
	l.bodies[b] = struct{}{}
	l.reading++
	c := l.byClient[address]
	if c == nil {
		c = &client{}
		l.byClient[address] = c
	}
	c.bodies++
	return b
}

// Close removes a body and releases what it holds.
func (l *Ledger) Close(now time.Time, b *Body) Actions {
	if _, ok := l.bodies[b]; !ok {
		return Actions{}
	}
	l.stopReading(b)
	if b.reason != NoReason {
		l.releasing -= b.held
		l.byClient[b.client].releasing -= b.held
	}
	delete(l.bodies, b)
	l.release(b, b.held)
	c := l.byClient[b.client]
	if c.bodies--; c.bodies == 0 {
		delete(l.byClient, b.client)
	}
	return l.serveWaiting(now)
}

func (l *Ledger) release(b *Body, n int64) {
	b.held -= n
	l.held -= n
	l.byClient[b.client].held -= n
}

func (l *Ledger) stopReading(b *Body) {
	if b.wants > 0 {
		b.wants = 0
		l.waiting--
	}
	if b.reading {
		b.reading = false
		l.reading--
	}
}

// Expect sets the deadline for the end of a body, and its announced size or 0. After
// the deadline the body is of no use to its request.
func (l *Ledger) Expect(b *Body, size int64, deadline time.Time) {
	b.size, b.deadline = size, deadline
}

// Acquire lets a body hold n more bytes, at once or later: the body waits until it
// is among the granted or the cut off ones.
func (l *Ledger) Acquire(now time.Time, b *Body, n int64) Actions {
	if b.reason != NoReason || n <= 0 {
		return Actions{}
	}
	b.wants, b.waitSince = n, now
	l.waiting++
	if l.waiting == 1 && l.fits(b) {
		l.grant(now, b)
		return Actions{Granted: []*Body{b}}
	}
	return l.serveWaiting(now)
}

// Receive records that bytes of the body were received.
func (l *Ledger) Receive(now time.Time, b *Body, n int64) {
	if n <= 0 {
		return
	}
	b.received += n
	b.progress = now
}

// Stream records that the bytes that follow are passed on instead of held, or that
// more of them are expected now.
func (l *Ledger) Stream(now time.Time, b *Body, expected bool) {
	b.streaming = true
	b.opened, b.progress = now, now
	if b.reason != NoReason || b.reading == expected {
		return
	}
	b.reading = expected
	if expected {
		l.reading++
	} else {
		l.reading--
	}
}

// Complete records that the body was received completely and is being processed.
// It returns false if the body was cut off before.
func (l *Ledger) Complete(now time.Time, b *Body) (Actions, bool) {
	if b.reason != NoReason {
		return Actions{}, false
	}
	l.stopReading(b)
	if spare := b.held - b.received; spare > 0 {
		l.release(b, spare)
	}
	if l.waiting == 0 {
		return Actions{}, true
	}
	return l.serveWaiting(now), true
}

// Advance ends waits and bodies that have taken too long, and cuts off bodies that
// have come to a halt while others wait.
func (l *Ledger) Advance(now time.Time) Actions {
	var a Actions
	for b := range l.bodies {
		switch {
		case b.reason != NoReason:
		case b.wants > 0 && now.Sub(b.waitSince) >= l.limits.MaxWait:
			l.cut(b, NoBudget, &a)
		case b.reading && !b.deadline.IsZero() && !now.Before(b.deadline):
			l.cut(b, TooSlow, &a)
		case b.reading && b.wants == 0 && now.Sub(b.opened) >= l.limits.BodyTimeout:
			l.cut(b, TooSlow, &a)
		}
	}
	more := l.serveWaiting(now)
	return Actions{Granted: more.Granted, Cut: append(a.Cut, more.Cut...)}
}

// CutStalled cuts off the body that has made the least progress for its time, if
// there is one that may be cut off. It makes room for a new connection.
func (l *Ledger) CutStalled(now time.Time) Actions {
	var a Actions
	if b := l.stalled(now, anyAddress, false); b != nil {
		l.cut(b, Stalled, &a)
	}
	return a
}

func (l *Ledger) cut(b *Body, r Reason, a *Actions) {
	l.stopReading(b)
	b.reason = r
	l.releasing += b.held
	l.byClient[b.client].releasing += b.held
	a.Cut = append(a.Cut, b)
}

// isSmall reports whether the body is small with the bytes that it waits for.
func (l *Ledger) isSmall(b *Body) bool { return b.held+b.wants <= l.limits.SmallBody }

// free returns the bytes that a body may acquire from the budget.
func (l *Ledger) free(b *Body) int64 {
	limit := l.limits.Budget
	if !l.isSmall(b) {
		limit -= l.limits.Reserve
	}
	return limit - l.held
}

func (l *Ledger) fits(b *Body) bool { return b.wants <= l.free(b) && l.shareExcess(b) <= 0 }

// shareExcess returns by how many bytes the client address would exceed its share with
// what the body waits for. One body and small bodies are always within the share.
func (l *Ledger) shareExcess(b *Body) int64 {
	held := l.byClient[b.client].held
	if held == b.held || l.isSmall(b) {
		return 0
	}
	return held + b.wants - l.limits.ClientShare
}

func (l *Ledger) grant(now time.Time, b *Body) {
	b.held += b.wants
	l.held += b.wants
	l.byClient[b.client].held += b.wants
	b.opened = b.opened.Add(now.Sub(b.waitSince))
	b.progress = now
	b.wants = 0
	l.waiting--
}

// serveWaiting grants what fits, small and large bodies each in turn, and cuts off
// bodies for the first ones that don't fit.
func (l *Ledger) serveWaiting(now time.Time) Actions {
	var a Actions
	for _, small := range [...]bool{true, false} {
		for l.waiting > 0 {
			b := l.nextWaiting(small)
			if b == nil {
				break
			}
			if l.fits(b) {
				l.grant(now, b)
				a.Granted = append(a.Granted, b)
				l.smallestNext = !l.smallestNext
				continue
			}
			l.makeRoom(now, b, &a)
			break
		}
	}
	return a
}

// nextWaiting returns the waiting body whose client address holds least. Of these it
// returns by turns the one that has waited longest and the one that wants least: the
// bodies of ordinary callers seldom are the largest.
func (l *Ledger) nextWaiting(small bool) *Body {
	var best *Body
	var bestHeld int64
	for b := range l.bodies {
		if b.wants == 0 || l.isSmall(b) != small {
			continue
		}
		held := l.byClient[b.client].held - b.held
		if best == nil || held < bestHeld || held == bestHeld && l.precedes(b, best) {
			best, bestHeld = b, held
		}
	}
	return best
}

// precedes reports whether the wait of a ends before that of b.
func (l *Ledger) precedes(a, b *Body) bool {
	if l.smallestNext && a.wants != b.wants {
		return a.wants < b.wants
	}
	return a.waitSince.Before(b.waitSince) || a.waitSince.Equal(b.waitSince) && a.sequence < b.sequence
}

// makeRoom cuts off bodies until what they hold is enough for b. If the client address
// of b exceeds its share, its own bodies give way.
func (l *Ledger) makeRoom(now time.Time, b *Body, a *Actions) {
	for {
		address := anyAddress
		if l.shareExcess(b) > l.byClient[b.client].releasing {
			address = b.client
		} else if l.releasing >= b.wants-l.free(b) {
			return
		}
		victim, reason := l.stalled(now, address, true), Stalled
		if victim == nil && l.reading == l.waiting && l.held == l.heldByWaiting()+l.releasing && now.Sub(b.waitSince) >= l.limits.Stall {
			// Each body waits for what the others hold, so none makes progress.
			victim, reason = l.leastReceived(b, address), NoBudget
		}
		if victim == nil {
			return
		}
		l.cut(victim, reason, a)
	}
}

func (l *Ledger) heldByWaiting() int64 {
	var n int64
	for b := range l.bodies {
		if b.wants > 0 {
			n += b.held
		}
	}
	return n
}

// leastReceived returns the waiting body of a client address, other than except, that
// holds something and has received least; on ties the latest.
func (l *Ledger) leastReceived(except *Body, address string) *Body {
	var worst *Body
	for b := range l.bodies {
		if b == except || b.wants == 0 || b.held == 0 || address != anyAddress && b.client != address {
			continue
		}
		if worst == nil || b.received < worst.received || b.received == worst.received && b.sequence > worst.sequence {
			worst = b
		}
	}
	return worst
}

// expiry returns the time from which a body may be cut off for others: its progress
// is less than that of a body of MinRate, or it has come to a halt.
func (l *Ledger) expiry(b *Body) time.Time {
	halt := b.progress.Add(l.limits.Stall)
	if b.streaming {
		return halt
	}
	slow := b.opened.Add(l.limits.Grace + time.Duration(float64(b.received)/l.neededRate(b)*float64(time.Second)))
	if slow.Before(halt) {
		return slow
	}
	return halt
}

// neededRate returns the bytes per second below which a body may be cut off for others:
// it is slower than MinRate, or won't end by its deadline.
func (l *Ledger) neededRate(b *Body) float64 {
	rate := float64(l.limits.MinRate)
	if d := b.deadline.Sub(b.opened); b.size > 0 && d > 0 {
		rate = max(rate, float64(b.size)/d.Seconds())
	}
	return rate
}

// stalled returns the body of a client address that has made the least progress for
// its time, if it may be cut off; on ties, the one that holds most. With holding, bodies
// that hold nothing don't count.
func (l *Ledger) stalled(now time.Time, address string, holding bool) *Body {
	var worst *Body
	var worstExpiry time.Time
	for b := range l.bodies {
		if !b.reading || b.wants > 0 || holding && b.held == 0 || address != anyAddress && b.client != address {
			continue
		}
		e := l.expiry(b)
		if e.After(now) {
			continue
		}
		if worst == nil || e.Before(worstExpiry) || e.Equal(worstExpiry) && (b.held > worst.held || b.held == worst.held && b.sequence > worst.sequence) {
			worst, worstExpiry = b, e
		}
	}
	return worst
}
