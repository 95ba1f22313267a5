package epoch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	// resolveTimeout bounds the time in which a stream is resolved that this process has not seen.
	resolveTimeout = 500 * time.Millisecond
	// readDelay is how long other processes may take to remember a stream before the platform is read.
	readDelay = 20 * time.Millisecond
	// readAttempts is the number of reads of a record after which another process with a newer record shows that the platform's is not
	// the present one.
	readAttempts = 2
	// askTimeout is how long processes may take to answer once the platform has not told the version, at each of askAttempts: datagrams
	// may be lost.
	askTimeout  = 60 * time.Millisecond
	askAttempts = 3
)

// Resolve returns the version that began a stream, by the id of the request that brought its first event. A stream that this process
// has not seen is resolved by another process that has, or by a record that the platform gave out after the call, unless a process has
// answered with a newer one. Otherwise all processes must answer, and the newest of their records counts. Resolve takes up to half a
// second. Errors are ErrUnknownVersion.
func (b *Book) Resolve(
	ctx context.Context, service units.ServiceName, id units.RequestID, present []units.SoftwareVersion,
) (units.SoftwareVersion, error) {
	if id != "" {
		if version, ok := b.streams.get(streamOf(service, id)); ok {
			return version, nil
		}
	}
	if b.isUnversioned(service, present) {
		return "", nil
	}
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	q := b.ask(service, id)
	defer b.endAsk(q)
	delay := time.NewTimer(readDelay)
	defer delay.Stop()
	select {
	case <-q.remembered:
		return b.byProcess(service, id, q), nil
	case <-q.complete:
	case <-delay.C:
	}
	err := b.readPresent(ctx, q, service)
	if _, from := q.result(); from != "" {
		return b.byProcess(service, id, q), nil
	}
	if err == nil {
		if version, ok := b.byRecord(service, id, present); ok {
			return b.resolved(service, id, version, "platform"), nil
		}
	}
	if b.awaitAnswers(ctx, q, service, id) {
		return b.byProcess(service, id, q), nil
	}
	if err == nil {
		return "", b.unknown(service, "versions differ in the platform's record")
	}
	return b.byAgreement(service, id, q, err)
}

// readPresent reads the record of a service until a process has remembered the stream. It fails with errOlder if another process has
// answered with a newer record, also after another read, as the platform's store may have come back from a copy.
func (b *Book) readPresent(ctx context.Context, q *question, service units.ServiceName) error {
	for range readAttempts {
		read := b.reader.request(service)
		select {
		case <-q.remembered:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		case <-read.done:
		}
		if read.err != nil {
			return read.err
		}
		if best, _ := q.agreed(); best.Sequence <= b.Known(service).Sequence {
			return nil
		}
	}
	return fmt.Errorf("%w: a process has a newer one", errOlder)
}

// awaitAnswers asks all processes and waits until they have answered. It reports whether one has remembered the stream.
func (b *Book) awaitAnswers(ctx context.Context, q *question, service units.ServiceName, id units.RequestID) bool {
	for range askAttempts {
		if q.isOver() {
			break
		}
		b.Messenger.AskStream(q.id, service, id, true)
		timer := time.NewTimer(askTimeout)
		select {
		case <-q.remembered:
		case <-q.complete:
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
	_, from := q.result()
	return from != ""
}

// isUnversioned reports whether the platform names no versions of the service.
func (b *Book) isUnversioned(service units.ServiceName, present []units.SoftwareVersion) bool {
	_, ok := (*b.entries.Load())[service]
	return !ok && b.loaded.Load() && len(present) == 1 && present[0] == "" && !b.IsIsolated()
}

// byProcess returns the version that another process has remembered.
func (b *Book) byProcess(service units.ServiceName, id units.RequestID, q *question) units.SoftwareVersion {
	a, from := q.result()
	return b.resolved(service, id, a.Version, string(from))
}

// byRecord returns the version by the record, which the platform has just given out.
func (b *Book) byRecord(
	service units.ServiceName, id units.RequestID, present []units.SoftwareVersion,
) (units.SoftwareVersion, bool) {
	e, ok := (*b.entries.Load())[service]
	if !ok && b.loaded.Load() && len(present) == 1 {
		return present[0], true
	}
	return e.resolve(service, id)
}

// byAgreement returns the version by the newest record of all processes, if all have answered.
func (b *Book) byAgreement(
	service units.ServiceName, id units.RequestID, q *question, err error,
) (units.SoftwareVersion, error) {
	own, confirmed := b.AnswerStream(service, id)
	best, missing := q.agreed()
	switch {
	case own.Remembered:
		return own.Version, nil
	case !confirmed:
		return "", b.unknown(service, fmt.Sprintf("the platform was not read since the start: %v", err))
	case missing > 0:
		return "", b.unknown(service, fmt.Sprintf("%d processes have not answered and the platform has not: %v", missing, err))
	case b.IsIsolated():
		return "", b.unknown(service, "process is isolated")
	}
	switch {
	case own.Sequence == best.Sequence && own.Version != best.Version:
		return "", b.unknown(service, "processes have different records of the sequence")
	case own.Sequence >= best.Sequence:
		best = own
	}
	if !best.Known {
		return "", b.unknown(service, "versions differ in the record of all processes")
	}
	return b.resolved(service, id, best.Version, "all processes"), nil
}

// resolve returns the version of a stream by the record, and false if that is not known.
func (e entry) resolve(service units.ServiceName, id units.RequestID) (units.SoftwareVersion, bool) {
	if id == "" && e.isMixed() {
		return "", false
	}
	return e.versionOf(streamOf(service, id))
}

// resolved remembers a stream that goes on here.
func (b *Book) resolved(
	service units.ServiceName, id units.RequestID, version units.SoftwareVersion, by string,
) units.SoftwareVersion {
	if id != "" {
		b.streams.put(streamOf(service, id), version)
	}
	b.Log.Info().Str("service", string(service)).Str("stream", string(id)).Str("software", string(version)).
		Int64("sequence", b.Known(service).Sequence).Str("by", by).Msg("epoch: stream is resolved")
	return version
}

func (b *Book) unknown(service units.ServiceName, why string) error {
	return fmt.Errorf("%w: sequence %d, %s", ErrUnknownVersion, b.Known(service).Sequence, why)
}

// readRecord reads the record of a service. It fails if that is older than the known one, or another one of its sequence, as the
// platform's store may have come back from a copy that lacks records.
func (b *Book) readRecord(ctx context.Context, service units.ServiceName) error {
	r, err := b.Records.Get(ctx, service)
	known := b.Known(service)
	switch {
	case errors.Is(err, ErrNotRecorded) && known.Sequence == 0:
		return nil
	case err != nil:
		return err
	case r.Sequence < known.Sequence:
		return fmt.Errorf("%w: sequence %d of the platform, %d is known", errOlder, r.Sequence, known.Sequence)
	case r.Sequence == known.Sequence && !r.equal(known):
		return fmt.Errorf("%w: sequence %d", errDiffers, r.Sequence)
	}
	b.Confirm(service, r)
	return nil
}

// Confirm sets the record of a service that the platform gave out to this process.
func (b *Book) Confirm(service units.ServiceName, r Record) {
	b.SetRecords(map[units.ServiceName]Record{service: r}, false)
	b.mu.Lock()
	defer b.mu.Unlock()
	if e, ok := (*b.entries.Load())[service]; ok && !e.confirmed {
		e.confirmed, e.known = true, e.Sequence
		b.storeEntry(service, e)
	}
}

// confirmAll reads the records that this process has from others only.
func (b *Book) confirmAll() {
	for service, e := range *b.entries.Load() {
		if !e.confirmed {
			b.reader.request(service)
		}
	}
}
