package ggsrpc

import (
	"context"
	"net"
	"net/rpc"
	"sync"
)

// defaultMaxCalls bounds the calls in progress of a server without a limit of its own.
const defaultMaxCalls = 1 << 16

// A Server is a net/rpc server that closes its connections when its context ends.
type Server struct {
	rpc *rpc.Server
	// answerBytes returns the memory that the answer to a method may take.
	answerBytes func(method string) int64
	// calls has an element for each call in progress, also of connections that have ended.
	calls chan struct{}

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// NewServer returns a Server without registered methods.
func NewServer() *Server {
	return &Server{
		rpc: rpc.NewServer(), answerBytes: func(string) int64 { return 0 }, calls: make(chan struct{}, defaultMaxCalls), conns: make(map[net.Conn]struct{}),
	}
}

// SetMaxCalls bounds the calls in progress to those that fit into a number of bytes. Further ones aren't read. It must be called before
// Serve.
func (s *Server) SetMaxCalls(memory int64) {
	s.calls = make(chan struct{}, max(memory/callBytes, 1))
}

// SetAnswerBytes sets a function that returns the memory that the answer to a method ("name.Method") may take. It must be called
// before Serve.
func (s *Server) SetAnswerBytes(f func(method string) int64) { s.answerBytes = f }

// Register makes those methods of rcvr that net/rpc supports callable as "name.Method".
func (s *Server) Register(name string, rcvr any) error {
	return s.rpc.RegisterName(name, rcvr)
}

// Serve answers calls until the context ends. It then closes the listener and all connections, and
// returns nil when all connections have ended. If accepting a connection fails, Serve closes all
// connections and returns the error.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() {
		_ = l.Close()
		s.closeAll()
	})
	defer stop()
	var w sync.WaitGroup
	defer w.Wait()
	for {
		c, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			s.closeAll()
			return err
		}
		s.add(c)
		w.Go(func() {
			s.rpc.ServeCodec(newServerCodec(ctx, s, c))
			s.remove(c)
		})
		if ctx.Err() != nil {
			s.closeAll()
		}
	}
}

func (s *Server) add(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *Server) remove(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}
