package ggsturn

// A usualSize is the size of a service's prompts, for those that don't tell theirs.
type usualSize struct {
	seen bool
	mean float64
}

const (
	// priorTokens is the size of a prompt before any was told: two pages of text.
	priorTokens = 1000
	// mostTokens bounds a size that is told: no engine's memory takes more, and a
	// number without bound would give a caller an endpoint to itself for minutes.
	mostTokens = 200_000
	sizeWeight = 0.05
)

// add notes a prompt's size; one that isn't told says nothing.
func (u *usualSize) add(tokens int) {
	if tokens <= 0 || tokens > mostTokens {
		return
	}
	if !u.seen {
		u.seen, u.mean = true, float64(tokens)
		return
	}
	u.mean += sizeWeight * (float64(tokens) - u.mean)
}

// or returns the size, the usual one where it isn't told or can't be.
func (u *usualSize) or(tokens int) int {
	switch {
	case tokens > 0 && tokens <= mostTokens:
		return tokens
	case u.seen:
		return int(u.mean)
	}
	return priorTokens
}
