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

// blockedWriter blocks every write until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.got.Write(p)
}

// TestSinkDropsLinesWhenWriterBlocks writes more lines than the sink holds while
// its output blocks. No write may block, and the sink must report the dropped
// lines.
func TestSinkDropsLinesWhenWriterBlocks(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	s := NewSink(out)
	const lines = 3 * _maxWaitingLines
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
		t.Fatal("a write blocks on the output")
	}
	if s.Dropped() < lines-_maxWaitingLines-1 {
		t.Errorf("%d lines dropped, want at least %d", s.Dropped(), lines-_maxWaitingLines-1)
	}
	close(out.release)
	s.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	if text := out.got.String(); !strings.Contains(text, "line 0\n") || !strings.Contains(text, `"lines_dropped"`) {
		t.Errorf("the first line or the report of dropped lines is missing in %d bytes", len(text))
	}
}

func TestLimiterBoundsLinesPerEvent(t *testing.T) {
	l := &limiter{}
	now := time.Unix(1000, 0)
	written := 0
	for range 5 * _maxLinesPerSecond {
		if ok, _ := l.allowLine(now, RunEnded); ok {
			written++
		}
	}
	if written != _maxLinesPerSecond {
		t.Errorf("%d lines in a second, want %d", written, _maxLinesPerSecond)
	}
	if ok, _ := l.allowLine(now, RunPlaced); !ok {
		t.Error("a line of another event was suppressed")
	}
	if ok, suppressed := l.allowLine(now.Add(time.Second), RunEnded); !ok || suppressed != 4*_maxLinesPerSecond {
		t.Errorf("the next line: allowed %t, %d suppressed, want %d", ok, suppressed, 4*_maxLinesPerSecond)
	}
}

// TestEmitWritesEveryEvent checks that Emit writes and counts each event of the
// table with its number, name and fields.
func TestEmitWritesEveryEvent(t *testing.T) {
	var out bytes.Buffer
	counted := make(map[string]int)
	log := NewLog(&out, JSON, logrus.DebugLevel).WithCounter(func(name string) { counted[name]++ })
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
