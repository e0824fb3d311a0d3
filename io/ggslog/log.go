// Package ggslog writes the processes' logs in logfmt: one line of key=value pairs
// for each event. New returns a logger, Sampler drops repeated lines of one event, and
// Writer keeps a slow log reader from blocking requests. All of them are safe for
// concurrent use.
//
// # Usage
//
//	l := ggslog.New(os.Stderr, "ggsgateway", vm, ggslog.LevelInfo)
//	l.Log("event", "documentAdopted", "revision", 7)
//	app := fx.New(fx.WithLogger(func() fxevent.Logger { return ggslog.NewFx(l) }))
package ggslog

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
)

// A Level is the lowest level that is logged.
type Level string

// The levels.
const (
	LevelDebug Level = "debug"
	LevelInfo  Level = "info"
	LevelWarn  Level = "warn"
	LevelError Level = "error"
)

// New returns a logger that adds the time, the program and the VM to each line.
func New(w io.Writer, program string, vm ggscore.VMID, l Level) log.Logger {
	k := log.NewLogfmtLogger(log.NewSyncWriter(w))
	k = level.NewFilter(k, levelOption(l))
	return log.With(k, "ts", log.DefaultTimestampUTC, "program", program, "vm", string(vm))
}

// Valid reports whether l is a known level.
func (l Level) Valid() bool {
	switch l {
	case LevelDebug, LevelInfo, LevelWarn, LevelError:
		return true
	}
	return false
}

func levelOption(l Level) level.Option {
	switch l {
	case LevelDebug:
		return level.AllowDebug()
	case LevelWarn:
		return level.AllowWarn()
	case LevelError:
		return level.AllowError()
	case LevelInfo:
	}
	return level.AllowInfo()
}
