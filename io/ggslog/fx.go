package ggslog

import (
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"go.uber.org/fx/fxevent"
)

// An Fx logs the events of uber/fx that matter to an operator: failures, start and
// stop.
type Fx struct{ log log.Logger }

var _ fxevent.Logger = (*Fx)(nil)

// NewFx returns an Fx that logs to l.
func NewFx(l log.Logger) *Fx { return &Fx{log: l} }

// LogEvent implements fxevent.Logger.
func (f *Fx) LogEvent(e fxevent.Event) {
	switch v := e.(type) {
	case *fxevent.OnStartExecuted:
		f.logFailure("startHookFailed", v.FunctionName, v.Err)
	case *fxevent.OnStopExecuted:
		f.logFailure("stopHookFailed", v.FunctionName, v.Err)
	case *fxevent.Provided:
		f.logFailure("provideFailed", v.ConstructorName, v.Err)
	case *fxevent.Invoked:
		f.logFailure("invokeFailed", v.FunctionName, v.Err)
	case *fxevent.Started:
		if v.Err != nil {
			f.logFailure("startFailed", "", v.Err)
			return
		}
		_ = level.Info(f.log).Log("event", "processStarted")
	case *fxevent.Stopping:
		_ = level.Info(f.log).Log("event", "stopRequested", "signal", v.Signal)
	case *fxevent.Stopped:
		f.logFailure("stopFailed", "", v.Err)
	}
}

func (f *Fx) logFailure(event, function string, err error) {
	if err != nil {
		_ = level.Error(f.log).Log("event", event, "function", function, "err", err)
	}
}
