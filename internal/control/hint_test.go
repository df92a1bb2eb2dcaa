package control

import "testing"

// TestLeaderHintPrecedesLastLeader guards against a client that calls an
// unresponsive former leader although the hint names the new one.
func TestLeaderHintPrecedesLastLeader(t *testing.T) {
	c := NewClient([]string{"10.0.0.1:1"})
	old, hinted := "10.0.0.2:1", ""
	c.leader.Store(&old)
	c.SetLeaderHint(func() string { return hinted })
	if got := c.LeaderAddress(); got != old {
		t.Errorf("without a hint: got %s, want the leader of the last call", got)
	}
	hinted = "10.0.0.3:1"
	if got := c.LeaderAddress(); got != hinted {
		t.Errorf("got %s, want the leader of the hint", got)
	}
}
