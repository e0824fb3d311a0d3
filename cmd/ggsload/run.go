package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const runLong = `Sends requests to the gateways in turn, on a schedule that the seed determines,
and writes a result as JSON. --mix KIND=WEIGHT may be repeated. KIND is stream,
whole, call:SERVICE/OPERATION, or once:SERVICE/OPERATION for calls with an
idempotency key.`

// The limits of a run.
const (
	maxDuration = time.Hour
	maxRate     = 20_000
	maxInFlight = 20_000
)

// A runCommand sends requests.
type runCommand struct {
	Gateways    []string      `long:"gateway" value-name:"ADDR" required:"true" description:"a gateway; may be repeated"`
	States      []string      `long:"state" value-name:"ADDR" description:"a process's state address, whose counters go into the result; may be repeated"`
	Markets     []string      `long:"market" value-name:"NAME[=WEIGHT]" default:"cr" description:"a market; may be repeated"`
	Service     string        `long:"service" description:"the model service; the gateway's default if empty"`
	Mix         []string      `long:"mix" value-name:"KIND=WEIGHT" default:"stream=1" description:"a kind of request; may be repeated"`
	Rate        float64       `long:"rate" default:"20" description:"requests a second"`
	Duration    time.Duration `long:"duration" default:"10s"`
	Seed        uint64        `long:"seed" default:"1"`
	Adapters    int           `long:"adapters" default:"1" description:"number of adapters"`
	Format      string        `long:"adapter-format" default:"adapter-%05d@v1" description:"format of an adapter's name and version from its number"`
	Zipf        float64       `long:"zipf" default:"1" description:"exponent of the popularity; 0 is even"`
	ShiftAt     time.Duration `long:"shift-at" description:"when the popularity shifts by half of the adapters"`
	PeakAt      time.Duration `long:"peak-at" description:"start of the peak"`
	PeakFor     time.Duration `long:"peak-for" description:"duration of the peak"`
	PeakFactor  float64       `long:"peak-factor" default:"5" description:"factor of the rate during the peak"`
	Tokens      int           `long:"tokens" default:"16" description:"tokens per answer"`
	BodyBytes   int           `long:"body-bytes" default:"200" description:"size of the prompt"`
	Timeout     time.Duration `long:"timeout" default:"30s" description:"bound on each request"`
	MaxInFlight int           `long:"max-in-flight" default:"1000" description:"bound on requests in flight; further ones count as dropped"`
	MaxRequests int           `long:"max-requests" default:"100000"`
	AnyTokens   bool          `long:"any-tokens" description:"don't compare the tokens with those of the fake engines"`
	Name        string        `long:"name" description:"the run's name in reports"`
	Out         string        `long:"out" value-name:"FILE" description:"file for the result; standard output if empty"`
}

// run implements command.
func (r *runCommand) run(ctx context.Context, a *app) error {
	p, err := r.plan()
	if err != nil {
		return err
	}
	c, err := newClient(r)
	if err != nil {
		return err
	}
	defer c.close()
	t := newTally()
	before := c.states(ctx)
	start := a.clock()
	r.send(ctx, a, p, c, t, start)
	result := t.result(r, a.clock().Sub(start))
	result.Before, result.After = before, c.states(context.WithoutCancel(ctx))
	if err := writeResult(a.out, r.Out, &result); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(a.err, result.line())
	switch {
	case result.Wrong > 0:
		return &wrongAnswersError{count: result.Wrong, first: result.FirstWrong}
	case result.Done == 0:
		return &noAnswersError{sent: result.Sent}
	}
	return nil
}

// plan checks the options and returns the schedule.
func (r *runCommand) plan() (*plan, error) {
	switch {
	case r.Rate <= 0 || r.Rate*max(r.PeakFactor, 1) > maxRate:
		return nil, &usageError{detail: fmt.Sprintf("--rate must be above 0, and no more than %d at its peak", maxRate)}
	case r.Duration <= 0 || r.Duration > maxDuration:
		return nil, &usageError{detail: fmt.Sprintf("--duration must be above 0 and no more than %s", maxDuration)}
	case r.MaxInFlight <= 0 || r.MaxInFlight > maxInFlight:
		return nil, &usageError{detail: fmt.Sprintf("--max-in-flight must be 1 to %d", maxInFlight)}
	case r.Adapters <= 0 || r.Tokens <= 0 || r.Zipf < 0 || r.BodyBytes < 0 || r.Timeout <= 0:
		return nil, &usageError{detail: "--adapters, --tokens and --timeout must be above 0; --zipf and --body-bytes must not be negative"}
	}
	return newPlan(r)
}

// send sends the planned requests when they are due and waits for the answers.
//
// A closed loop, which waits for an answer before it sends the next request, slows
// down with the measured system and omits the requests that would have waited longest.
// So each request has its own goroutine, and its latency counts from when it was due.
// A request that is due while too many are in flight counts as dropped.
func (r *runCommand) send(ctx context.Context, a *app, p *plan, c *client, t *tally, start time.Time) {
	slots := make(chan struct{}, r.MaxInFlight)
	var w sync.WaitGroup
	defer w.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for n := 0; n < r.MaxRequests; n++ {
		q, ok := p.next()
		if !ok {
			return
		}
		due := start.Add(q.due)
		if wait := due.Sub(a.clock()); wait > 0 {
			timer.Reset(wait)
			select {
			case <-ctx.Done():
				return
			case <-timer.C:
			}
		}
		select {
		case slots <- struct{}{}:
		default:
			t.drop(q.due)
			continue
		}
		w.Go(func() {
			defer func() { <-slots }()
			t.add(q.due, c.do(ctx, a.clock, due, n, &q))
		})
	}
}

// writeResult writes a result to a file, or to out if the file name is empty.
func writeResult(out interface{ Write([]byte) (int, error) }, file string, result *result) error {
	b, err := result.encode()
	if err != nil {
		return err
	}
	if file == "" {
		_, err = out.Write(b)
		return errors.Wrap(err, "writing the result")
	}
	return errors.Wrap(os.WriteFile(file, b, 0o600), "writing the result")
}

// parseAddr parses the address of an option.
func parseAddr(option, s string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		return a, &usageError{detail: fmt.Sprintf("%s %q: want IP:PORT", option, s)}
	}
	return a, nil
}
