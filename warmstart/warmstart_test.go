package warmstart

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

func TestAge(t *testing.T) {
	for _, c := range []struct {
		name         string
		now, earlier Timestamp
		age          float64
		ok           bool
	}{
		{"same boot", Timestamp{1000, 50, "a"}, Timestamp{990, 40, "a"}, 10, true},
		{"same boot, the wall clock was set back", Timestamp{500, 50, "a"}, Timestamp{990, 40, "a"}, 10, true},
		{"another boot", Timestamp{1000, 5, "b"}, Timestamp{900, 400, "a"}, 100, true},
		{"another boot, the wall clock went backwards", Timestamp{800, 5, "b"}, Timestamp{900, 400, "a"}, 0, false},
		{"the wall clock was set back, so that the uptime exceeds the age", Timestamp{1000, 500, "b"}, Timestamp{900, 400, "a"}, 0, false},
		{"the wall clock was set ahead by a year", Timestamp{1000 + 365*86400, 5, "b"}, Timestamp{900, 400, "a"}, 0, false},
		{"same boot ID, but the uptime went backwards", Timestamp{1000, 5, "a"}, Timestamp{900, 400, "a"}, 0, false},
		{"no number", Timestamp{math.NaN(), 5, "b"}, Timestamp{900, 400, "a"}, 0, false},
	} {
		if age, ok := c.now.Age(c.earlier); age != c.age || ok != c.ok {
			t.Errorf("%s: %v %v, not %v %v", c.name, age, ok, c.age, c.ok)
		}
	}
}

func testProfile() Profile {
	return Profile{Settings: 7, Work: 2, Seen: 100, Hinted: 300, Worked: 150, Slow: 3, Times: Times{Counts: []float64{0, 100, 300}, Sum: 500}}
}

// TestDiscount checks how the weight of a profile's knowledge falls with its age: processing times lose their weight
// within an hour, the mean work halves in a day, and the slowdown is gone after minutes. Knowledge of unknown age has a
// quarter of the weight, and knowledge from other settings is dropped.
func TestDiscount(t *testing.T) {
	discountedAt := func(age float64, ageKnown bool) Profile {
		return Discount(Knowledge{Profiles: []Profile{testProfile()}}, age, ageKnown, []uint64{7}, nil).Profiles[0]
	}
	for _, c := range []struct {
		age                 float64
		n, seen, slow, bias float64
	}{{0, 40, 10, 3, 0.5}, {20, 39.1, 10, 2, 0.5}, {600, 20, 9.95, 1, 0.5}, {3600, 0, 9.71, 1, 0.5}, {86400, 0, 5, 1, 0.5}} {
		p := discountedAt(c.age, true)
		if n := p.Times.N(); math.Abs(n-c.n) > 0.7 || math.Abs(p.Seen-c.seen) > 0.05 || math.Abs(p.Slow-c.slow) > 0.01 || math.Abs(p.Worked/p.Hinted-c.bias) > 0.01 {
			t.Errorf("after %v s: %.1f processing times, %.2f completed requests, slowdown %.2f, bias %.2f", c.age, n, p.Seen, p.Slow, p.Worked/p.Hinted)
		}
	}
	if p := discountedAt(0, false); p.Times.N() != 10 || p.Slow != 1 || p.Seen != 2.5 {
		t.Errorf("unknown age: %+v", p)
	}
	b := Discount(Knowledge{Profiles: []Profile{testProfile()}}, 1, true, []uint64{8}, nil)
	if b.Profiles[0].Seen != 0 || len(b.DropReasons) != 1 {
		t.Errorf("changed settings: %+v", b)
	}
}

// TestServerHealthDecays checks that the state of an unhealthy server is restored only for some seconds. It applies to
// one start of the server; the caller compares the starts.
func TestServerHealthDecays(t *testing.T) {
	k := Knowledge{Engines: []Server{{ID: 1, Start: 50, Slow: 4, Fails: 0.8, Ill: true, Pause: 2}, {ID: 2, Slow: 1}}}
	if b := Discount(k, 5, true, nil, nil); len(b.Engines) != 1 || !b.Engines[0].Ill || b.Engines[0].Start != 50 {
		t.Errorf("after 5 s: %+v", b.Engines)
	}
	for _, age := range []float64{120, 86400} {
		if b := Discount(k, age, true, nil, nil); len(b.Engines) != 0 {
			t.Errorf("after %v s: %+v", age, b.Engines)
		}
	}
	if b := Discount(k, 5, false, nil, nil); len(b.Engines) != 0 {
		t.Errorf("unknown age: %+v", b.Engines)
	}
}

// TestTenantDebt checks that a tenant's debt is paid off over time, and that the bucket starts full if the quota has
// changed or the age of the debt is unknown.
func TestTenantDebt(t *testing.T) {
	k := Knowledge{Tenants: []Tenant{{Left: -20, Rate: 4}}}
	if b := Discount(k, 3, true, nil, []float64{4}); b.Tenants[0].Left != -8 {
		t.Errorf("%+v", b.Tenants)
	}
	for _, b := range []DiscountedKnowledge{Discount(k, 3, true, nil, []float64{5}), Discount(k, 3, false, nil, []float64{4})} {
		if !math.IsInf(b.Tenants[0].Left, 1) {
			t.Errorf("%+v", b.Tenants)
		}
	}
}

// TestArbitraryKnowledge checks that for any stored values, also invalid ones, the discounted values are within their
// bounds, weigh at most the allowed maximum, and weigh less the older they are.
func TestArbitraryKnowledge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		anyFloat := func(name string) float64 {
			return rapid.OneOf(rapid.Float64Range(-10, 1000), rapid.Float64(), rapid.SampledFrom([]float64{math.NaN(), math.Inf(1), math.Inf(-1), math.Copysign(0, -1), 1e300, 5e-324})).Draw(t, name)
		}
		k := Knowledge{Cut: anyFloat("cut"), Pace: anyFloat("pace"), Asked: anyFloat("asked"), Span: anyFloat("span")}
		for range rapid.IntRange(0, 3).Draw(t, "profiles") {
			p := Profile{Settings: 7, Work: anyFloat("work"), Seen: anyFloat("seen"), Hinted: anyFloat("hinted"), Worked: anyFloat("worked"), Slow: anyFloat("slow"), Times: Times{Sum: anyFloat("sum")}}
			for range rapid.IntRange(0, 5).Draw(t, "buckets") {
				p.Times.Counts = append(p.Times.Counts, anyFloat("count"))
			}
			k.Profiles = append(k.Profiles, p)
		}
		for n := range rapid.IntRange(0, 3).Draw(t, "engines") {
			k.Engines = append(k.Engines, Server{uint32(n), anyFloat("start"), anyFloat("slow"), anyFloat("fails"), rapid.Bool().Draw(t, "ill"), anyFloat("pause")})
		}
		for range rapid.IntRange(0, 2).Draw(t, "tenants") {
			k.Tenants = append(k.Tenants, Tenant{anyFloat("left"), anyFloat("rate")})
		}
		age, ageKnown := anyFloat("age"), rapid.Bool().Draw(t, "known")
		b := Discount(k, age, ageKnown, []uint64{7, 7}, []float64{3})
		check := func(label string, x, low, high float64) {
			if !(x >= low && x <= high) {
				t.Fatalf("%s is restored as %v", label, x)
			}
		}
		for _, p := range b.Profiles {
			check("times", p.Times.N(), 0, maxProcessingTimesWeight+1e-6)
			check("answers", p.Seen, 0, maxWorkWeight)
			check("slowdown", p.Slow, 0, 1e3)
			check("work", p.Work, 0, 1e6)
			if p.Hinted > 0 {
				check("bias", p.Worked/p.Hinted, 0.0099, 101)
			}
		}
		for _, e := range b.Engines {
			check("server slowdown", e.Slow, 1, 1e3)
			check("server failures", e.Fails, 0, 1)
		}
		check("pace", b.Pace, 1, 1e3)
		check("price", b.Cut, 0, math.Inf(1))
		check("asked", b.Asked, 0, 1e12)
		if ageKnown && age >= 0 && age < 1e6 {
			older := Discount(k, age+60, true, []uint64{7, 7}, []float64{3})
			for n, p := range older.Profiles {
				if p.Times.N() > b.Profiles[n].Times.N()+1e-9 || p.Seen > b.Profiles[n].Seen+1e-9 {
					t.Fatalf("older knowledge weighs more: %+v, %+v", p, b.Profiles[n])
				}
			}
		}
	})
}
