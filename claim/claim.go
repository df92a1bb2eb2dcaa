// Package claim keeps at-most-once requests from running twice.
//
// An agent claims a request's idempotency key before it sends the request to
// its target, records the answer after, and only then hands the answer out.
// What always holds: for one entry and key, one token at most is ever told to
// run; a claim whose outcome nobody recorded is never granted again while it
// is kept; a finished claim is answered with the first answer.
package claim

import (
	"sort"
	"time"

	"github.com/gentianrail/gentianrail/fault"
)

// Limits of what is kept.
const (
	KeepFor     = 24 * time.Hour // how long a key is remembered after it was claimed
	MostAnswer  = 64 << 10       // bytes of an answer's body that are kept
	MostKeySize = 255            // bytes of a key
)

// State tells how far a claimed request got.
type State uint8

const (
	// Running means that one attempt may be running the request.
	Running State = iota + 1
	// Finished means that the answer was recorded.
	Finished
)

// Header is one header line of a kept answer.
type Header struct {
	Name  string
	Value string
}

// Answer is a recorded answer of a target.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
	Whole   bool // false if the body was too large to keep
}

// Claim is one remembered key.
type Claim struct {
	Entry       string
	Key         string
	Fingerprint uint64 // hash of method, path and body; a resend has the same
	Token       string // attempt that may run the request
	State       State
	Deadline    time.Time // no attempt runs after it
	Expires     time.Time // when the key is forgotten
	Answer      Answer
}

type id struct{ entry, key string }

// Book is the aggregate of all claims. The zero value is empty and ready. It
// is not safe for concurrent use.
type Book struct {
	claims map[id]*Claim
	expiry []expiring // by time, oldest first; claims are added with rising times
}

type expiring struct {
	id    id
	token string
	at    time.Time
}

// Len returns the number of claims kept.
func (b *Book) Len() int { return len(b.claims) }

// Begin claims a key for c.Token and returns the claim in force. Without an
// error, a Running claim means that the token, and no other, may run the
// request; a Finished one has the first answer.
func (b *Book) Begin(c Claim, now time.Time) (Claim, error) {
	b.forget(now)
	k := id{c.Entry, c.Key}
	old, ok := b.claims[k]
	if !ok && !now.Before(c.Deadline) {
		return Claim{}, fault.New(fault.QueueTimeout, "the request's deadline passed before it was claimed")
	}
	if !ok {
		c.State = Running
		c.Expires = now.Add(KeepFor)
		b.Put(c)
		return c, nil
	}
	if old.Fingerprint != c.Fingerprint {
		return *old, fault.New(fault.KeyMismatch, "the idempotency key was used for another request")
	}
	if old.State == Finished {
		return *old, nil
	}
	if old.Token == c.Token {
		return *old, nil
	}
	if now.Before(old.Deadline) {
		return *old, fault.New(fault.KeyInProgress, "a request with this idempotency key is running").
			WithRetry(old.Deadline.Sub(now).Round(time.Second) + time.Second)
	}
	return *old, fault.New(fault.KeyUnknown, "a request with this idempotency key may have run; its outcome was lost")
}

// Finish records the answer of the attempt that holds the claim.
func (b *Book) Finish(entry, key, token string, a Answer) error {
	c, err := b.held(entry, key, token)
	if err != nil {
		return err
	}
	if c.State == Finished {
		return nil
	}
	c.State = Finished
	c.Answer = a
	return nil
}

// Release forgets the claim of an attempt that truly did not run.
func (b *Book) Release(entry, key, token string) error {
	c, err := b.held(entry, key, token)
	if err != nil {
		return err
	}
	if c.State == Finished {
		return fault.New(fault.StaleAttempt, "the request has finished")
	}
	delete(b.claims, id{entry, key})
	return nil
}

func (b *Book) held(entry, key, token string) (*Claim, error) {
	c, ok := b.claims[id{entry, key}]
	if !ok || c.Token != token {
		return nil, fault.New(fault.StaleAttempt, "the claim is not held by this attempt")
	}
	return c, nil
}

// Put stores a claim, as when a snapshot is read.
func (b *Book) Put(c Claim) {
	if b.claims == nil {
		b.claims = make(map[id]*Claim)
	}
	k := id{c.Entry, c.Key}
	b.claims[k] = &c
	b.expiry = append(b.expiry, expiring{id: k, token: c.Token, at: c.Expires})
}

// Claims returns all claims by the time at which they expire.
func (b *Book) Claims() []Claim {
	out := make([]Claim, 0, len(b.claims))
	for _, c := range b.claims {
		out = append(out, *c)
	}
	sort.Slice(out, func(i, j int) bool {
		if !out[i].Expires.Equal(out[j].Expires) {
			return out[i].Expires.Before(out[j].Expires)
		}
		if out[i].Entry != out[j].Entry {
			return out[i].Entry < out[j].Entry
		}
		return out[i].Key < out[j].Key
	})
	return out
}

func (b *Book) forget(now time.Time) {
	for len(b.expiry) > 0 && !now.Before(b.expiry[0].at) {
		e := b.expiry[0]
		b.expiry = b.expiry[1:]
		if c, ok := b.claims[e.id]; ok && c.Token == e.token {
			delete(b.claims, e.id)
		}
	}
}
