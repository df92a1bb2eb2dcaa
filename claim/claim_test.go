package claim

import (
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/fault"
)

var _claimedAt = time.Unix(1_000_000, 0)

func testClaim(token string, fingerprint uint64) Claim {
	return Claim{Entry: "quotes", Key: "k", Token: token, Fingerprint: fingerprint, Deadline: _claimedAt.Add(time.Second)}
}

// TestBeginForEachKeyState checks what Begin returns for each state of a key. A
// wrong grant would run an at-most-once request twice.
func TestBeginForEachKeyState(t *testing.T) {
	for _, tc := range []struct {
		name    string
		prepare func(s *Store)
		claim   Claim
		at      time.Duration
		code    fault.Code
		state   State
		token   string
	}{
		{"a free key", func(*Store) {}, testClaim("t1", 1), 0, fault.OK, Running, "t1"},
		{"a free key after the request's deadline", func(*Store) {}, testClaim("t1", 1), 2 * time.Second, fault.QueueTimeout, 0, ""},
		{"the same claim sent twice", beginClaim, testClaim("t1", 1), 0, fault.OK, Running, "t1"},
		{"a resend while the first attempt runs", beginClaim, testClaim("t2", 1), 0, fault.KeyInProgress, Running, "t1"},
		{"a resend after the outcome of the first attempt was lost", beginClaim, testClaim("t2", 1), 2 * time.Second, fault.KeyOutcomeUnknown, Running, "t1"},
		{"another request with the key", beginClaim, testClaim("t2", 2), 0, fault.KeyMismatch, Running, "t1"},
		{"a resend after the first attempt finished", finishClaim, testClaim("t2", 1), 0, fault.OK, Finished, "t1"},
		{"another request with the key after the first request finished", finishClaim, testClaim("t2", 2), 0, fault.KeyMismatch, Finished, "t1"},
		{"a resend after the first claim was released", releaseClaim, testClaim("t2", 1), 0, fault.OK, Running, "t2"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var s Store
			tc.prepare(&s)
			got, err := s.Begin(tc.claim, _claimedAt.Add(tc.at))
			if fault.CodeOf(err) != tc.code || got.State != tc.state || got.Token != tc.token {
				t.Errorf("got state %d, token %q, error %v; want state %d, token %q, code %d", got.State, got.Token, err, tc.state, tc.token, tc.code)
			}
		})
	}
}

func beginClaim(s *Store) { _, _ = s.Begin(testClaim("t1", 1), _claimedAt) }

func finishClaim(s *Store) {
	beginClaim(s)
	_ = s.Finish("quotes", "k", "t1", Answer{Status: 200, Body: []byte("first")})
}

func releaseClaim(s *Store) {
	beginClaim(s)
	_ = s.Release("quotes", "k", "t1")
}

// TestOnlyHolderFinishesClaimOnce guards against an answer or a release by a
// token that does not hold the claim, and against a second answer that
// replaces the first.
func TestOnlyHolderFinishesClaimOnce(t *testing.T) {
	var s Store
	beginClaim(&s)
	if err := s.Finish("quotes", "k", "t2", Answer{Status: 500}); fault.CodeOf(err) != fault.StaleAttempt {
		t.Errorf("finish by another token: %v", err)
	}
	if err := s.Release("quotes", "k", "t2"); fault.CodeOf(err) != fault.StaleAttempt {
		t.Errorf("release by another token: %v", err)
	}
	for _, body := range []string{"first", "second"} {
		if err := s.Finish("quotes", "k", "t1", Answer{Status: 200, Body: []byte(body)}); err != nil {
			t.Errorf("finish: %v", err)
		}
	}
	if err := s.Release("quotes", "k", "t1"); fault.CodeOf(err) != fault.StaleAttempt {
		t.Errorf("release of a finished claim: %v", err)
	}
	got, err := s.Begin(testClaim("t3", 1), _claimedAt)
	if err != nil || string(got.Answer.Body) != "first" {
		t.Errorf("got %q, %v, want the first answer", got.Answer.Body, err)
	}
}

// TestClaimsExpire guards against a key that is granted again before its
// retention ends, or that is never removed.
func TestClaimsExpire(t *testing.T) {
	var s Store
	beginClaim(&s)
	next := testClaim("t2", 1)
	next.Deadline = _claimedAt.Add(Retention + time.Second)
	if _, err := s.Begin(next, _claimedAt.Add(Retention-1)); fault.CodeOf(err) != fault.KeyOutcomeUnknown {
		t.Errorf("before the key expired: %v", err)
	}
	if got, err := s.Begin(next, _claimedAt.Add(Retention)); err != nil || got.Token != "t2" {
		t.Errorf("after the key expired: token %q, %v", got.Token, err)
	}
	if s.Len() != 1 {
		t.Errorf("%d claims are stored, want 1", s.Len())
	}
}
