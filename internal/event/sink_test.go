package event

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// stuck is a reader that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

// TestStuckReader writes more lines than the sink holds to a reader that takes
// none: no write waits, and the lines that were dropped are told of.
func TestStuckReader(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	s := NewSink(out)
	const lines = 3 * _sinkLines
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range lines {
			fmt.Fprintf(s, "line %d\n", i)
		}
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("a write waits for the reader")
	}
	if s.Dropped() < lines-_sinkLines-1 {
		t.Errorf("%d lines were dropped, want at least %d", s.Dropped(), lines-_sinkLines-1)
	}
	close(out.release)
	s.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	if text := out.got.String(); !strings.Contains(text, "line 0\n") || !strings.Contains(text, `"lines_dropped"`) {
		t.Errorf("the first line or the count is missing in %d bytes", len(text))
	}
}

func TestRepeatsAreBounded(t *testing.T) {
	l := &limiter{}
	now := time.Unix(1000, 0)
	written := 0
	for range 5 * _mostLines {
		if ok, _ := l.take(now, RunEnded); ok {
			written++
		}
	}
	if written != _mostLines {
		t.Errorf("%d lines in a second, want %d", written, _mostLines)
	}
	if ok, _ := l.take(now, RunPlaced); !ok {
		t.Error("another event is left out")
	}
	if ok, left := l.take(now.Add(time.Second), RunEnded); !ok || left != 4*_mostLines {
		t.Errorf("the next line: %t, %d left out, want %d", ok, left, 4*_mostLines)
	}
}

// TestEveryEventIsWritten emits each event of the table.
func TestEveryEventIsWritten(t *testing.T) {
	var out bytes.Buffer
	counted := make(map[string]int)
	log := NewLog(&out, JSON, logrus.DebugLevel).Counting(func(name string) { counted[name]++ })
	for _, d := range Definitions() {
		out.Reset()
		log.Emit(d.Number, Fields{"request": "r1"}, "m")
		for _, want := range []string{fmt.Sprintf(`"event":%d`, d.Number), fmt.Sprintf(`"event_name":%q`, d.Name), `"request":"r1"`, `"time":`} {
			if !strings.Contains(out.String(), want) {
				t.Errorf("%s: no %s in %s", d.Name, want, out.String())
			}
		}
		if counted[d.Name] != 1 {
			t.Errorf("%s was counted %d times", d.Name, counted[d.Name])
		}
	}
}
