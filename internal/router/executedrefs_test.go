package router

import (
	"encoding/binary"
	"testing"
	"time"

	"dunereach/internal/backends"
	"dunereach/internal/fake"
)

// numberedRef returns an id.
func numberedRef(n int) (ref backends.Ref) {
	binary.BigEndian.PutUint64(ref[:], uint64(n))
	return ref
}

// TestExecutedRefs: an id is remembered for a time, and no more ids than the bound.
func TestExecutedRefs(t *testing.T) {
	var e executedRefs
	for n := range 3 * maxExecuted {
		e.add(numberedRef(n), 0)
		e.add(numberedRef(n), 1)
	}
	if len(e.until) != maxExecuted || len(e.order) != maxExecuted {
		t.Errorf("%d ids are kept, %d in order", len(e.until), len(e.order))
	}
	for n, want := range map[int]bool{0: false, 2*maxExecuted - 1: false, 2 * maxExecuted: true, 3*maxExecuted - 1: true} {
		if got := e.contains(numberedRef(n), 1); got != want {
			t.Errorf("id %d is remembered: %v", n, got)
		}
	}
	if e.contains(numberedRef(3*maxExecuted-1), 1+executedFor) {
		t.Error("an id is remembered for too long")
	}
}

// anotherClient connects a further client.
func (b *busyHarness) anotherClient() *fake.Client {
	c := b.harness.client()
	b.acceptClient(<-b.arrivals, false)
	return c
}

// nextAttempt returns the next attempt at a server.
func (b *busyHarness) nextAttempt() fake.Message {
	b.t.Helper()
	select {
	case m := <-b.received:
		return m
	case <-time.After(fake.Timeout):
		b.t.Fatal("no attempt")
		return fake.Message{}
	}
}

// TestSameIDAfterLeaving guards against a request that runs twice, as its id comes again after its client has left: while its attempt is
// out at a server no other begins, and afterwards only for profiles that may be repeated.
func TestSameIDAfterLeaving(t *testing.T) {
	const failed, served = "2/1 call{ 2={ 1=[ ] } }", "2/1 call{ 0={ 1=\"x\\t\\t\\n\" 2=[ ] 3=1 } }"
	for profile, again := range map[string]string{"lookup": served, "once": failed, "never": failed} {
		t.Run(profile, func(t *testing.T) {
			b := newBusyHarness(t)
			b.callProfile(b.client, profile, "a")
			b.deliver(1)
			attempt := b.nextAttempt()
			b.client.Reset()
			b.deliver(1)

			second := b.anotherClient()
			b.callProfile(second, profile, "a")
			b.deliver(1)
			b.expectReply(second, failed)
			b.expectNothingSent()

			attempt.Answer("served", "count=1", "x\t\t\n")
			b.deliver(1)
			third := b.anotherClient()
			b.callProfile(third, profile, "a")
			b.deliver(1)
			if again == served {
				b.nextAttempt().Answer("served", "count=1", "x\t\t\n")
				b.deliver(1)
			}
			b.expectReply(third, again)
			b.expectNothingSent()
		})
	}
}
