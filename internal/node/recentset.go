package node

// recentSet remembers the values that were added last, in two generations of limited size whose maps are reused: once the younger one is
// full, the older one is forgotten. A map of the runtime takes at most 21 bytes for each value.
type recentSet struct {
	limit  int // values of one generation
	recent map[uint64]struct{}
	older  map[uint64]struct{}
	forgot bool // a value has been forgotten
}

func newRecentSet(limit int) recentSet {
	return recentSet{limit: max(1, limit), recent: map[uint64]struct{}{}, older: map[uint64]struct{}{}}
}

func (s *recentSet) has(value uint64) bool {
	_, recent := s.recent[value]
	_, older := s.older[value]
	return recent || older
}

// add remembers a value. It is remembered at least until as many others as a generation has were added.
func (s *recentSet) add(value uint64) {
	if _, known := s.recent[value]; known {
		return
	}
	if len(s.recent) >= s.limit {
		s.rotate()
	}
	s.recent[value] = struct{}{}
}

// rotate begins a new generation.
func (s *recentSet) rotate() {
	s.forgot = s.forgot || len(s.older) > 0
	clear(s.older)
	s.recent, s.older = s.older, s.recent
}
