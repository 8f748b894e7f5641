package waittime

import (
	"flag"
	"math"
	"math/rand/v2"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// TestMain fixes the seed, so that properties are checked on the same cases in every run; `make explore` checks others.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// TestQuantileCoverage guards against predictions that do not adapt to a biased base: for any constant factor between
// base and actual time and any scatter, half of the waits are below the predicted median and nine in ten below the 90th
// percentile.
func TestQuantileCoverage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		factor := rapid.Float64Range(0.2, 8).Draw(t, "off")
		scatter := rapid.Float64Range(0.05, 1.2).Draw(t, "scatter")
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		b := New(2, 1)
		under50, under90, n := 0.0, 0.0, 0.0
		for k := range 6000 {
			team := k % 3
			base := 0.2 + 3*rnd.Float64()
			actual := base * factor * math.Exp(scatter*rnd.NormFloat64())
			predicted := b.Predict(Start, team, 0, base)
			b.Observe(Start, team, 0, base, actual, false)
			if k < 1500 {
				continue
			}
			if n++; actual <= predicted.P50 {
				under50++
			}
			if actual <= predicted.P90 {
				under90++
			}
		}
		if math.Abs(under50/n-0.5) > 0.06 || math.Abs(under90/n-0.9) > 0.04 {
			t.Fatalf("%.3f under the median, %.3f under the 90th percentile", under50/n, under90/n)
		}
	})
}

// TestCensoredWaits guards against a median that is too low because the waits of clients that gave up count as their
// actual length instead of as longer.
func TestCensoredWaits(t *testing.T) {
	rnd := rand.New(rand.NewPCG(3, 4))
	b := New(1, 1)
	n, covered := 0.0, 0.0
	for k := range 8000 {
		actual, givenUpAfter := math.Exp(0.5*rnd.NormFloat64()), math.Inf(1)
		predicted := b.Predict(Start, 0, 0, 1)
		if k%2 == 0 {
			givenUpAfter = 0.3 // every other client gives up this early
		}
		b.Observe(Start, 0, 0, 1, min(actual, givenUpAfter), actual > givenUpAfter)
		if k > 2000 {
			if n++; actual <= predicted.P50 {
				covered++
			}
		}
	}
	if math.Abs(covered/n-0.5) > 0.06 {
		t.Errorf("%.3f under the median, with every other client giving up early", covered/n)
	}
}

// TestReservations checks that rejected clients get different due times, that a retry before the due time gets the same
// due time and no second reservation, that a retry at the due time redeems its reservation once, and that capacity
// reserved for clients that do not retry is released.
func TestReservations(t *testing.T) {
	b := New(1, 10)
	for range 200 { // waits of two to three seconds, so that both quantiles are known
		b.Observe(RetryAdmission, 0, 0, 1, 2, false)
		b.Observe(RetryAdmission, 0, 0, 1, 3, false)
	}
	first, e := b.Reject(0, 11, 0, 0, 1, 0.1, 0.5)
	second, _ := b.Reject(0, 12, 0, 0, 1, 0.1, 0.5)
	if first != e.P50 || math.Abs(second-first-0.2) > 1e-9 || second > e.P90 {
		t.Fatalf("pauses %.2f and %.2f, estimate %v", first, second, e)
	}
	if again, _ := b.Reject(0.5, 11, 0, 0, 1, 0.1, 0.5); math.Abs(again-(first-0.5)) > 1e-9 || len(b.reservations) != 2 {
		t.Errorf("early retry: pause %.2f, %d reservations", again, len(b.reservations))
	}
	if b.RedeemReservation(1, 11) || b.RedeemReservation(first, 99) || b.RedeemReservation(first, 0) {
		t.Error("an early or unknown request redeemed a reservation")
	}
	if reserved := b.ReservedLoad(first); reserved <= 0 || reserved > 0.2 {
		t.Errorf("%.2f thread seconds reserved", reserved)
	}
	if !b.RedeemReservation(first, 11) || b.RedeemReservation(first, 11) {
		t.Error("a reservation is not redeemed exactly once")
	}
	before := b.redeemedFraction
	if b.ReservedLoad(second+lateTolerance+1) != 0 || b.redeemedFraction >= before {
		t.Error("the reservation of a client that did not retry is not released")
	}
	// The reservations of 2000 other rejected requests of the team do not delay a new client past its 90th percentile.
	for k := range uint64(2000) {
		b.Reject(100, 1000+k, 0, 0, 1, 0.1, 0.5)
	}
	if pause, e := b.Reject(100, 1, 0, 0, 1, 0.1, 0.5); pause > e.P90 || len(b.reservations) > maxReservations {
		t.Errorf("pause %.2f, 90th percentile %.2f, %d reservations", pause, e.P90, len(b.reservations))
	}
	// A pause longer than clients honor is cut to their maximum, and nothing is reserved.
	b = New(1, 0.5)
	if pause, e := b.Reject(0, 5, 0, 0, 3, 0.1, 1); pause != 0.5 || e.P50 < 2.5 || len(b.reservations) != 0 {
		t.Errorf("pause %.2f, median %.2f, %d reservations", pause, e.P50, len(b.reservations))
	}
}

// TestBoundedMemory checks that the number of cells and of teams with accuracy counts stays bounded, for any number of teams.
func TestBoundedMemory(t *testing.T) {
	b := New(1, 10)
	for team := range 100000 {
		b.Observe(Start, team, 0, 1, 1, false)
		b.ObserveRetryAdmission(team, 0, 1, Estimate{1, 2}, 1, false)
	}
	if len(b.cells) != maxCells || len(b.outcomes) > maxAccuracyTeams {
		t.Errorf("%d cells, %d teams with accuracy counts", len(b.cells), len(b.outcomes))
	}
}

// TestEachAccuracy checks the reported accuracy, and that each outcome is reported once.
func TestEachAccuracy(t *testing.T) {
	b := New(1, 1)
	for k := range 100 {
		b.ObserveRetryAdmission(3, 0, 1, Estimate{1, 2}, float64(1+k%10)/4, false) // 0.25 to 2.5: eight in ten are at most 2
	}
	var got []Accuracy
	b.EachAccuracy(RetryAdmission, func(team int, f Accuracy) { got = append(got, f) })
	if len(got) != 1 || got[0].Count != 100 || got[0].Coverage != 0.8 || math.Abs(got[0].Ratio-1.37) > 0.3 {
		t.Errorf("%+v", got)
	}
	b.EachAccuracy(RetryAdmission, func(int, Accuracy) { t.Error("reported twice") })
}
