package ggsorigins

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsorigin"
	"greengageslip/io/ggslog"
	"greengageslip/io/ggsrecord"
)

const (
	// registerInterval is the interval at which it is checked whether the register is due.
	registerInterval = time.Second
	// rankPause spreads the VMs that read and write the register after a change that all see.
	rankPause    = 50 * time.Millisecond
	maxRankPause = time.Second
)

// A registerRecord is the register in the store, as JSON.
type registerRecord struct {
	// Epoch is that in which it was written. In another one, versions that were added since may be missing.
	Epoch    uint64          `json:"epoch"`
	Services []serviceRecord `json:"services"`
}

// A serviceRecord lists the software versions at which streams of a service can have begun.
type serviceRecord struct {
	Service  string   `json:"service"`
	Versions []string `json:"versions"`
}

func registerRecordOf(epoch ggscore.StoreEpoch, r ggsorigin.Register) *registerRecord {
	w := &registerRecord{Epoch: uint64(epoch)}
	for s, vs := range r {
		o := serviceRecord{Service: string(s)}
		for _, v := range vs {
			o.Versions = append(o.Versions, string(v))
		}
		w.Services = append(w.Services, o)
	}
	return w
}

func (w *registerRecord) register() ggsorigin.Register {
	r := ggsorigin.Register{}
	for _, o := range w.Services {
		for _, v := range o.Versions {
			r[ggscore.Service(o.Service)] = append(r[ggscore.Service(o.Service)], ggscore.SoftwareVersion(v))
		}
	}
	return r
}

// A storedRegister is the register as this VM last read it. Tracker.mu guards it.
type storedRegister struct {
	register ggsorigin.Register
	at       ggscore.StorePosition
	// current is set if the register was read since the list of endpoints last got another version or lost one.
	current bool
}

// A registerDue tells what is to be done about the register.
type registerDue int

const (
	registerSettled registerDue = iota
	// registerLater waits for one VM to write.
	registerLater
	// registerNow is needed by each VM, whose streams begin at recorded versions only.
	registerNow
)

// registerDue returns what is to be done, and the register to write if the current one was read. Tracker.mu is held.
func (t *Tracker) registerDue() (registerDue, ggsorigin.Register) {
	now, next, due := t.options.Now(), ggsorigin.Register{}, registerSettled
	for s, vs := range t.stored.register {
		next[s] = vs
	}
	first := t.options.FirstStart && t.stored.at.Revision == 0
	for s := range t.timeouts {
		vs := t.stored.register.Next(now, t.census, s, t.resumePeriod(s), first)
		if len(vs) == 0 || t.stored.current && slices.Equal(vs, t.stored.register[s]) {
			continue
		}
		next[s] = vs
		due = max(due, registerLater)
		if t.census.Mixed(s) {
			due = registerNow
		}
	}
	return due, next
}

// maintainRegister keeps the register in the store as the endpoints' versions are.
func (t *Tracker) maintainRegister(ctx context.Context) error {
	tick := time.NewTicker(registerInterval)
	defer tick.Stop()
	for {
		select {
		case <-t.registerNotified:
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
		for failures := 1; !t.updateRegister(ctx); failures++ {
			if !pause(ctx, t.options.RetryPause(failures)) {
				return nil
			}
		}
	}
}

// updateRegister reads the register, and writes it, if that is due. It reports whether nothing is left to be done.
func (t *Tracker) updateRegister(ctx context.Context) bool {
	rank := t.rank()
	t.mu.Lock()
	due, _ := t.registerDue()
	t.mu.Unlock()
	if due == registerSettled || due == registerLater && (rank > 0 || !t.options.ListComplete()) {
		return true
	}
	if !pause(ctx, min(time.Duration(rank)*rankPause, maxRankPause)) {
		return false
	}
	if err := t.readRegister(ctx); err != nil {
		return false
	}
	t.mu.Lock()
	due, next := t.registerDue()
	at := t.stored.at
	t.mu.Unlock()
	if due == registerSettled {
		return true
	}
	return t.writeRegister(ctx, next, at) == nil
}

// rank returns this VM's place among the live VMs that may write the register.
func (t *Tracker) rank() int {
	vms := append(t.options.Peers.LivePeers(), t.options.VM)
	return slices.Index(ggsorigin.Holders(ggscore.RequestID(t.options.Register), vms, len(vms)), t.options.VM)
}

// readRegister reads the register.
func (t *Tracker) readRegister(ctx context.Context) error {
	t.mu.Lock()
	changes := t.changes
	t.mu.Unlock()
	v, at, err := ggsrecord.Read(ctx, t.options.Store, t.options.Register)
	if err != nil {
		_ = level.Info(t.options.Log).Log("event", ggslog.EventRegisterFailed, "err", err)
		return err
	}
	var w registerRecord
	if at.Revision > 0 {
		if err := json.Unmarshal(v, &w); err != nil {
			_ = level.Warn(t.options.Log).Log("event", ggslog.EventRecordUnreadable, "key", t.options.Register, "revision", at.Revision, "err", err)
		}
	}
	r := ggsorigin.Register{}
	if w.Epoch == uint64(at.Epoch) {
		r = w.register()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stored = storedRegister{register: r, at: at, current: t.changes == changes}
	return nil
}

// writeRegister writes the register in place of the one at a position.
func (t *Tracker) writeRegister(ctx context.Context, r ggsorigin.Register, at ggscore.StorePosition) error {
	v, err := json.Marshal(registerRecordOf(at.Epoch, r))
	if err != nil {
		return errors.Wrap(err, "encoding the register of software versions")
	}
	written, err := ggsrecord.Write(ctx, t.options.Store, t.options.Register, v, at)
	_ = level.Info(t.options.Log).Log("event", ggslog.EventRegisterWritten, "services", len(r), "err", err)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stored.register, t.stored.at = r, written
	return nil
}

func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
