package alive

import (
	"time"

	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	// Interval is the interval between calls of Next.
	Interval = 100 * time.Millisecond
	// answerTime bounds the time for an answer, and is the interval between probes while they are not answered.
	answerTime = 300 * time.Millisecond
	// maxUnanswered is the number of consecutive probes without a message after which a process is gone. A datagram may be lost.
	maxUnanswered = 3
	// settleTime is the time for which a process that was never heard is not gone: it may still have to read who this one is.
	settleTime = 2 * time.Second
	// localInterval and remoteInterval are the least times without a message after which a process is probed.
	localInterval, remoteInterval = 500 * time.Millisecond, time.Second
	// intervalPerProcess is the time per process of the fleet after which it is probed, so that those that all watch are probed at
	// a constant rate.
	intervalPerProcess = 40 * time.Millisecond
	// goneInterval is the least time between probes of a process that is gone, and goneIntervalPerProcess the time per such process.
	goneInterval, goneIntervalPerProcess = time.Second, 200 * time.Millisecond
	// goneIntervalRatio is the time for which a process has been gone over the time between its probes, while that is shorter.
	goneIntervalRatio = 4
	// maxFirstProbes bounds the processes of a region that were never heard and are probed at a time.
	maxFirstProbes = 16
	// standstill is the time between two calls of Next from which this process has stood still and others may have found it gone.
	standstill = time.Second
	// heardTime is the time within which processes count that show that the fleet is not small.
	heardTime = 10 * time.Second
)

// Round is what to do at a call of Next.
type Round struct {
	Probe []*Record // to send a probe to
	// Announce says that this process has duties from now on, or again after it stood still, and tells the others that it is there.
	Announce bool
	// Lost holds processes that had duties and are found gone here. This process is one of the first to know, and tells the others.
	Lost []units.ProcessName
}

// round is the state of a call of Next.
type round struct {
	*Watch
	Round
	now       time.Time
	rank      int // number of processes of the region that precede this one and are there
	goneCount int
}

// Next returns the processes to probe now. It is called at each Interval.
func (w *Watch) Next(now time.Time) Round {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := &round{Watch: w, now: now}
	lost := n.updateAll()
	w.count()
	n.report(lost)
	leads := n.rank < w.Leaders
	n.Announce = leads && !n.IsSmall() && (!w.leads || now.Sub(w.calledAt) > standstill)
	w.leads, w.calledAt = leads, now
	n.probeWatched()
	return n.Round
}

// updateAll updates all records and returns those that are found gone now.
func (n *round) updateAll() (lost []*Record) {
	for _, r := range n.ordered {
		switch wasGone := r.IsGone(); {
		case n.update(r):
			n.goneCount++
			if !wasGone {
				lost = append(lost, r)
			}
		case r.Region == n.Region && r.hash < n.hash && r.isConfirmed():
			n.rank++
		}
	}
	return lost
}

// probeWatched probes the processes that are due, up to the last one of each region that is watched.
func (n *round) probeWatched() {
	all, passedSelf := n.isPerhapsSmall(), false
	there, firstProbes := map[units.RegionName]int{}, map[units.RegionName]int{}
	for _, r := range n.ordered {
		if !passedSelf && r.hash > n.hash {
			passedSelf = true
			there[n.Region]++
		}
		if !all && !r.suspected && !n.keeps(r) && there[r.Region] >= n.watched(r.Region) {
			continue
		}
		if r.isConfirmed() {
			there[r.Region]++
		}
		if !n.isDue(r) {
			continue
		}
		if r.heardAt.Load() == 0 {
			if firstProbes[r.Region]++; firstProbes[r.Region] > maxFirstProbes {
				continue
			}
		}
		n.probe(r)
	}
}

// update reports whether the process is gone now.
func (n *round) update(r *Record) bool {
	if r.unanswered > 0 && r.isHeardSince(r.unansweredSince) {
		r.unanswered, r.suspected = 0, false
	}
	gone := r.unanswered >= maxUnanswered && (r.IsGone() || n.now.Sub(r.probedAt) >= answerTime) &&
		(r.heardAt.Load() != 0 || n.now.Sub(r.listedAt) >= settleTime)
	r.setGone(gone, n.now)
	r.suspected = r.suspected && !gone
	return gone
}

// report adds the processes that others may still count on to what is told.
func (n *round) report(lost []*Record) {
	if n.IsSmall() || n.rank >= n.Leaders {
		return
	}
	for _, r := range lost {
		if r.Region == n.Region && r.hash < n.hash && r.heardAt.Load() != 0 {
			n.Lost = append(n.Lost, r.Name)
		}
	}
}

// watched returns the number of processes of a region to watch: those with duties, and in the own region also those that come next and
// those that this one may follow.
func (n *round) watched(region units.RegionName) int {
	if region != n.Region {
		return n.Leaders
	}
	return max(2*n.Leaders, n.rank/n.Fanout+1)
}

// keeps reports whether this process watches all registrations of the region, as it has duties.
func (n *round) keeps(r *Record) bool {
	return n.rank < n.Leaders && r.Region == n.Region
}

// isPerhapsSmall reports whether too few processes were heard to say that the fleet is not small.
func (n *round) isPerhapsSmall() bool {
	heard := 1
	for _, r := range n.ordered {
		if r.isHeardSince(n.now.Add(-heardTime)) {
			heard++
		}
	}
	return heard <= n.SmallFleet
}

// isDue reports whether it is time to probe a process.
func (n *round) isDue(r *Record) bool {
	since := n.now.Sub(r.probedAt)
	switch {
	case r.IsGone():
		lately := n.now.Sub(r.unansweredSince) / goneIntervalRatio
		return since >= max(goneInterval, min(lately, time.Duration(n.goneCount)*goneIntervalPerProcess))
	case r.unanswered > 0 || r.suspected:
		return since >= answerTime
	default:
		return !r.isHeardSince(n.now.Add(-n.interval(r)))
	}
}

// interval returns the time without a message after which a process is probed. Those with duties, and those that come next, watch
// the others that have them more closely.
func (n *round) interval(r *Record) time.Duration {
	least, near := remoteInterval, n.rank < n.Leaders
	if r.Region == n.Region {
		least, near = localInterval, n.rank < 2*n.Leaders && r.hash < n.hash
	}
	if near {
		return least
	}
	return max(least, time.Duration(n.Here())*intervalPerProcess)
}

func (n *round) probe(r *Record) {
	if r.unanswered == 0 {
		r.unansweredSince = n.now
	}
	r.unanswered = min(r.unanswered+1, maxUnanswered)
	r.probedAt = n.now
	n.Probe = append(n.Probe, r)
}
