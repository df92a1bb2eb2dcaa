package claim

import (
	"fmt"
	"testing"
	"time"
)

// TestDroppedAnswersKeepClaims guards against answers beyond the limit, an answer that is
// dropped although newer ones suffice, and a dropped answer whose request runs again.
func TestDroppedAnswersKeepClaims(t *testing.T) {
	var s Store
	const answers, size, limit = 10, 100, 450
	for i := range answers {
		c := Claim{Entry: "e", Key: fmt.Sprint(i), Token: "t", Deadline: _claimedAt.Add(time.Hour)}
		if _, err := s.Begin(c, _claimedAt.Add(time.Duration(i)*time.Second)); err != nil {
			t.Fatal(err)
		}
		if err := s.Finish("e", c.Key, "t", Answer{Status: 201, Body: make([]byte, size), BodyComplete: true}); err != nil {
			t.Fatal(err)
		}
	}
	if before := s.AnswersBeyond(answers * size); !before.IsZero() {
		t.Errorf("answers up to %s are to be dropped although the limit is kept", before)
	}
	s.DropAnswers(s.AnswersBeyond(limit))
	if got := s.AnswerBytes(); got != 4*size {
		t.Errorf("answers take %d bytes, want the newest %d", got, 4*size)
	}
	for i := range answers {
		got, err := s.Begin(Claim{Entry: "e", Key: fmt.Sprint(i), Token: "resend"}, _claimedAt.Add(time.Minute))
		if kept := i >= answers-4; err != nil || got.State != Finished || got.Answer.Status != 201 || got.Answer.BodyComplete != kept {
			t.Errorf("a resend of request %d gets %+v, %v", i, got.Answer, err)
		}
	}
	var restored Store
	for _, c := range s.Claims() {
		restored.Put(c)
	}
	if restored.AnswerBytes() != s.AnswerBytes() {
		t.Errorf("after a restart answers take %d bytes, before %d", restored.AnswerBytes(), s.AnswerBytes())
	}
	s.DropAnswers(s.AnswersBeyond(0))
	if got := s.AnswerBytes(); got != 0 {
		t.Errorf("answers take %d bytes, want none", got)
	}
	if _, err := s.Begin(Claim{Entry: "e", Key: "new", Token: "t", Deadline: _claimedAt.Add(100 * time.Hour)}, _claimedAt.Add(2*Retention)); err != nil || s.AnswerBytes() != 0 || s.Len() != 1 {
		t.Errorf("after the retention %d claims with %d bytes are left, %v", s.Len(), s.AnswerBytes(), err)
	}
}
