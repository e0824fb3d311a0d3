package ggsturn

// A promptSize estimates the size of a service's prompts whose callers don't state it.
type promptSize struct {
	seen bool
	mean float64
}

const (
	// defaultTokens is the size assumed before any size was stated: two pages of text.
	defaultTokens = 1000
	// maxTokens bounds a stated size. No engine's memory holds more tokens, and an unbounded
	// number would reserve an endpoint for one caller for minutes.
	maxTokens  = 200_000
	sizeWeight = 0.05
)

// add records a prompt's size. An unstated or impossible size is ignored.
func (p *promptSize) add(tokens int) {
	if tokens <= 0 || tokens > maxTokens {
		return
	}
	if !p.seen {
		p.seen, p.mean = true, float64(tokens)
		return
	}
	p.mean += sizeWeight * (float64(tokens) - p.mean)
}

// orMean returns the size, or the mean if the size is unstated or impossible, or defaultTokens
// before any size was stated.
func (p *promptSize) orMean(tokens int) int {
	switch {
	case tokens > 0 && tokens <= maxTokens:
		return tokens
	case p.seen:
		return int(p.mean)
	}
	return defaultTokens
}
