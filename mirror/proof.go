package mirror

import (
	"time"

	"github.com/buckthorntrack/buckthorntrack/objapi"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// A state with a version holds all changes up to that version. If some state was the platform's at a time, then each newer state was
// so at that time or later. A proof therefore counts for the state that it is about and for all newer ones.

// provenBy returns when a state was the platform's that a call returned which was sent at the given time.
func (f *feed) provenBy(sent time.Time) time.Time {
	if f.SearchAge > 0 {
		return sent
	}
	return f.mirror.BootTime()
}

// provenByWatch does the same for a watch. One that its timeout ended was held open for that time after it was sent. An answer that
// came earlier was not ended by the timeout, and one with changes may have been sent at any time since.
func (f *feed) provenByWatch(sent time.Time, timeout time.Duration, c objapi.Change) time.Time {
	changed := len(c.Objects)+len(c.Deleted) > 0
	if f.SearchAge > 0 && !changed && f.mirror.BootTime().Sub(sent) >= timeout {
		return sent.Add(timeout)
	}
	return f.provenBy(sent)
}

// isCoveredBy reports whether a confirmation of the state with the first version confirms that with the second one.
func (f *feed) isCoveredBy(confirmed, known units.Version) bool {
	return confirmed == known || f.SearchAge > 0 && confirmed != 0 && confirmed < known
}

// confirmedBy returns when the state of a followed process was the platform's, by a frame with its age. An age is proven by a frame
// with a stamp of this process: the source read it after the stamp was sent. A source sends its newest stamp again once its own age
// has fallen, so that the ages do not grow with the number of processes on the way from the platform.
func (f *feed) confirmedBy(source sourceFeed, stampMS *int64) time.Time {
	now := f.mirror.BootTime()
	if f.SearchAge == 0 {
		if source.age < 0 {
			return time.Time{}
		}
		return now.Add(-source.age)
	}
	if stampMS == nil || source.age < 0 {
		return source.confirmedAt
	}
	stamped := f.mirror.started.Add(time.Duration(*stampMS) * time.Millisecond)
	if at := stamped.Add(-source.age); !stamped.After(now) && at.After(source.confirmedAt) {
		return at
	}
	return source.confirmedAt
}

// stamp returns the time on the clock BootTime since the start in whole milliseconds, nil if no feed has a proven age.
func (m *Mirror) stamp() *int64 {
	if !m.proven {
		return nil
	}
	ms := m.BootTime().Sub(m.started).Milliseconds()
	return &ms
}

// stampTicks returns the times at which a stamp is due, and a function that ends them.
func (m *Mirror) stampTicks() (<-chan time.Time, func()) {
	if !m.proven {
		return nil, func() {}
	}
	ticker := time.NewTicker(beatInterval)
	return ticker.C, ticker.Stop
}

// wholeMilliseconds rounds an age up, so that it is never understated. An unknown age stays unknown.
func wholeMilliseconds(age time.Duration) int64 {
	if age < 0 {
		return unknownAge.Milliseconds()
	}
	return int64((age + time.Millisecond - 1) / time.Millisecond)
}
