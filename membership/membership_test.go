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

func TestNext(t *testing.T) {
	now := time.Unix(1_000, 0)
	five := []replica.Member{member("a", "1"), member("b", "2"), member("c", "3"), member("d", "4"), member("e", "5")}
	tests := []struct {
		name       string
		members    []replica.Member
		silent     map[replica.ID]time.Duration
		behind     map[replica.ID]uint64
		applicants []Applicant
		want       []replica.Member // nil for no change
	}{
		{name: "a whole group stays", members: five},
		{
			name: "a lost disk joins as a learner", members: five,
			applicants: []Applicant{{ID: "e2", Address: "5", Heard: now}},
			want:       append(slices.Clone(five), learner("e2", "5")),
		},
		{
			name: "an old application does not count", members: five,
			applicants: []Applicant{{ID: "e2", Address: "5", Heard: now.Add(-time.Minute)}},
		},
		{
			name: "one that lost its disk twice joins in place of its learner", members: append(slices.Clone(five), learner("e2", "5")),
			silent:     map[replica.ID]time.Duration{"e2": 2 * time.Second},
			applicants: []Applicant{{ID: "e3", Address: "5", Heard: now}},
			want:       append(slices.Clone(five), learner("e3", "5")),
		},
		{
			name: "a learner that is behind waits", members: append(slices.Clone(five), learner("e2", "5")),
			behind: map[replica.ID]uint64{"e2": 500},
		},
		{
			name: "a learner takes the place of the voter at its address", members: append(slices.Clone(five), learner("e2", "5")),
			want: []replica.Member{member("a", "1"), member("b", "2"), member("c", "3"), member("d", "4"), member("e2", "5")},
		},
		{
			name: "a spare learner waits while all voters answer", members: append(slices.Clone(five), learner("f", "6")),
		},
		{
			name: "a spare learner becomes a voter before a silent one is removed", members: append(slices.Clone(five), learner("f", "6")),
			silent: map[replica.ID]time.Duration{"b": time.Minute},
			want:   append(slices.Clone(five), member("f", "6")),
		},
		{
			name: "a silent voter is removed when there are more than needed", members: append(slices.Clone(five), member("f", "6")),
			silent: map[replica.ID]time.Duration{"b": time.Minute},
			want:   []replica.Member{member("a", "1"), member("c", "3"), member("d", "4"), member("e", "5"), member("f", "6")},
		},
		{
			name: "a silent voter without a successor stays", members: five,
			silent: map[replica.ID]time.Duration{"b": time.Minute},
		},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := Group{Self: "a", Replicas: 5, Members: tc.members, LastIndex: 1000, Applicants: tc.applicants}
			for _, m := range tc.members[1:] {
				g.Standings = append(g.Standings, replica.Standing{
					Member: m, Match: 1000 - tc.behind[m.ID], Acked: now.Add(-tc.silent[m.ID]),
				})
			}
			if got := g.Next(now); !slices.Equal(got, tc.want) {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}
