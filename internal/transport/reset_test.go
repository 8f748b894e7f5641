package transport

import (
	"io"
	"testing"
	"time"
)

// unread makes a connection whose reader has not come to what lies behind the first bytes, until deliver is called.
func unread(t *testing.T) (c *Conn, s sink, reset func(), deliver func()) {
	_, c, s, there, deliver := accepted(t, 4)
	there.Write([]byte("x"))
	return c, s, func() {
		there.SetLinger(0)
		there.Close()
	}, deliver
}

// tookAll tells whether the system has taken so many bytes.
func (c *Conn) tookAll(size int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests.taken >= size
}

// TestResetUnread: what is appended once the other side has reset the connection, and before the reader comes to that, has not left: it
// can be withdrawn, and does not count as begun. What was written before it counts.
func TestResetUnread(t *testing.T) {
	c, s, reset, deliver := unread(t)
	first := c.Append([]byte("left"))
	for !c.tookAll(first + 4) {
		time.Sleep(time.Millisecond)
	}
	reset()
	late := c.Append([]byte("late"))
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		c.mu.Lock()
		dead := c.dead
		c.mu.Unlock()
		if dead {
			break
		}
		if time.Now().After(end) {
			t.Fatal("no write has failed")
		}
	}
	behind := c.Append([]byte("behind"))
	if !c.Begun(first) || c.Begun(late) || c.Begun(behind) {
		t.Errorf("begun: %v before the reset, %v and %v after it", c.Begun(first), c.Begun(late), c.Begun(behind))
	}
	if c.Withdraw(first, 4) || !c.Withdraw(late, 4) || !c.Withdraw(behind, 6) {
		t.Error("what left was withdrawn, or what did not was not")
	}
	deliver()
	s.want(t, "fed x")
	deliver()
	s.want(t, "reset")
	if used := c.net.used.Load(); used != 0 {
		t.Errorf("%d bytes are counted", used)
	}
}

// TestPatience: a connection whose other side takes nothing ends once its patience is over, and not before: all arrives then.
func TestPatience(t *testing.T) {
	const size = 32 << 20 // more than the system takes
	for _, patience := range []time.Duration{100 * time.Millisecond, time.Hour} {
		n := owner(t, 1<<30)
		c, s, there := dial(t, n, 1<<30)
		c.Patience(patience)
		c.Append(make([]byte, size))
		if patience < time.Hour {
			s.want(t, "does not read")
			continue
		}
		time.Sleep(500 * time.Millisecond)
		c.Finish()
		if got, err := io.Copy(io.Discard, there); got != size || err != nil {
			t.Errorf("%d of %d bytes came, %v", got, size, err)
		}
	}
}
