package frontend

import "dunereach/internal/thrift"

// MessageMemory bounds the bytes of incomplete messages that all sessions of a router hold together. When they exceed the limit, the
// longest incomplete message is discarded, whoever sent it, so that clients that leave long messages incomplete cost others nothing.
// The owner's goroutine calls all its methods.
type MessageMemory struct {
	limit   int                   // bytes
	used    int                   // bytes
	holders map[*Session]struct{} // sessions with an incomplete message
}

// NewMessageMemory returns a memory of limit bytes.
func NewMessageMemory(limit int) *MessageMemory {
	return &MessageMemory{limit: limit, holders: map[*Session]struct{}{}}
}

// resize records that a session holds the given number of bytes now.
func (m *MessageMemory) resize(s *Session, bytes int) {
	m.used += bytes - s.partialBytes
	switch {
	case s.partialBytes == 0 && bytes > 0:
		m.holders[s] = struct{}{}
	case s.partialBytes > 0 && bytes == 0:
		delete(m.holders, s)
	}
	s.partialBytes = bytes
}

// reclaim discards the longest incomplete messages until the limit is kept. What is kept of a discarded message comes on top of it.
func (m *MessageMemory) reclaim() {
	for m.used > m.limit {
		longest := m.longest()
		if longest == nil {
			return
		}
		longest.discardMessage()
	}
}

// longest returns the session with the longest incomplete message that can be discarded, nil if there is none. Of equal ones it is the
// oldest session.
func (m *MessageMemory) longest() (longest *Session) {
	for s := range m.holders {
		switch {
		case !s.frames.Discardable():
		case longest == nil || s.partialBytes > longest.partialBytes:
			longest = s
		case s.partialBytes == longest.partialBytes && s.Serial < longest.Serial:
			longest = s
		}
	}
	return longest
}

// discardMessage discards the incomplete message to free its memory. Once the rest of it has arrived a request is rejected, which does no
// harm. The connection and its open requests go on.
func (s *Session) discardMessage() {
	s.handler.MessageDiscarded(s.partialBytes)
	s.frames.DiscardIncomplete()
	s.discarded = true
	s.memory.resize(s, s.frames.Buffered())
}

// releaseMessage drops the incomplete message of a connection that reads no more.
func (s *Session) releaseMessage() {
	s.frames = thrift.FrameSplitter{}
	s.memory.resize(s, 0)
}
