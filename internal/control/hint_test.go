package control

import "testing"

// TestHintGoesFirst keeps a client from asking a leader that has fallen silent
// while another one is heard already.
func TestHintGoesFirst(t *testing.T) {
	c := NewClient([]string{"10.0.0.1:1"})
	old, heard := "10.0.0.2:1", ""
	c.leader.Store(&old)
	c.SetHint(func() string { return heard })
	if got := c.LeaderAddress(); got != old {
		t.Errorf("without a hint: got %s, want the leader of the last call", got)
	}
	heard = "10.0.0.3:1"
	if got := c.LeaderAddress(); got != heard {
		t.Errorf("got %s, want the leader that is heard", got)
	}
}
