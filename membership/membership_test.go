package membership

import (
	"slices"
	"testing"
	"time"

	"github.com/gentianrail/gentianrail/replica"
)

func member(id, address string) replica.Member {
	return replica.Member{ID: replica.ID(id), Address: address}
}

func learner(id, address string) replica.Member {
	return replica.Member{ID: replica.ID(id), Address: address, Learner: true}
}

// TestNextMemberChange checks which change NextMembers chooses for a given
// group.
func TestNextMemberChange(t *testing.T) {
	now := time.Unix(1_000, 0)
	five := []replica.Member{member("a", "1"), member("b", "2"), member("c", "3"), member("d", "4"), member("e", "5")}
	tests := []struct {
		name        string
		members     []replica.Member
		sinceAnswer map[replica.ID]time.Duration
		behind      map[replica.ID]uint64
		applicants  []Applicant
		want        []replica.Member // nil for no change
	}{
		{name: "a complete group does not change", members: five},
		{
			name: "a replica with a lost disk joins as a learner", members: five,
			applicants: []Applicant{{ID: "e2", Address: "5", LastRequest: now}},
			want:       append(slices.Clone(five), learner("e2", "5")),
		},
		{
			name: "an expired join request is ignored", members: five,
			applicants: []Applicant{{ID: "e2", Address: "5", LastRequest: now.Add(-time.Minute)}},
		},
		{
			name: "a replica that lost its disk twice replaces its learner", members: append(slices.Clone(five), learner("e2", "5")),
			sinceAnswer: map[replica.ID]time.Duration{"e2": 2 * time.Second},
			applicants:  []Applicant{{ID: "e3", Address: "5", LastRequest: now}},
			want:        append(slices.Clone(five), learner("e3", "5")),
		},
		{
			name: "a learner that lags is not promoted", members: append(slices.Clone(five), learner("e2", "5")),
			behind: map[replica.ID]uint64{"e2": 500},
		},
		{
			name: "a learner replaces the voter at its address", members: append(slices.Clone(five), learner("e2", "5")),
			want: []replica.Member{member("a", "1"), member("b", "2"), member("c", "3"), member("d", "4"), member("e2", "5")},
		},
		{
			name: "a spare learner is not promoted while all voters respond", members: append(slices.Clone(five), learner("f", "6")),
		},
		{
			name: "a spare learner is promoted before an unresponsive voter is removed", members: append(slices.Clone(five), learner("f", "6")),
			sinceAnswer: map[replica.ID]time.Duration{"b": time.Minute},
			want:        append(slices.Clone(five), member("f", "6")),
		},
		{
			name: "a spare learner is promoted two seconds after a voter's last answer", members: append(slices.Clone(five), learner("f", "6")),
			sinceAnswer: map[replica.ID]time.Duration{"b": 2 * time.Second},
			want:        append(slices.Clone(five), member("f", "6")),
		},
		{
			name: "a spare learner is not promoted when a voter has answered a second ago", members: append(slices.Clone(five), learner("f", "6")),
			sinceAnswer: map[replica.ID]time.Duration{"b": time.Second},
		},
		{
			name:        "only one spare learner is promoted for one unresponsive voter",
			members:     append(slices.Clone(five), member("f", "6"), learner("g", "7")),
			sinceAnswer: map[replica.ID]time.Duration{"b": time.Minute},
			want:        []replica.Member{member("a", "1"), member("c", "3"), member("d", "4"), member("e", "5"), member("f", "6"), learner("g", "7")},
		},
		{
			name: "an unresponsive voter is removed if there are more voters than needed", members: append(slices.Clone(five), member("f", "6")),
			sinceAnswer: map[replica.ID]time.Duration{"b": time.Minute},
			want:        []replica.Member{member("a", "1"), member("c", "3"), member("d", "4"), member("e", "5"), member("f", "6")},
		},
		{
			name: "an unresponsive voter without a replacement stays", members: five,
			sinceAnswer: map[replica.ID]time.Duration{"b": time.Minute},
		},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := Group{Self: "a", DesiredVoters: 5, Members: tc.members, LastIndex: 1000, Applicants: tc.applicants}
			for _, m := range tc.members[1:] {
				g.Progress = append(g.Progress, replica.MemberProgress{
					Member: m, Match: 1000 - tc.behind[m.ID], Acked: now.Add(-tc.sinceAnswer[m.ID]),
				})
			}
			if got := g.NextMembers(now); !slices.Equal(got, tc.want) {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}
