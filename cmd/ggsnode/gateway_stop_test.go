package ggsnode_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengageslip/cmd/ggsnode"
	"greengageslip/fakes/ggsfakeplain"
)

const (
	gatewayStopTime = 4 * time.Second
	gatewayStopWork = 700 * time.Millisecond
	// gatewayStopLong is how long requests take that come late in a stop, in the case that they take longer.
	gatewayStopLong     = 2500 * time.Millisecond
	gatewayStopInterval = 200 * time.Millisecond
	gatewayStopLead     = 300 * time.Millisecond
	// gatewayStopEarly is the time after the beginning of a stop up to which requests are served.
	gatewayStopEarly = time.Second
)

// A gatewayCall is a call whose body ends at a time after the beginning of a gateway's stop.
type gatewayCall struct {
	at     time.Duration
	key    string
	status int
	body   string
	err    error
}

// Guards against requests that reach a stopping gateway late, are submitted, and are cut at the end of the stop.
func TestStopOfAGatewayCutsNoRequestThatCameLate(t *testing.T) {
	t.Parallel()
	for name, longer := range map[string]bool{"requests as before": false, "longer ones late": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testStopOfAGateway(t, longer)
		})
	}
}

func testStopOfAGateway(t *testing.T, longer bool) {
	t.Helper()
	c := qt.New(t)
	b := newTestDeployment(t)
	ledger := b.plain("ledger-1", "a")
	b.document()
	b.dispatcher(1, "a")
	g := b.start(ggsnode.RunGateway, b.gatewayVM(1, "a", fmt.Sprintf("drainTimeout = %q", gatewayStopTime)))
	b.ready(g)
	ledger.SetFaults(ggsfakeplain.Faults{Slow: gatewayStopWork})
	var calls []*gatewayCall
	var running sync.WaitGroup
	for range 10 {
		running.Go(func() {
			status, _, text := b.post(g, releasePath, `{"deposit":1}`, "Idempotency-Key", newKey())
			c.Check(status, qt.Equals, http.StatusOK, qt.Commentf("%s", text))
		})
		if longer {
			// Requests that wait for each other would be expected to take longer.
			running.Wait()
		}
	}
	running.Wait()
	begins := time.Now().Add(gatewayStopLead)
	for at := time.Duration(0); at < gatewayStopTime; at += gatewayStopInterval {
		k := &gatewayCall{at: at, key: newKey()}
		calls = append(calls, k)
		// The head arrives before the stop.
		running.Go(func() { k.err = k.send(g.addr.String(), begins) })
	}
	time.Sleep(time.Until(begins))
	stopped := make(chan int, 1)
	go func() { stopped <- g.stop() }()
	if longer {
		time.Sleep(time.Until(begins.Add(gatewayStopTime/2 + gatewayStopLead)))
		ledger.SetFaults(ggsfakeplain.Faults{Slow: gatewayStopLong})
	}
	running.Wait()
	c.Check(<-stopped, qt.Equals, 0)
	counts := map[int]int{}
	for _, k := range calls {
		counts[k.status]++
		runs := runsOf(ledger, k.key)
		what := qt.Commentf("whole at %s: %d %q, runs %d, %v", k.at, k.status, k.body, runs, k.err)
		c.Check(k.err, qt.IsNil, what)
		c.Check(k.status == http.StatusOK && runs == 1 || k.status == http.StatusServiceUnavailable && runs == 0, qt.IsTrue, what)
		c.Check(k.at > gatewayStopEarly || k.status == http.StatusOK, qt.IsTrue, what)
	}
	c.Logf("by status: %v", counts)
}

// send sends a release whose body ends at the call's time, and reads its answer.
func (k *gatewayCall) send(addr string, begins time.Time) error {
	n, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", addr)
	if err != nil {
		return err
	}
	defer func() { _ = n.Close() }()
	body := `{"deposit":1}`
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nX-Market: cr\r\nIdempotency-Key: %s\r\nContent-Length: %d\r\n\r\n",
		releasePath, k.key, len(body))
	if _, err := io.WriteString(n, head+body[:1]); err != nil {
		return err
	}
	r := bufio.NewReader(n)
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		_, _ = r.Peek(1)
	}()
	select {
	case <-answered:
	case <-time.After(time.Until(begins.Add(k.at))):
		if _, err := io.WriteString(n, body[1:]); err != nil {
			return err
		}
		<-answered
	}
	a, err := http.ReadResponse(r, &http.Request{Method: http.MethodPost})
	if err != nil {
		return err
	}
	defer func() { _ = a.Body.Close() }()
	var text strings.Builder
	_, err = io.Copy(&text, a.Body)
	k.status, k.body = a.StatusCode, text.String()
	return err
}
