package fakes

import (
	"context"
	"net"
	"time"
)

// Partition is how a network partition between two hosts affects their connections.
type Partition int

const (
	// PartitionNone is no partition.
	PartitionNone Partition = iota
	// PartitionReset refuses new connections and closes the open ones.
	PartitionReset
	// PartitionNew refuses new connections and leaves the open ones.
	PartitionNew
	// PartitionSilent loses all packets: new connections and the open ones hang.
	PartitionSilent
)

// String returns the effect on connections.
func (p Partition) String() string {
	return [...]string{"none", "reset", "new connections refused", "silent"}[p]
}

// silenceLimit is the time after which the end that opened a connection breaks it off in a silent partition.
const silenceLimit = 2 * time.Second

// partition is a network partition between two hosts.
type partition struct {
	kind  Partition
	ended chan struct{} // closed at its end
}

func (p *partition) isSilent() bool { return p != nil && p.kind == PartitionSilent }

// SetPartition starts or ends a network partition between two hosts. Starting one closes the open connections between
// them.
func (n *Network) SetPartition(a, b string, on bool) {
	if on {
		n.Partition(a, b, PartitionReset)
	} else {
		n.Partition(a, b, PartitionNone)
	}
}

// SetSilence starts or ends a network partition between two hosts that no error shows at first.
func (n *Network) SetSilence(a, b string, on bool) {
	if on {
		n.Partition(a, b, PartitionSilent)
	} else {
		n.Partition(a, b, PartitionNone)
	}
}

// Partition starts a network partition of the given kind between two hosts, and ends an earlier one.
func (n *Network) Partition(a, b string, kind Partition) {
	pair := hostPair(a, b)
	next := &partition{kind: kind, ended: make(chan struct{})}
	n.mu.Lock()
	if p := n.partitions[pair]; p != nil {
		close(p.ended)
	}
	n.partitions[pair] = next
	affected := n.connsBetween(pair)
	n.mu.Unlock()
	switch kind {
	case PartitionReset:
		for _, c := range affected {
			c.failed.Store(&errReset)
		}
		for _, c := range affected {
			c.abort()
		}
	case PartitionSilent:
		time.AfterFunc(silenceLimit, func() { n.timeOut(pair, next) })
	case PartitionNone, PartitionNew:
	}
}

// Heal ends all network partitions.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for pair, p := range n.partitions {
		close(p.ended)
		delete(n.partitions, pair)
	}
}

// connsBetween returns the open connections between two hosts. The lock must be held.
func (n *Network) connsBetween(pair [2]string) (found []*memoryConn) {
	for c := range n.conns {
		if hostPair(c.local, c.remote) == pair {
			found = append(found, c)
		}
	}
	return found
}

// timeOut breaks off the connections between two hosts at the ends that opened them, if the partition still lasts.
func (n *Network) timeOut(pair [2]string, p *partition) {
	n.mu.Lock()
	var affected []*memoryConn
	if n.partitions[pair] == p {
		affected = n.connsBetween(pair)
	}
	n.mu.Unlock()
	for _, c := range affected {
		if c.dialed {
			c.timeOut()
		}
	}
}

// awaitDial waits until a connection between two hosts can be opened, or returns the error of the attempt.
func (n *Network) awaitDial(ctx context.Context, pair [2]string) error {
	for {
		p := n.partitionOf(pair)
		switch {
		case p == nil || p.kind == PartitionNone:
			return nil
		case p.kind != PartitionSilent:
			return &net.OpError{Op: "dial", Net: "memory", Err: errPartitioned}
		}
		select {
		case <-p.ended:
		case <-ctx.Done():
			return &net.OpError{Op: "dial", Net: "memory", Err: ctx.Err()}
		}
	}
}

// awaitDelivery waits while packets between two hosts are lost.
func (n *Network) awaitDelivery(pair [2]string) {
	for p := n.partitionOf(pair); p.isSilent(); p = n.partitionOf(pair) {
		<-p.ended
	}
}

func (n *Network) partitionOf(pair [2]string) *partition {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitions[pair]
}
