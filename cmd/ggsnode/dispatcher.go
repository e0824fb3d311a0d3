package ggsnode

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/go-kit/log"
	"github.com/google/uuid"
	"go.uber.org/fx"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsschedule"
	"greengageslip/io/ggsclaims"
	"greengageslip/io/ggsconfig"
	"greengageslip/io/ggsdispatch"
	"greengageslip/io/ggsengine"
	"greengageslip/io/ggslog"
	"greengageslip/io/ggsrpc"
	"greengageslip/io/ggssettings"
	"greengageslip/io/ggsstate"
	"greengageslip/io/ggsvms"
)

const (
	dispatcherProgram = "ggsdispatcher"
	// defaultKeyRetention stands in until there is a document.
	defaultKeyRetention = 24 * time.Hour
)

// RunDispatcher runs a dispatcher until a signal or the context's end and
// returns its exit code.
func RunDispatcher(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	c, code, ok := parse(dispatcherProgram, args, stdout, stderr)
	if !ok {
		return code
	}
	s, err := ggssettings.ReadDispatcher(c.Settings)
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "%s: %v\n", dispatcherProgram, err)
		return exitUsage
	}
	l := ggslog.New(stderr, dispatcherProgram, s.VM, s.LogLevel)
	return runApp(ctx, &s.Node, l, common(role{program: dispatcherProgram}), fx.Supply(&s),
		fx.Provide(newMembers, newClaims, newDispatcher),
		fx.Invoke(startFollowers, startDispatcher))
}

// newMembers makes the other dispatchers known to the document's follower.
func newMembers(n *ggssettings.Node, v *ggsvms.Follower) ggsconfig.MemberLister {
	return &listedMembers{node: n, vms: v}
}
