package conns

import (
	"bytes"
	"context"
	"errors"

	"github.com/buckthorntrack/buckthorntrack/memory"
)

// readHead reads a head. Most arrive whole and are passed on from where they are read; of others, the parts are gathered first.
func (c *conn) readHead(p []byte) (int, error) {
	if data := c.rest; len(data) > 0 {
		c.rest = nil
		if !c.begin() {
			return 0, c.endError()
		}
		return c.gather(p, data, 0)
	}
	for {
		n, err := c.Conn.Read(p)
		if n == 0 {
			return 0, c.readError(err)
		}
		if !c.begin() {
			return 0, c.endError()
		}
		data, end, err := c.scanHead(p[:n], 0)
		switch {
		case err != nil:
			return 0, err
		case len(data) == 0:
			continue
		case end < 0:
			return c.gather(p, data, len(data))
		}
		whole, err := c.finishHead(data, end)
		if err != nil {
			return 0, err
		}
		c.rest = bytes.Clone(data[whole:])
		return copy(p, data[:whole]), nil
	}
}

// gather reads the rest of a head of which a part has been read and a number of bytes scanned, and returns its first bytes.
func (c *conn) gather(p, data []byte, scanned int) (int, error) {
	size := firstHeadBytes
	for size <= len(data) {
		size *= 2
	}
	if !c.takeRoom(size) {
		return 0, c.endError()
	}
	data = append(make([]byte, 0, size), data...)
	for {
		var end int
		var err error
		data, end, err = c.scanHead(data, scanned)
		if err != nil {
			return 0, err
		}
		if end >= 0 {
			whole, err := c.finishHead(data, end)
			if err != nil {
				return 0, err
			}
			c.out, c.rest = data[:whole], bytes.Clone(data[whole:])
			return c.takeOut(p), nil
		}
		scanned = len(data)
		if len(data) == size {
			if !c.takeRoom(size) {
				return 0, c.endError()
			}
			size *= 2
			data = append(make([]byte, 0, size), data...)
		}
		n, err := c.Conn.Read(data[len(data):min(size, len(data)+maxAheadBytes)])
		if n == 0 {
			c.letRoomGo()
			return 0, c.readError(err)
		}
		data = data[:len(data)+n]
	}
}

// scanHead scans the data after a number of bytes that it has scanned before. It returns the data without empty lines before the request,
// which net/http does not take, and the index after the head, -1 if that goes on.
func (c *conn) scanHead(data []byte, scanned int) ([]byte, int, error) {
	added := data[scanned:]
	for c.scan.bytes == 0 && len(added) > 0 && (added[0] == '\r' || added[0] == '\n') {
		added = added[1:]
		c.empty++
	}
	if c.empty > maxEmptyBytes {
		return nil, 0, c.refuse(ReasonEmpty)
	}
	data = append(data[:scanned], added...)
	added = data[scanned:]
	if len(added) == 0 {
		return data, -1, nil
	}
	if c.scan.bytes == 0 && !tokenBytes[added[0]] {
		return nil, 0, c.refuse(ReasonMalformed)
	}
	end := c.scan.feed(added)
	if limit := c.listener.limits.Load().HeaderBytes; limit > 0 && c.scan.bytes > limit {
		return nil, 0, c.refuse(ReasonHeadBytes)
	}
	if end >= 0 {
		end += scanned
	}
	return data, end, nil
}

func (c *conn) takeRoom(bytes int) bool {
	g := c.listener.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.hold(c, int64(bytes))
}

func (c *conn) letRoomGo() {
	g := c.listener.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	g.release(c)
}

// finishHead takes room for a whole head, which ends at an index of the data, and returns how many bytes of the data belong to its
// request.
func (c *conn) finishHead(data []byte, end int) (int, error) {
	f, err := parseFraming(data[:end])
	switch {
	case errors.Is(err, errFraming):
		return 0, c.refuse(ReasonFraming)
	case err != nil:
		return 0, c.refuse(ReasonMalformed)
	}
	share, ok := c.holdParsed(int64(byteCost*c.scan.bytes + lineCost*c.scan.lines))
	if !ok {
		return 0, c.refuse(ReasonHeadWait)
	}
	c.body = newBodyScan(f)
	n, err := c.body.feed(data[end:])
	if err != nil {
		c.failBody(err)
	}
	c.scan, c.empty = headScan{}, 0
	g := c.listener.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	c.releaseParsed()
	c.parsed = share
	c.listener.parsing++
	c.begun, c.busy = false, true
	c.wrote.Store(false)
	c.pipelines.Store(false)
	if c.body.done() {
		c.listener.unlist(c)
	} else {
		c.in = readingBody
		c.listener.setIncomplete(c, true)
	}
	return end + n, nil
}

// holdParsed waits for room for a head that is going to be parsed.
func (c *conn) holdParsed(bytes int64) (*memory.Share, bool) {
	budget := c.listener.guard.parsed
	bytes = min(bytes, budget.Limit())
	if share, ok := budget.TryHold(bytes); ok {
		return share, true
	}
	ctx, cancel := context.WithTimeout(context.Background(), headWait)
	defer cancel()
	share, err := budget.Hold(ctx, bytes)
	return share, err == nil
}

// releaseParsed ends the room of a head that has been parsed. The lock must be held.
func (c *conn) releaseParsed() {
	if c.parsed != nil {
		c.parsed.Release()
		c.parsed = nil
		c.listener.parsing--
	}
}
