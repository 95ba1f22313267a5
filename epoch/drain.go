package epoch

import (
	"maps"
	"time"

	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	// drainedInterval is the interval at which processes report their open streams while epochs end, and drainedLifetime how long a
	// report counts.
	drainedInterval, drainedLifetime = 150 * time.Millisecond, 500 * time.Millisecond
	// listInterval is the interval at which open streams are listed in the record while epochs end.
	listInterval = 300 * time.Millisecond
	// maxReported bounds the streams that a process reports, so that the report fits a datagram, and maxListed those that a record
	// lists.
	maxReported, maxListed = 75, 1000
)

// Messenger exchanges messages on streams with other processes. They may be lost.
type Messenger interface {
	// ReportDrained tells the process that writes records which streams are left.
	ReportDrained(service units.ServiceName, d Drained)
	// AskStream asks the other processes for a stream: all, or in a large fleet only those that collect reports. Answers come with
	// the number of the question.
	AskStream(question uint64, service units.ServiceName, id units.RequestID, all bool)
}

// Drained is what a process says of the streams that it passes on, or that have broken off, while epochs end.
type Drained struct {
	Epoch int64 // sequence of the record in which the current epoch began, as far as the process knows
	Known int64 // sequence of the first record that it read since its start; another one shows a restart
	// Uptime is the time since its start, zero if it does not say: it knows nothing of the streams that it passed on before.
	Uptime time.Duration
	// Left holds streams, those of earlier epochs first, and Omitted is the number of these that it does not hold.
	Left    map[StreamID]units.SoftwareVersion
	Omitted int
	Active  bool // streams begin in the current epoch
}

// drainedReport is a Drained with the time at which it was received.
type drainedReport struct {
	Drained
	at time.Time
}

// shorten returns the record without epochs that are over, or with the streams that are open now: if all processes are killed,
// the record is all that is known of them.
func (b *Book) shorten(service units.ServiceName, r Record, now time.Time) (Record, bool) {
	left := b.left(service, now)
	if len(left) > maxListed {
		return Record{}, false
	}
	next, ok := r.pruned(func(ended int64) bool {
		age := now.Sub(b.endedAt[service][ended])
		return age > Lifetime || b.allDrained(service, r.currentSince(), now) && (age > b.patience() || !b.mayLackStreams(service, now))
	})
	next.Left = left
	if len(next.Epochs) == 1 {
		maps.DeleteFunc(left, func(id StreamID, version units.SoftwareVersion) bool { return id.isAt(version, r.current()) })
	}
	if !ok && (now.Sub(b.listedAt[service]) < listInterval || maps.Equal(left, r.Left)) {
		return Record{}, false
	}
	b.listedAt[service] = now
	return next, true
}

// allDrained reports whether all processes say that they have no stream of an earlier epoch left that the record would not list.
func (b *Book) allDrained(service units.ServiceName, current int64, now time.Time) bool {
	for process := range b.processes {
		d, ok := b.drained[service][process]
		if !ok || d.Epoch != current || !d.Active || d.Omitted > 0 || now.Sub(d.at) > drainedLifetime {
			return false
		}
	}
	return true
}

// mayLackStreams reports whether callers may take up streams of which no process knows, as the process that passed them on was
// restarted or is gone.
func (b *Book) mayLackStreams(service units.ServiceName, now time.Time) bool {
	if !b.departedAt.IsZero() && now.Sub(b.departedAt) <= b.patience() {
		return true
	}
	for name := range b.processes {
		if b.drained[service][name].Uptime <= b.patience() {
			return true
		}
	}
	return false
}

// trackProcesses records when a process has left the list of all processes.
func (b *Book) trackProcesses() {
	b.mu.Lock()
	defer b.mu.Unlock()
	names, known := b.Processes(), 0
	for _, name := range names {
		if b.processes[name] {
			known++
		}
	}
	if known < len(b.processes) {
		b.departedAt = b.Clock()
	} else if known == len(names) {
		return
	}
	b.processes = make(map[units.ProcessName]bool, len(names))
	for _, name := range names {
		b.processes[name] = true
	}
}

// patience returns how long callers may take up a stream: the longest time for which a caller waits, as far as this process has
// seen.
func (b *Book) patience() time.Duration {
	if longest := time.Duration(b.longestWait.Load()); longest > 0 {
		return min(longest, Lifetime)
	}
	return Lifetime
}

// orphan is a stream of a process that was restarted since.
type orphan struct {
	version units.SoftwareVersion
	at      time.Time // when this process noticed
}

// left returns the streams that a shortened record lists: those that processes have reported, also if they were killed after that,
// for as long as callers may take them up.
func (b *Book) left(service units.ServiceName, now time.Time) map[StreamID]units.SoftwareVersion {
	left := map[StreamID]units.SoftwareVersion{}
	for id, o := range b.orphans[service] {
		if now.Sub(o.at) > b.patience() {
			delete(b.orphans[service], id)
			continue
		}
		left[id] = o.version
	}
	for process, d := range b.drained[service] {
		if now.Sub(d.at) > b.patience() {
			delete(b.drained[service], process)
			continue
		}
		maps.Copy(left, d.Left)
	}
	return left
}

// orphan keeps streams of a process that was restarted since.
func (b *Book) orphan(service units.ServiceName, left map[StreamID]units.SoftwareVersion) {
	if b.orphans[service] == nil {
		b.orphans[service] = map[StreamID]orphan{}
	}
	for id, version := range left {
		b.orphans[service][id] = orphan{version: version, at: b.Clock()}
	}
}

// ReceiveDrained records what a process says of its streams.
func (b *Book) ReceiveDrained(from units.ProcessName, service units.ServiceName, d Drained) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.drained[service] == nil {
		b.drained[service] = map[units.ProcessName]drainedReport{}
	}
	if before, ok := b.drained[service][from]; ok && (before.Known != d.Known || before.Uptime > d.Uptime) {
		b.orphan(service, before.Left)
	}
	b.drained[service][from] = drainedReport{Drained: d, at: b.Clock()}
}

// reportDrained tells the process that writes records which streams are open here while epochs end.
func (b *Book) reportDrained() {
	now := b.Clock()
	b.open.expire(now)
	for service, e := range *b.entries.Load() {
		if len(e.Epochs) < 2 || !e.confirmed {
			continue
		}
		d := Drained{
			Epoch: e.currentSince(), Known: e.known, Uptime: now.Sub(b.startedAt), Active: !now.Before(e.activeAt),
		}
		d.Left, d.Omitted = b.open.report(service, e.current(), maxReported, maxListed/len(b.Processes()))
		b.ReceiveDrained(b.Name, service, d)
		b.Messenger.ReportDrained(service, d)
	}
}
