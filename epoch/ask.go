package epoch

import (
	"sync"

	"github.com/buckthorntrack/buckthorntrack/units"
)

// Answer is what a process says of a stream that it is asked for.
type Answer struct {
	Version    units.SoftwareVersion
	Known      bool  // the version is known
	Remembered bool  // the process has passed the stream on, or was told of it
	Sequence   int64 // of the process's record
}

// questions holds the streams that other processes are asked for.
type questions struct {
	mu   sync.Mutex
	last uint64 // starts at random, so that no answer to an earlier incarnation of the process has the number of an open question
	open map[uint64]*question
}

// question is one stream that other processes are asked for.
type question struct {
	id         uint64
	remembered chan struct{} // closed when a process has remembered the stream
	complete   chan struct{} // closed when all processes have answered

	mu      sync.Mutex
	waiting map[units.ProcessName]bool
	best    Answer // of those that go by a record, the one with the highest sequence
	memory  Answer
	from    units.ProcessName // who has remembered the stream
}

// ask asks the other processes for a stream. Each call needs one of endAsk.
func (b *Book) ask(service units.ServiceName, id units.RequestID) *question {
	q := &question{
		remembered: make(chan struct{}), complete: make(chan struct{}), waiting: map[units.ProcessName]bool{},
	}
	for _, name := range b.Processes() {
		if name != b.Name {
			q.waiting[name] = true
		}
	}
	if len(q.waiting) == 0 {
		close(q.complete)
	}
	b.questions.mu.Lock()
	b.questions.last++
	q.id = b.questions.last
	b.questions.open[q.id] = q
	b.questions.mu.Unlock()
	b.Messenger.AskStream(q.id, service, id, false)
	return q
}

func (b *Book) endAsk(q *question) {
	b.questions.mu.Lock()
	defer b.questions.mu.Unlock()
	delete(b.questions.open, q.id)
}

// ReceiveAnswer records the answer of a process to a question of AskStream.
func (b *Book) ReceiveAnswer(from units.ProcessName, id uint64, a Answer) {
	b.questions.mu.Lock()
	q, ok := b.questions.open[id]
	b.questions.mu.Unlock()
	if ok {
		q.receive(from, a)
	}
}

func (q *question) receive(from units.ProcessName, a Answer) {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case a.Remembered && q.from == "":
		q.memory, q.from = a, from
		close(q.remembered)
	case !a.Remembered && a.Sequence > q.best.Sequence:
		q.best = a
	case !a.Remembered && a.Sequence == q.best.Sequence && a.Version != q.best.Version:
		q.best.Known = false
	}
	if q.waiting[from] {
		delete(q.waiting, from)
		if len(q.waiting) == 0 {
			close(q.complete)
		}
	}
}

// result returns the answer of a process that has remembered the stream, and its name.
func (q *question) result() (Answer, units.ProcessName) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.memory, q.from
}

// isOver reports whether no further answer is needed.
func (q *question) isOver() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.from != "" || len(q.waiting) == 0
}

// agreed returns the answer by the newest record if all processes have answered, and the number of those that have not.
func (q *question) agreed() (best Answer, missing int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.best, len(q.waiting)
}

// AnswerStream returns what this process knows of a stream, and false if that is no more than what others may have told it before
// it has read the platform.
func (b *Book) AnswerStream(service units.ServiceName, id units.RequestID) (Answer, bool) {
	e := (*b.entries.Load())[service]
	a := Answer{Sequence: e.Sequence}
	if id != "" {
		if a.Version, a.Known = b.streams.get(streamOf(service, id)); a.Known {
			a.Remembered = true
			return a, true
		}
	}
	a.Version, a.Known = e.resolve(service, id)
	return a, e.confirmed
}
