package event

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// TestEventsPageMatchesDefinitions checks that docs/EVENTS.md lists the events of
// the code with their numbers, names and levels.
func TestEventsPageMatchesDefinitions(t *testing.T) {
	data, err := os.ReadFile("../../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	var want []string
	for _, d := range Definitions() {
		want = append(want, fmt.Sprintf("| %d | %s | %s |", d.Number, d.Name, strings.TrimSuffix(d.Level.String(), "ing")))
	}
	var got []string
	for _, line := range strings.Split(string(data), "\n") {
		cells := strings.Split(line, " | ")
		if len(cells) > 4 && cells[0] != "| event" && !strings.HasPrefix(line, "| ---") {
			got = append(got, strings.Join(cells[:3], " | ")+" |")
		}
	}
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("docs/EVENTS.md has\n%s\nthe code has\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}
