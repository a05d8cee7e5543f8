package router

// splitter selects backends by smooth weighted round-robin: each selection adds
// every weight to the current weight of its backend, then picks the backend with the
// largest current weight and subtracts the total weight from it. After any number of
// calls no backend is ahead of its exact proportion by a whole call; since the current weights
// add up to 0, none is behind by as many calls as there are other backends.
type splitter struct {
	backends       []Backend
	currentWeights []int
	totalWeight    int
}

// maxPhase bounds the selections that a new splitter skips.
const maxPhase = 1 << 10

// newSplitter returns a splitter whose sequence of selections begins at a position that phase
// determines. If all nodes began at the same position, their first calls would all go to the
// same backend.
func newSplitter(backends []Backend, phase uint64) splitter {
	s := splitter{backends: backends, currentWeights: make([]int, len(backends))}
	for _, b := range backends {
		s.totalWeight += b.Weight
	}
	if len(backends) > 1 && s.totalWeight > 0 {
		s.skip(int(phase % uint64(min(s.totalWeight, maxPhase))))
	}
	return s
}

// skip makes selections without calls.
func (s *splitter) skip(selections int) {
	for range selections {
		s.next()
	}
}

func (s *splitter) next() string {
	best := 0
	for i, b := range s.backends {
		s.currentWeights[i] += b.Weight
		if s.currentWeights[i] > s.currentWeights[best] {
			best = i
		}
	}
	s.currentWeights[best] -= s.totalWeight
	return s.backends[best].Service
}

// inherit copies the current weights of a splitter with the same backends, and does
// nothing if the backends differ.
func (s *splitter) inherit(old *splitter) {
	if len(s.backends) != len(old.backends) {
		return
	}
	for i, b := range s.backends {
		if b != old.backends[i] {
			return
		}
	}
	copy(s.currentWeights, old.currentWeights)
}
