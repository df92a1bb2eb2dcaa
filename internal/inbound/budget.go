package inbound

import (
	"sync"
	"time"

	"github.com/gentianrail/gentianrail/intake"
)

const _sweepInterval = 100 * time.Millisecond // between checks of messages that are being received

// Budget is the budget of the messages that listeners receive.
type Budget struct {
	observer *Observer

	mu       sync.Mutex
	ledger   *intake.Ledger
	accounts map[*intake.Body]*Account
	sweeping bool
}

// NewBudget returns a budget.
func NewBudget(limits intake.Limits, o *Observer) *Budget {
	return &Budget{observer: o, ledger: intake.New(limits), accounts: make(map[*intake.Body]*Account)}
}

// Account is the account of one message. Its methods are called by the goroutine that
// reads the message.
type Account struct {
	budget    *Budget
	body      *intake.Body
	client    string
	interrupt func()        // ends a read of the message at once
	awake     chan struct{} // of size one; a wait may be over
}

// Open adds a message of a client address. interrupt is called when it is cut off.
func (b *Budget) Open(client string, interrupt func()) *Account {
	a := &Account{budget: b, client: client, interrupt: interrupt, awake: make(chan struct{}, 1)}
	b.mu.Lock()
	defer b.mu.Unlock()
	a.body = b.ledger.Open(time.Now(), client)
	b.accounts[a.body] = a
	return a
}

// Held returns the bytes that all messages hold.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.Held()
}

// CutStalled cuts off a message that has come to a halt, if there is one.
func (b *Budget) CutStalled() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	actions := b.ledger.CutStalled(time.Now())
	b.carryOut(actions)
	return len(actions.Cut) > 0
}

// carryOut wakes granted messages and interrupts those that were cut off. b.mu is held.
func (b *Budget) carryOut(actions intake.Actions) {
	for _, body := range actions.Granted {
		if a := b.accounts[body]; a != nil {
			a.wake()
		}
	}
	for _, body := range actions.Cut {
		a := b.accounts[body]
		if a == nil {
			continue
		}
		b.observer.recordCut(body.Reason(), a.client)
		a.wake()
		a.interrupt()
	}
	b.observer.held.Update(b.ledger.Held())
	if !b.sweeping && b.ledger.Reading() > 0 {
		b.sweeping = true
		time.AfterFunc(_sweepInterval, b.sweep)
	}
}

func (b *Budget) sweep() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sweeping = false
	b.carryOut(b.ledger.Advance(time.Now()))
}

func (a *Account) wake() {
	select {
	case a.awake <- struct{}{}:
	default:
	}
}

// Acquire waits until the message may hold n more bytes. The reason is that of a
// message that was cut off. room is how many bytes it may receive.
func (a *Account) Acquire(n int64) (room int64, reason intake.Reason) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.body.Held() <= a.body.Received() {
		b.carryOut(b.ledger.Acquire(time.Now(), a.body, n))
	}
	for a.body.Waiting() {
		b.mu.Unlock()
		<-a.awake
		b.mu.Lock()
	}
	return a.body.Held() - a.body.Received(), a.body.Reason()
}

// Expect sets the deadline for the end of the message, and its announced size or 0.
func (a *Account) Expect(size int64, deadline time.Time) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.ledger.Expect(a.body, size, deadline)
}

// Held returns the bytes that the message holds.
func (a *Account) Held() int64 {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.body.Held()
}

// Receive records received bytes.
func (a *Account) Receive(n int) intake.Reason {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.ledger.Receive(time.Now(), a.body, int64(n))
	return a.body.Reason()
}

// Complete records that the message was received completely. The reason is that of a
// message that was cut off before.
func (a *Account) Complete() intake.Reason {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	actions, _ := a.budget.ledger.Complete(time.Now(), a.body)
	a.budget.carryOut(actions)
	return a.body.Reason()
}

// Stream records that the bytes that follow are passed on instead of held, and whether
// some are expected now.
func (a *Account) Stream(expected bool) intake.Reason {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.ledger.Stream(time.Now(), a.body, expected)
	a.budget.carryOut(intake.Actions{}) // begins the checks of its progress
	return a.body.Reason()
}

// Close releases what the message holds.
func (a *Account) Close() {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.accounts, a.body)
	b.carryOut(b.ledger.Close(time.Now(), a.body))
}
