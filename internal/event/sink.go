package event

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of a Sink.
const (
	_maxWaitingLines    = 4096            // lines that wait for a slow output; later ones are dropped
	_dropReportInterval = time.Second     // between reports of dropped lines
	_closeTimeout       = 2 * time.Second // for writing the waiting lines on Close
)

// Sink is a writer of log lines. Its Write never blocks: a goroutine writes the
// lines to the output. If too many lines wait, Write drops and counts the line.
type Sink struct {
	out       io.Writer
	lines     chan []byte
	dropped   atomic.Int64
	closing   chan struct{}
	closeOnce sync.Once
	flushed   chan struct{}
}

// NewSink returns a sink that writes to out.
func NewSink(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, _maxWaitingLines), closing: make(chan struct{}), flushed: make(chan struct{})}
	go s.writeLines()
	return s
}

// Write queues or drops one line. It always succeeds.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines that are not reported yet.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

func (s *Sink) writeLines() {
	defer close(s.flushed)
	report := time.NewTicker(_dropReportInterval)
	defer report.Stop()
	for {
		select {
		case line := <-s.lines:
			s.writeLine(line)
		case <-report.C:
			s.reportDropped()
		case <-s.closing:
			for {
				select {
				case line := <-s.lines:
					s.writeLine(line)
					continue
				default:
				}
				s.reportDropped()
				return
			}
		}
	}
}

func (s *Sink) writeLine(line []byte) {
	// A failed write of the log cannot be reported anywhere.
	_, _ = s.out.Write(line)
}

// reportDropped writes the number of lines dropped since its last report.
func (s *Sink) reportDropped() {
	if n := s.dropped.Swap(0); n > 0 {
		d := _byNumber[LinesDropped]
		s.writeLine(fmt.Appendf(nil, `{"event":%d,"event_name":%q,"level":"warning","lines":%d,"msg":"log lines were dropped"}`+"\n",
			d.Number, d.Name, n))
	}
}

// Close writes the waiting lines and returns after _closeTimeout at the latest.
func (s *Sink) Close() {
	s.closeOnce.Do(func() { close(s.closing) })
	select {
	case <-s.flushed:
	case <-time.After(_closeTimeout):
	}
}

// limiter bounds the number of lines of one event in a second.
type limiter struct {
	mu         sync.Mutex
	second     int64
	written    map[Number]int
	suppressed map[Number]int // lines suppressed since the last written line of the event
}

// _maxLinesPerSecond is the limit for one event. Even the most frequent event
// stays at a tenth of it in normal operation, so only lines of an event that
// repeats excessively are suppressed.
const _maxLinesPerSecond = 200

// allowLine reports whether a line of the event may be written, and the number
// of lines suppressed since the last written one.
func (l *limiter) allowLine(now time.Time, n Number) (ok bool, suppressed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := now.Unix(); s != l.second || l.written == nil {
		l.second = s
		l.written = make(map[Number]int)
	}
	if l.suppressed == nil {
		l.suppressed = make(map[Number]int)
	}
	if l.written[n] >= _maxLinesPerSecond {
		l.suppressed[n]++
		return false, 0
	}
	l.written[n]++
	suppressed = l.suppressed[n]
	delete(l.suppressed, n)
	return true, suppressed
}
