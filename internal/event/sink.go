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
	_sinkLines  = 4096            // lines that wait for a slow reader; later ones are dropped
	_tellEvery  = time.Second     // between two lines that tell how many were dropped
	_closeLimit = 2 * time.Second // for the lines that wait when the sink is closed
)

// Sink is a writer of lines that never blocks: a task of its own writes them,
// and lines that find no room are dropped and counted.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
	closed  chan struct{}
}

// NewSink returns a sink that writes to out.
func NewSink(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, _sinkLines), done: make(chan struct{}), closed: make(chan struct{})}
	go s.run()
	return s
}

// Write takes in one line. It always succeeds.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines have been dropped and not yet told of.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

func (s *Sink) run() {
	defer close(s.closed)
	told := time.NewTicker(_tellEvery)
	defer told.Stop()
	for {
		select {
		case line := <-s.lines:
			s.write(line)
		case <-told.C:
			s.tell()
		case <-s.done:
			for {
				select {
				case line := <-s.lines:
					s.write(line)
					continue
				default:
				}
				s.tell()
				return
			}
		}
	}
}

func (s *Sink) write(line []byte) {
	// Whoever reads the log is gone; there is nobody to tell.
	_, _ = s.out.Write(line)
}

// tell writes how many lines were dropped.
func (s *Sink) tell() {
	if n := s.dropped.Swap(0); n > 0 {
		d := _byNumber[LinesDropped]
		s.write(fmt.Appendf(nil, `{"event":%d,"event_name":%q,"level":"warning","lines":%d,"msg":"log lines were dropped"}`+"\n",
			d.Number, d.Name, n))
	}
}

// Close writes what waits, for a short time at most.
func (s *Sink) Close() {
	s.once.Do(func() { close(s.done) })
	select {
	case <-s.closed:
	case <-time.After(_closeLimit):
	}
}

// limiter bounds how many lines of one event are written in a second.
type limiter struct {
	mu     sync.Mutex
	second int64
	count  map[Number]int
	left   map[Number]int // left out since the last line of the event
}

// _mostLines of one event in a second. The heaviest day known has a tenth of it.
const _mostLines = 200

// take reports whether a line may be written, and how many were left out since
// the last one.
func (l *limiter) take(now time.Time, n Number) (ok bool, left int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := now.Unix(); s != l.second || l.count == nil {
		l.second = s
		l.count = make(map[Number]int)
	}
	if l.left == nil {
		l.left = make(map[Number]int)
	}
	if l.count[n] >= _mostLines {
		l.left[n]++
		return false, 0
	}
	l.count[n]++
	left = l.left[n]
	delete(l.left, n)
	return true, left
}
