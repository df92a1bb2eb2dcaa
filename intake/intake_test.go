package intake

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var _testLimits = Limits{
	Budget: 1 << 20, Reserve: 256 << 10, SmallBody: 16 << 10, ClientShare: 512 << 10,
	Stall: 300 * time.Millisecond, Grace: time.Second, MinRate: 16 << 10, MaxWait: time.Second, BodyTimeout: 30 * time.Second,
}

// sender is a simulated client that sends one body.
type sender struct {
	body      *Body
	address   string
	size      int64
	rate      int64 // bytes of one step of 10 ms; 0 for a client that has come to a halt
	haltAt    int64 // received bytes at which the client halts
	started   time.Time
	processed time.Time
	end       time.Time
}

const _step = 10 * time.Millisecond

// simulation runs senders against a ledger in steps of 10 ms.
type simulation struct {
	t       *testing.T
	ledger  *Ledger
	now     time.Time
	senders map[*Body]*sender
	done    []*sender
	cut     []*sender
}

func newSimulation(t *testing.T) *simulation {
	return &simulation{t: t, ledger: New(_testLimits), now: time.Unix(0, 0), senders: make(map[*Body]*sender)}
}

func (s *simulation) start(w sender) *sender {
	w.started = s.now
	w.body = s.ledger.Open(s.now, w.address)
	s.senders[w.body] = &w
	s.carryOut(s.ledger.Acquire(s.now, w.body, w.size))
	return &w
}

// moves reports whether the client keeps making progress.
func (w *sender) moves() bool { return w.rate > 0 && w.body.received < w.haltAt }

func (s *simulation) carryOut(a Actions) {
	for _, b := range a.Cut {
		w := s.senders[b]
		if w == nil {
			s.t.Fatal("a body was cut off twice, or after its end")
		}
		if !w.processed.IsZero() {
			s.t.Fatal("a body in processing was cut off")
		}
		if b.reason == Stalled && w.moves() && w.rate*100 >= _testLimits.MinRate {
			s.t.Fatalf("a body of %d bytes a second was cut off for being stalled after %s", w.rate*100, s.now.Sub(w.started))
		}
		s.cut = append(s.cut, w)
		delete(s.senders, b)
	}
	s.check()
	for _, b := range a.Cut {
		s.carryOut(s.ledger.Close(s.now, b))
	}
}

func (s *simulation) check() {
	var held int64
	clients := make(map[string]int64)
	for b := range s.ledger.bodies {
		held += b.held
		clients[b.client] += b.held
		if b.Waiting() && s.now.Sub(b.waitSince) > _testLimits.MaxWait+_step {
			s.t.Fatalf("a body has waited for %s", s.now.Sub(b.waitSince))
		}
	}
	if held != s.ledger.held || held > _testLimits.Budget {
		s.t.Fatalf("the bodies hold %d bytes, the ledger has %d, the budget is %d", held, s.ledger.held, _testLimits.Budget)
	}
	for address, n := range clients {
		if s.ledger.byClient[address].held != n {
			s.t.Fatalf("address %s holds %d bytes, the ledger has %d", address, n, s.ledger.byClient[address].held)
		}
	}
}

func (s *simulation) step() {
	s.now = s.now.Add(_step)
	for b, w := range s.senders {
		switch {
		case !w.processed.IsZero():
			if !s.now.Before(w.processed) {
				delete(s.senders, b)
				w.end = s.now
				s.done = append(s.done, w)
				s.carryOut(s.ledger.Close(s.now, b))
			}
		case b.Waiting() || b.reason != NoReason:
		case b.received >= w.size:
			a, ok := s.ledger.Complete(s.now, b)
			if !ok {
				s.t.Fatal("a body that was not cut off is incomplete")
			}
			w.processed = s.now.Add(50 * time.Millisecond)
			s.carryOut(a)
		case w.moves():
			s.ledger.Receive(s.now, b, min(w.rate, w.haltAt-b.received))
		}
	}
	s.carryOut(s.ledger.Advance(s.now))
}

// TestBudgetUnderRandomClients guards against a budget that is exceeded or leaks,
// a body in processing or in progress that is cut off, and a wait without a bound.
func TestBudgetUnderRandomClients(t *testing.T) {
	for seed := range uint64(60) {
		s := newSimulation(t)
		r := rand.New(rand.NewPCG(seed, 1))
		for range 400 {
			for range r.IntN(4) {
				size := int64(1 + r.IntN(200_000))
				w := sender{address: string(rune('a' + r.IntN(4))), size: size, rate: int64(200 + r.IntN(20_000)), haltAt: size}
				if r.IntN(2) == 0 {
					w.haltAt = r.Int64N(size)
				}
				s.start(w)
			}
			s.step()
		}
		for range 4000 {
			s.step()
		}
		if s.ledger.held != 0 || len(s.ledger.bodies) != 0 || len(s.ledger.byClient) != 0 || s.ledger.releasing != 0 || s.ledger.waiting != 0 || s.ledger.reading != 0 {
			t.Fatalf("seed %d: after the end of all clients the ledger has %+v", seed, s.ledger)
		}
	}
}

// TestStalledClientsAreCutOffForOthers guards against clients that stop just short
// of the end and keep the budget.
func TestStalledClientsAreCutOffForOthers(t *testing.T) {
	s := newSimulation(t)
	for range 100 {
		s.start(sender{address: "a", size: 100_000, rate: 50_000, haltAt: 99_993})
	}
	for range 20 {
		s.step()
	}
	w := s.start(sender{address: "b", size: 100_000, rate: 20_000, haltAt: 100_000})
	for range 200 {
		s.step()
	}
	if w.body.reason != NoReason || len(s.done) != 1 {
		t.Errorf("the body of another address was cut off (%s); %d are done", w.body.reason, len(s.done))
	}
}

// TestSmallBodyPassesLargeOnes guards against large bodies that keep ordinary
// requests waiting.
func TestSmallBodyPassesLargeOnes(t *testing.T) {
	s := newSimulation(t)
	for range 100 {
		s.start(sender{address: "a", size: 200_000, rate: 50_000, haltAt: 199_000})
	}
	w := s.start(sender{address: "a", size: 1000, rate: 1000, haltAt: 1000})
	if w.body.Waiting() {
		t.Error("a small body waits beside large ones")
	}
}

// TestOneAddressCannotTakeEverything guards against an address whose bodies, all in
// progress, leave nothing to others.
func TestOneAddressCannotTakeEverything(t *testing.T) {
	s := newSimulation(t)
	for range 50 {
		s.start(sender{address: "a", size: 100_000, rate: 200, haltAt: 100_000})
	}
	if w := s.start(sender{address: "b", size: 100_000, rate: 200, haltAt: 100_000}); w.body.Waiting() {
		t.Error("a body of another address waits")
	}
}

// TestNothingIsCutOffWithoutNeed guards against a slow client that is cut off
// before the time for a body although the budget has room.
func TestNothingIsCutOffWithoutNeed(t *testing.T) {
	s := newSimulation(t)
	s.start(sender{address: "a", size: 100_000, rate: 1, haltAt: 10})
	for range 2990 {
		s.step()
	}
	if len(s.cut) != 0 {
		t.Fatalf("cut off as %s", s.cut[0].body.reason)
	}
	for range 20 {
		s.step()
	}
	if len(s.cut) != 1 || s.cut[0].body.reason != TooSlow {
		t.Error("not cut off at the end of its time")
	}
}

// TestBodiesThatWaitForEachOtherEnd guards against bodies of unknown size that all
// hold a part of the budget and wait for more.
func TestBodiesThatWaitForEachOtherEnd(t *testing.T) {
	s := newSimulation(t)
	for range 40 {
		s.start(sender{address: "a", size: 10_000, rate: 10_000, haltAt: 10_000})
	}
	var wait []*sender
	for _, w := range s.senders {
		if w.body.Waiting() {
			continue
		}
		s.ledger.Receive(s.now, w.body, 10_000)
		w.size = 200_000
		w.haltAt = w.size
		wait = append(wait, w)
	}
	for _, w := range wait {
		s.carryOut(s.ledger.Acquire(s.now, w.body, 190_000))
	}
	for range 400 {
		s.step()
	}
	if len(s.done) == 0 {
		t.Error("none of the bodies was received completely")
	}
}

// TestOnlyAsManyAreCutOffAsNeeded guards against a body that drives out all stalled
// ones, and against the order in which they are cut off: the least progress first, on
// ties the one that holds most.
func TestOnlyAsManyAreCutOffAsNeeded(t *testing.T) {
	now := time.Unix(0, 0)
	l := New(_testLimits)
	open := func(address string, size int64) *Body {
		b := l.Open(now, address)
		l.Acquire(now, b, size)
		return b
	}
	var bodies []*Body
	for i, size := range []int64{100_000, 120_000, 110_000, 200_000, 190_000} {
		bodies = append(bodies, open(string(rune('a'+i)), size))
	}
	now = now.Add(200 * time.Millisecond)
	l.Receive(now, bodies[3], 1) // later progress than the others
	now = now.Add(250 * time.Millisecond)
	waiter := open("z", 150_000)
	if !waiter.Waiting() || bodies[4].Reason() != Stalled {
		t.Errorf("the waiting body drove out %q of the body that holds most without progress", bodies[4].Reason())
	}
	for i, b := range bodies[:4] {
		if b.Reason() != NoReason {
			t.Errorf("body %d was cut off as well", i)
		}
	}
	if a := l.Advance(now.Add(time.Millisecond)); len(a.Cut) != 0 {
		t.Errorf("%d more bodies were cut off while the first one is being closed", len(a.Cut))
	}
	if a := l.Close(now, bodies[4]); len(a.Granted) != 1 || a.Granted[0] != waiter {
		t.Errorf("the waiting body was not granted: %+v", a)
	}
}

// TestAddressBeyondItsShareCutsOffItsOwn guards against an address that drives out the
// bodies of others for its own.
func TestAddressBeyondItsShareCutsOffItsOwn(t *testing.T) {
	now := time.Unix(0, 0)
	l := New(_testLimits)
	var own []*Body
	other := l.Open(now, "b")
	l.Acquire(now, other, 100_000)
	for range 5 {
		b := l.Open(now, "a")
		l.Acquire(now, b, 100_000)
		own = append(own, b)
	}
	now = now.Add(time.Second)
	b := l.Open(now, "a")
	a := l.Acquire(now, b, 100_000)
	if len(a.Cut) != 1 || a.Cut[0] == other || other.Reason() != NoReason {
		t.Errorf("cut off: %d, the other address's body: %q", len(a.Cut), other.Reason())
	}
	l.Close(now, a.Cut[0])
	if b.Waiting() || len(own) != 5 {
		t.Error("the body still waits")
	}
}

// TestBodyWithoutUseGivesWay guards against a body that can't end by its deadline and
// keeps others waiting, one that is cut off in calm, and one that is kept beyond its
// deadline.
func TestBodyWithoutUseGivesWay(t *testing.T) {
	now := time.Unix(0, 0)
	const rate, size = 40_000, 800_000 // bytes per second; faster than MinRate
	open := func(l *Ledger) *Body {
		b := l.Open(now, "a")
		l.Expect(b, size, now.Add(2*time.Second))
		l.Acquire(now, b, 700_000)
		return b
	}
	var calm, busy *Ledger
	calm, busy = New(_testLimits), New(_testLimits)
	alone, slow := open(calm), open(busy)
	var waiting *Body
	for i := range 19 {
		if i == 5 {
			waiting = busy.Open(now, "b")
			busy.Acquire(now, waiting, 600_000)
		}
		now = now.Add(100 * time.Millisecond)
		calm.Receive(now, alone, rate/10)
		busy.Receive(now, slow, rate/10)
		calm.Advance(now)
		if a := busy.Advance(now); len(a.Cut) > 0 && a.Cut[0] != slow {
			t.Fatalf("the waiting body was cut off as %s", waiting.Reason())
		}
		if slow.Reason() != NoReason {
			busy.Close(now, slow)
		}
	}
	if slow.Reason() != Stalled || waiting.Waiting() {
		t.Errorf("the body without use: %q; the other one waits: %v", slow.Reason(), waiting.Waiting())
	}
	if alone.Reason() != NoReason {
		t.Errorf("a body was cut off in calm as %s", alone.Reason())
	}
	if calm.Advance(now.Add(200 * time.Millisecond)); alone.Reason() != TooSlow {
		t.Errorf("a body after its deadline: %q", alone.Reason())
	}
}

// TestWaitsEndByTurns guards against ordinary bodies that wait behind a queue of larger
// ones, and against large ones that wait behind a stream of ordinary ones.
func TestWaitsEndByTurns(t *testing.T) {
	now := time.Unix(0, 0)
	for _, stream := range []struct {
		name  string
		other int64 // size of the bodies that keep coming
		size  int64
	}{{"ordinary", 300_000, 100_000}, {"large", 100_000, 300_000}} {
		l := New(_testLimits)
		var holding []*Body
		open := func(size int64) *Body {
			b := l.Open(now, "a")
			l.Acquire(now, b, size)
			return b
		}
		for range 20 {
			holding = append(holding, open(stream.other))
		}
		b := open(stream.size)
		for ends := 0; b.Waiting(); ends++ {
			if ends == 2*len(holding) {
				t.Errorf("%s: the body still waits after the end of %d others", stream.name, ends)
				break
			}
			i := slices.IndexFunc(holding, func(b *Body) bool { return !b.Waiting() })
			l.Receive(now, holding[i], stream.other)
			l.Complete(now, holding[i])
			l.Close(now, holding[i])
			holding = append(slices.Delete(holding, i, i+1), open(stream.other))
			now = now.Add(time.Millisecond)
		}
	}
}
