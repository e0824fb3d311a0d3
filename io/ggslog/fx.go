package ggslog

import (
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"go.uber.org/fx/fxevent"
)

// An Fx logs the events of uber/fx that an operator needs: failures, start and
// stop.
type Fx struct{ log log.Logger }

var _ fxevent.Logger = (*Fx)(nil)

// NewFx returns an Fx that logs to l.
func NewFx(l log.Logger) *Fx { return &Fx{log: l} }

// LogEvent implements fxevent.Logger.
func (f *Fx) LogEvent(e fxevent.Event) {
	switch v := e.(type) {
	case *fxevent.OnStartExecuted:
		f.failed("startHookFailed", v.FunctionName, v.Err)
	case *fxevent.OnStopExecuted:
		f.failed("stopHookFailed", v.FunctionName, v.Err)
	case *fxevent.Provided:
		f.failed("provideFailed", v.ConstructorName, v.Err)
	case *fxevent.Invoked:
		f.failed("invokeFailed", v.FunctionName, v.Err)
	case *fxevent.Started:
		if v.Err != nil {
			f.failed("startFailed", "", v.Err)
			return
		}
		_ = level.Info(f.log).Log("event", "processStarted")
	case *fxevent.Stopping:
		_ = level.Info(f.log).Log("event", "stopRequested", "signal", v.Signal)
	case *fxevent.Stopped:
		f.failed("stopFailed", "", v.Err)
	}
}

func (f *Fx) failed(event, function string, err error) {
	if err != nil {
		_ = level.Error(f.log).Log("event", event, "function", function, "err", err)
	}
}
