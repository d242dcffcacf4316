package admit

// maxPasses bounds the search of the level. Each pass cuts the missing work times the slope to a quarter
// at most, so 21 passes find the level among MaxWorkspaces; the rest is for rounding.
const maxPasses = 64

// findLevel returns the fair level, scaled. There must be at least one workspace.
//
// The sum of min(asked, x) grows with x along straight lines whose slope, the number of workspaces that
// ask for more than x, falls. So Newton's method reaches the level exactly, from the left after the
// first step; as the level moves little between two decisions, two or three passes do.
func (s *Shares) findLevel() float64 {
	total := 0.0
	for _, admitted := range s.admitted {
		total += admitted
	}
	// The level is never below an equal part.
	equal := total / float64(len(s.admitted))
	x := max(s.level, equal)
	for range maxPasses {
		filled, above := s.fill(x)
		missing := total - filled
		switch {
		case above == 0 && missing >= -tolerance*total:
			s.level = s.mostAsked()
			return s.level
		case above == 0:
			// Beyond all that is asked for, the slope does not lead back.
			x = equal
			continue
		}
		next := x + missing/float64(above)
		if missing <= tolerance*total && missing >= -tolerance*total {
			s.level = max(next, equal)
			return s.level
		}
		x = max(next, equal)
	}
	return x
}

// fill returns the sum of min(asked, x), and the number of workspaces that ask for more than x.
func (s *Shares) fill(x float64) (sum float64, above int) {
	for _, asked := range s.asked {
		if asked > x {
			above++
			sum += x
		} else {
			sum += asked
		}
	}
	return sum, above
}

func (s *Shares) mostAsked() float64 {
	most := 0.0
	for _, asked := range s.asked {
		most = max(most, asked)
	}
	return most
}
