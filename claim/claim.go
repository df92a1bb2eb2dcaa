// Package claim prevents at-most-once requests from running twice.
//
// An agent claims a request's idempotency key before it sends the request to
// its target, then records the answer, and only then returns the answer to the
// caller. Three invariants hold: for one entry and key, at most one token at a
// time is granted the right to run the request; a claim without a recorded
// outcome is not granted again until the claim is released or expires; a
// finished claim always returns the first answer.
package claim

import (
	"sort"
	"time"

	"github.com/gentianrail/gentianrail/fault"
)

// Limits of stored claims.
const (
	Retention      = 24 * time.Hour // retention of a key, from its claim on
	MaxAnswerBytes = 64 << 10       // maximum size of a stored answer's body, in bytes
	MaxKeyBytes    = 255            // maximum length of a key, in bytes
)

// State is a claim's place in its life cycle.
type State uint8

const (
	// Running means that one attempt may be running the request.
	Running State = iota + 1
	// Finished means that the answer was recorded.
	Finished
)

// Header is one header line of a stored answer.
type Header struct {
	Name  string
	Value string
}

// Answer is a recorded answer of a target.
type Answer struct {
	Status       int
	Headers      []Header
	Body         []byte
	BodyComplete bool // false if the body was too large to store, or was dropped
}

// bytes returns about how much memory the answer takes.
func (a *Answer) bytes() int64 {
	n := int64(len(a.Body))
	for _, h := range a.Headers {
		n += int64(len(h.Name) + len(h.Value))
	}
	return n
}

// Claim is a claimed idempotency key with the answer to its request, if any.
type Claim struct {
	Entry       string
	Key         string
	Fingerprint uint64 // hash of method, path and body; a resend has the same
	Token       string // identifies the attempt that may run the request
	State       State
	Deadline    time.Time // no attempt runs after it
	Expires     time.Time // when the claim is removed
	Answer      Answer
}

// idempotencyKey is a caller's key in the scope of its entry.
type idempotencyKey struct{ entry, key string }

// Store holds all claims. The zero value is empty and ready. It is not safe for
// concurrent use.
type Store struct {
	claims      map[idempotencyKey]*Claim
	expiryQueue []expiryEntry // sorted by time, since claims are added with increasing times
	answerBytes int64         // of the stored answers
}

// expiryEntry states when the claim with the given token expires.
type expiryEntry struct {
	key   idempotencyKey
	token string
	at    time.Time
}

// Len returns the number of stored claims.
func (s *Store) Len() int { return len(s.claims) }

// AnswerBytes returns about how much memory the stored answers take.
func (s *Store) AnswerBytes() int64 { return s.answerBytes }

// AnswersBeyond returns the time before which claims expire whose answers are to be
// dropped, so that at most limit bytes of answers remain. It is zero if there are none.
func (s *Store) AnswersBeyond(limit int64) time.Time {
	left := s.answerBytes
	var before time.Time
	for i := range s.expiryQueue {
		if left <= limit {
			break
		}
		e := &s.expiryQueue[i]
		if c, ok := s.claims[e.key]; ok && c.Token == e.token && c.State == Finished {
			left -= c.Answer.bytes()
			before = e.at.Add(1)
		}
	}
	return before
}

// DropAnswers drops the answers of the claims that expire before a time. The claims stay,
// so that their requests don't run again.
func (s *Store) DropAnswers(before time.Time) {
	for i := range s.expiryQueue {
		e := &s.expiryQueue[i]
		if !e.at.Before(before) {
			return
		}
		if c, ok := s.claims[e.key]; ok && c.Token == e.token && c.State == Finished {
			s.answerBytes -= c.Answer.bytes()
			c.Answer = Answer{Status: c.Answer.Status}
		}
	}
}

// Begin claims a key for c.Token and returns the current claim on the key. If
// the error is nil, a Running claim grants the token, and no other, the right
// to run the request, and a Finished claim has the first answer.
func (s *Store) Begin(c Claim, now time.Time) (Claim, error) {
	s.prune(now)
	k := idempotencyKey{c.Entry, c.Key}
	old, ok := s.claims[k]
	if !ok && !now.Before(c.Deadline) {
		return Claim{}, fault.New(fault.QueueTimeout, "the request's deadline passed before it was claimed")
	}
	if !ok {
		c.State = Running
		c.Expires = now.Add(Retention)
		s.Put(c)
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
			WithRetryAfter(old.Deadline.Sub(now).Round(time.Second) + time.Second)
	}
	return *old, fault.New(fault.KeyOutcomeUnknown, "a request with this idempotency key may have run; its outcome was lost")
}

// Finish records the answer of the attempt that holds the claim.
func (s *Store) Finish(entry, key, token string, a Answer) error {
	c, err := s.claimHeldBy(entry, key, token)
	if err != nil {
		return err
	}
	if c.State == Finished {
		return nil
	}
	c.State = Finished
	c.Answer = a
	s.answerBytes += a.bytes()
	return nil
}

// Release removes the claim of an attempt that certainly did not run.
func (s *Store) Release(entry, key, token string) error {
	c, err := s.claimHeldBy(entry, key, token)
	if err != nil {
		return err
	}
	if c.State == Finished {
		return fault.New(fault.StaleAttempt, "the request has finished")
	}
	delete(s.claims, idempotencyKey{entry, key})
	return nil
}

// claimHeldBy returns the claim on a key if the token holds the claim.
func (s *Store) claimHeldBy(entry, key, token string) (*Claim, error) {
	c, ok := s.claims[idempotencyKey{entry, key}]
	if !ok || c.Token != token {
		return nil, fault.New(fault.StaleAttempt, "the claim is not held by this attempt")
	}
	return c, nil
}

// Put stores a claim as it is, for example from a snapshot.
func (s *Store) Put(c Claim) {
	if s.claims == nil {
		s.claims = make(map[idempotencyKey]*Claim)
	}
	k := idempotencyKey{c.Entry, c.Key}
	s.claims[k] = &c
	s.answerBytes += c.Answer.bytes()
	s.expiryQueue = append(s.expiryQueue, expiryEntry{key: k, token: c.Token, at: c.Expires})
}

// Claims returns all claims, sorted by the time at which they expire.
func (s *Store) Claims() []Claim {
	out := make([]Claim, 0, len(s.claims))
	for _, c := range s.claims {
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

func (s *Store) prune(now time.Time) {
	for len(s.expiryQueue) > 0 && !now.Before(s.expiryQueue[0].at) {
		e := s.expiryQueue[0]
		s.expiryQueue = s.expiryQueue[1:]
		if c, ok := s.claims[e.key]; ok && c.Token == e.token {
			s.answerBytes -= c.Answer.bytes()
			delete(s.claims, e.key)
		}
	}
}
