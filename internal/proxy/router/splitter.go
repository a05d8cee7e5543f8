package router

// splitter deals calls out in exact proportion to the weights: each turn adds
// every weight to its backend's balance, the largest balance is served and pays
// the sum. After any number of calls each share is off by less than one call.
type splitter struct {
	backends []Backend
	balance  []int
	sum      int
}

func newSplitter(backends []Backend) splitter {
	s := splitter{backends: backends, balance: make([]int, len(backends))}
	for _, b := range backends {
		s.sum += b.Weight
	}
	return s
}

func (s *splitter) next() string {
	best := 0
	for i, b := range s.backends {
		s.balance[i] += b.Weight
		if s.balance[i] > s.balance[best] {
			best = i
		}
	}
	s.balance[best] -= s.sum
	return s.backends[best].Service
}

// inherit takes over the balances of an equal list of backends.
func (s *splitter) inherit(old *splitter) {
	if len(s.backends) != len(old.backends) {
		return
	}
	for i, b := range s.backends {
		if b != old.backends[i] {
			return
		}
	}
	copy(s.balance, old.balance)
}
