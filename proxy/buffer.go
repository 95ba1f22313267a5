package proxy

import "sync"

// usedBuffers holds the buffers of large answers that were written or given up. Callers that ask for large answers and break off again
// and again would otherwise leave more of them than the collector frees in time, since the memory budget gives their room to others at once.
var usedBuffers sync.Pool

// newBuffer returns an empty buffer for an answer of up to size bytes.
func newBuffer(size int64) []byte {
	if size > heldAnswerBytes {
		if used, ok := usedBuffers.Get().(*[]byte); ok && int64(cap(*used)) >= size {
			return (*used)[:0:size] // no more than the answer holds memory for
		}
	}
	return make([]byte, 0, size)
}

// recycle keeps the buffer for another answer. Nothing may refer to it any more.
func recycle(buffer []byte) {
	if cap(buffer) > heldAnswerBytes {
		usedBuffers.Put(&buffer)
	}
}
