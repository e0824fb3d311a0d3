package ggsconfig_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	ggscore "greengageslip/core"
	"greengageslip/io/ggsconfig"
	"greengageslip/io/ggsrpc"
)

// idleWindow is how long the traffic of an idle fleet is measured.
const idleWindow = 5 * time.Second

// A countingListener counts the bytes read and written on its connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, bytes: l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// A fleet is a set of followers connected by net/rpc over loopback.
type fleet struct {
	members   []ggsconfig.Member
	followers []*ggsconfig.Follower
	bytes     atomic.Int64
	running   sync.WaitGroup
}

// Members implements ggsconfig.MemberLister.
func (f *fleet) Members() []ggsconfig.Member { return f.members }

// BenchmarkInForce measures propagation with the default intervals. It reports the time
// until an accepted change is in force on every VM (mean-s and longest-s), the number of
// VMs that watch, and the traffic of an idle VM. The platform is an in-memory store.
func BenchmarkInForce(b *testing.B) {
	for _, n := range []int{9, 30, 60} {
		b.Run(strconv.Itoa(n), func(b *testing.B) { benchmarkInForce(b, n) })
	}
}

func benchmarkInForce(b *testing.B, n int) {
	ctx, cancel := context.WithCancel(context.Background())
	s := newFaultyStore()
	last := mustApply(b, s, edit("services", []byte(servicesText), 0, "s"))
	f := &fleet{}
	defer f.running.Wait()
	defer cancel()
	f.start(ctx, b, s, n)
	f.await(ctx, last)
	idle := f.bytes.Load()
	time.Sleep(idleWindow) //nolint:forbidigo // the window of a measurement, not a wait for an event
	idle = f.bytes.Load() - idle
	var longest, sum time.Duration
	changes := 0
	for b.Loop() {
		changes++
		last = mustApply(b, s, edit("policy", []byte(fmt.Sprintf("loadsInTransit = %d\n", 30+changes)), last, "p"+strconv.Itoa(changes)))
		start := time.Now() //nolint:forbidigo // a measurement
		f.await(ctx, last)
		d := time.Since(start) //nolint:forbidigo // a measurement
		longest, sum = max(longest, d), sum+d
	}
	watching := 0
	for _, f := range f.followers {
		if f.State().Watching {
			watching++
		}
	}
	b.ReportMetric(longest.Seconds(), "longest-s")
	b.ReportMetric(sum.Seconds()/float64(changes), "mean-s")
	b.ReportMetric(float64(watching), "watches")
	b.ReportMetric(float64(idle)/idleWindow.Seconds()/float64(n), "idleBytes/s/VM")
}

// await waits until all followers have adopted revision r.
func (f *fleet) await(ctx context.Context, r ggscore.Revision) {
	for _, f := range f.followers {
		l := f.Subscribe(ctx)
		for d := <-l; d.Revision < r; d = <-l {
			continue
		}
	}
}

// start starts n followers in three failure domains.
func (f *fleet) start(ctx context.Context, b *testing.B, s *faultyStore, n int) {
	var listeners []net.Listener
	for i := range n {
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		listeners = append(listeners, &countingListener{Listener: l, bytes: &f.bytes})
		f.members = append(f.members, ggsconfig.Member{
			VM:     ggscore.VMID("vm" + strconv.Itoa(i)),
			Domain: ggscore.Domain("domain" + strconv.Itoa(i%3)),
			Addr:   netip.MustParseAddrPort(l.Addr().String()),
		})
	}
	for i, m := range f.members {
		p := ggsrpc.NewPool(ggsrpc.PoolOptions{})
		w := ggsconfig.NewFollower(ggsconfig.FollowerOptions{
			Self: m.VM, Domain: m.Domain, Store: s, Members: f, Peers: ggsconfig.NewPeers(p),
		})
		f.followers = append(f.followers, w)
		r := ggsrpc.NewServer()
		if err := r.Register(ggsconfig.ServiceName, ggsconfig.NewService(w)); err != nil {
			b.Fatal(err)
		}
		f.running.Go(func() { _ = r.Serve(ctx, listeners[i]) })
		f.running.Go(func() {
			_ = w.Run(ctx)
			_ = p.Close()
		})
	}
}
