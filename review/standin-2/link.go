package main

import (
	"io"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// A link is a network path to one address. While it is cut, new connections hang, as behind a partition, and what was written on open ones
// arrives when TCP sends it again after the cut: 0.2, 0.6, 1.4 or 3 s after it was written (a first time-out of 0.2 s that doubles),
// and no later than lifetime.
type link struct {
	from, to string
	log      *record

	mu     sync.Mutex
	l      net.Listener
	cut    bool
	healed time.Time
	cond   *sync.Cond
	dummy  []net.Conn
	fd     int
}

// lifetime is the TCP_USER_TIMEOUT of the project's connections to runners.
const lifetime = 4 * time.Second

// retransmits are the times after a write at which TCP sends it again.
var retransmits = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond, 3 * time.Second}

func (k *link) start() error {
	k.cond = sync.NewCond(&k.mu)
	l, err := net.Listen("tcp", k.from)
	if err != nil {
		return err
	}
	k.l = l
	go k.accept(l)
	return nil
}

func (k *link) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go k.carry(c)
	}
}

// setCut begins the partition: nobody accepts, and the queue of new connections is full.
func (k *link) setCut() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut = true
	_ = k.l.Close()
	host, port, _ := net.SplitHostPort(k.from)
	p, _ := strconv.Atoi(port)
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	a := &syscall.SockaddrInet4{Port: p}
	copy(a.Addr[:], net.ParseIP(host).To4())
	if err := syscall.Bind(fd, a); err != nil {
		return err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return err
	}
	k.fd = fd
	for range 2 {
		if c, err := net.DialTimeout("tcp", k.from, 20*time.Millisecond); err == nil {
			k.dummy = append(k.dummy, c)
		}
	}
	return nil
}

// heal ends the partition.
func (k *link) heal() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range k.dummy {
		_ = c.Close()
	}
	_ = syscall.Close(k.fd)
	l, err := net.Listen("tcp", k.from)
	if err != nil {
		return err
	}
	k.l, k.cut, k.healed = l, false, time.Now()
	k.cond.Broadcast()
	go k.accept(l)
	return nil
}

// carry joins a connection to one to the other end.
func (k *link) carry(c net.Conn) {
	d, err := net.Dial("tcp", k.to)
	if err != nil {
		_ = c.Close()
		return
	}
	go func() {
		k.copy(d, c)
		_ = d.(*net.TCPConn).CloseWrite()
	}()
	k.copy(c, d)
	_ = c.Close()
	_ = d.Close()
}

// copy forwards bytes. Those that were written during a cut arrive at the first retransmission after it. A connection that isn't
// acknowledged for its lifetime is given up.
func (k *link) copy(to io.Writer, from net.Conn) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		written := time.Now()
		k.mu.Lock()
		held := k.cut
		for k.cut {
			k.cond.Wait()
		}
		healed := k.healed
		k.mu.Unlock()
		if held && !k.await(written, healed) {
			return
		}
		if n > 0 {
			if held {
				k.log.line("%d bytes that were written %.3f s ago arrive, %.3f s after the cut", n, time.Since(written).Seconds(), time.Since(healed).Seconds())
			}
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// await waits for the first retransmission after the cut, and reports whether there is one.
func (k *link) await(written, healed time.Time) bool {
	for _, d := range retransmits {
		if at := written.Add(d); !at.Before(healed) && d <= lifetime {
			time.Sleep(time.Until(at))
			return true
		}
	}
	return false
}
