package fleet

import "testing"

// TestOnceWrong plays drawn runs that once found something wrong: an owner that had heard nothing for a lease was confirmed by the answer
// to a beat that did not count, and acted after the next one.
func TestOnceWrong(t *testing.T) {
	for _, seed := range []uint64{5001794, 5003625, 5005704} {
		if _, err := Play(Drawn(seed), nil); err != nil {
			t.Error(err)
		}
	}
}
