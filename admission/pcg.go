package admission

// pcg is the permuted congruential generator PCG-XSH-RR 64/32 (O'Neill, 2014).
type pcg struct{ state uint64 }

func newPCG(seed uint64) pcg {
	p := pcg{seed + 1442695040888963407}
	p.next()
	return p
}

func (p *pcg) next() uint32 {
	s := p.state
	p.state = s*6364136223846793005 + 1442695040888963407
	x := uint32((s>>18 ^ s) >> 27)
	r := uint32(s >> 59)
	return x>>r | x<<(-r&31)
}

// float returns a uniform value in [0, 1).
func (p *pcg) float() float64 { return float64(p.next()) / (1 << 32) }
