package ggsedge

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsdefect"
	"greengageslip/core/ggsgossip"
	"greengageslip/core/ggspath"
	"greengageslip/io/ggslog"
	"greengageslip/io/ggsrecord"
)

const (
	// lastConfigInterval is the interval at which it is checked whether the record of the last configuration is due.
	lastConfigInterval = time.Second
	// lastConfigDelay is the time for which a configuration is in force before it is recorded, so that of several in quick
	// succession one is.
	lastConfigDelay = time.Second
	// lastConfigPatience is the time for which a VM without a configuration keeps one with missing parts out of force
	// while the record of their last forms can't be read.
	lastConfigPatience = 3 * time.Second
	// maxConfigBytes bounds the uncompressed size of the record.
	maxConfigBytes = 64 << 20
)

// A lastConfig is what this VM knows of the record of the last configuration in the store, which outlasts all VMs. The
// record belongs to the goroutine that maintains it.
type lastConfig struct {
	// at is the record's position and version that of its configuration, if they are known.
	known   bool
	at      ggscore.StorePosition
	version uint64
	// restored is the version of the configuration whose missing parts were looked up in the record.
	restored uint64
}

// A heldConfig is a configuration with missing parts that isn't in force, because nothing is and the record may have
// the parts. Serving without them would answer that a route doesn't exist, or take a request to a shorter one.
type heldConfig struct {
	config   *ggscore.RoutingConfig
	revision ggscore.StoreRevision
	since    time.Time
}

// configInForce returns the configuration in force, nil for none.
func (e *Edge) configInForce() *ggscore.RoutingConfig {
	if t := e.paths.Load(); t != nil {
		return t.Config
	}
	return nil
}

// adoptConfig brings a configuration into force. Parts that can't be read keep their last form.
func (e *Edge) adoptConfig(n ggscore.Entry) bool {
	c, err := e.Codec.Config(n)
	if err != nil {
		e.setDefects(n.Key, defectOf(n, err))
		e.requestLastConfig()
		return false
	}
	var ds []ggsdefect.Defect
	for _, p := range c.Invalid {
		ds = append(ds, ggsdefect.Defect{Key: n.Key, Part: p.String(), Revision: n.Revision, Reason: p.Reason})
	}
	e.setDefects(n.Key, ds...)
	e.configMu.Lock()
	defer e.configMu.Unlock()
	// A stale answer must not replace a newer configuration.
	if in := e.configVersion(); c.Version <= in {
		return c.Version == in
	}
	if e.configInForce() == nil && len(c.Invalid) > 0 && e.options.Keys.LastConfig != "" {
		return e.holdConfig(c, n.Revision)
	}
	e.useConfig(c.Complete(e.configInForce()), n.Revision)
	return true
}

// holdConfig keeps a configuration until the record is read, and reports whether it is at least as new as the one held.
// Edge.configMu is held.
func (e *Edge) holdConfig(c *ggscore.RoutingConfig, r ggscore.StoreRevision) bool {
	h := &heldConfig{config: c, revision: r, since: e.Monotonic()}
	if o := e.held; o != nil {
		if c.Version <= o.config.Version {
			return c.Version == o.config.Version
		}
		h.since = o.since
	}
	e.held = h
	e.requestLastConfig()
	return true
}

// useConfig brings a configuration into force. Edge.configMu is held.
func (e *Edge) useConfig(c *ggscore.RoutingConfig, r ggscore.StoreRevision) {
	e.held = nil
	e.origins.ObserveRoutes(c.Routes)
	e.paths.Store(ggspath.NewTable(c))
	e.mu.Lock()
	e.configSince = e.Now()
	for s, spec := range c.Services {
		e.turns.SetService(s, c.TargetGap(s))
		if spec.Engine != nil {
			e.table.SetAdapterSlots(s, spec.Engine.MaxAdapters())
		}
	}
	e.mu.Unlock()
	_ = level.Info(e.Log).Log("event", ggslog.EventConfigAdopted, "version", c.Version, "revision", r, "routes", len(c.Routes), "missing", len(c.Invalid))
	if len(c.Invalid) > 0 {
		e.requestLastConfig()
	}
}

// requestLastConfig has the record of the last configuration read at once if this VM lacks one, or parts of it.
func (e *Edge) requestLastConfig() {
	e.lastConfigWanted.Store(true)
	notify(e.lastConfigNotified)
}

// maintainLastConfig reads the record of the last configuration when this VM has none in force and can't read the
// operators', and writes it when this VM is the first of those that are live.
func (e *Edge) maintainLastConfig(ctx context.Context) error {
	if e.options.Keys.LastConfig == "" {
		return nil
	}
	var l lastConfig
	for failures := 0; ; {
		wait := lastConfigInterval
		if failures > 0 {
			wait = e.retryPause(failures)
		}
		if !pauseOrWake(ctx, wait, e.lastConfigNotified) {
			return nil
		}
		err := e.restoreConfig(ctx, &l)
		if err == nil && e.recordsConfig(&l) {
			err = e.recordConfig(ctx, &l)
		}
		if err == nil {
			failures = 0
			continue
		}
		failures++
		e.logReadFailed("lastConfig", failures, err)
	}
}

// restoreConfig brings the recorded configuration into force if there is none, or restores the parts that the one in
// force lacks.
func (e *Edge) restoreConfig(ctx context.Context, l *lastConfig) error {
	in := e.configInForce()
	lacking := in == nil && e.lastConfigWanted.Load() || in != nil && len(in.Invalid) > 0 && l.restored != in.Version
	if !lacking {
		return nil
	}
	c, err := e.readLastConfig(ctx, l)
	e.configMu.Lock()
	defer e.configMu.Unlock()
	h := e.held
	if err != nil {
		if h != nil && e.since(h.since) >= lastConfigPatience {
			e.useConfig(h.config, h.revision)
		}
		return err
	}
	in = e.configInForce()
	switch {
	case in == nil && h != nil && (c == nil || c.Version < h.config.Version):
		l.restored = h.config.Version
		e.useConfig(h.config.Complete(c), h.revision)
	case in == nil && c != nil:
		e.useConfig(c, l.at.Revision)
	case in == nil:
		// There is no record. The operators' next configuration comes into force as usual.
		e.lastConfigWanted.Store(false)
	case len(in.Invalid) > 0:
		l.restored = in.Version
		if o := in.Complete(c); len(o.Invalid) < len(in.Invalid) {
			e.useConfig(o, l.at.Revision)
		}
	}
	return nil
}

// readLastConfig reads the record, nil if there is none or it can't be read.
func (e *Edge) readLastConfig(ctx context.Context, l *lastConfig) (*ggscore.RoutingConfig, error) {
	k := e.options.Keys.LastConfig
	v, at, err := ggsrecord.Read(ctx, e.Store, k)
	if err != nil {
		return nil, err
	}
	l.known, l.at, l.version = true, at, 0
	if at.Revision == 0 {
		e.setDefects(k)
		return nil, nil //nolint:nilnil // there is none
	}
	c, err := e.decodeLastConfig(ggscore.Entry{Key: k, Value: v, Revision: at.Revision})
	if err != nil {
		e.setDefects(k, defectOf(ggscore.Entry{Key: k, Revision: at.Revision}, err))
		return nil, nil //nolint:nilnil // it is replaced with the next configuration
	}
	e.setDefects(k)
	l.version = c.Version
	return c, nil
}

func (e *Edge) decodeLastConfig(n ggscore.Entry) (*ggscore.RoutingConfig, error) {
	z := flate.NewReader(bytes.NewReader(n.Value))
	defer func() { _ = z.Close() }()
	b, err := io.ReadAll(io.LimitReader(z, maxConfigBytes))
	if err != nil {
		return nil, errors.Wrap(err, "decompressing")
	}
	n.Value = b
	return e.Codec.Config(n)
}

// recordsConfig reports whether this VM has to record the configuration in force.
func (e *Edge) recordsConfig(l *lastConfig) bool {
	in := e.configInForce()
	if in == nil || len(in.Invalid) > 0 || ggsgossip.Rank(e.options.VM, e.livePeers()) > 0 {
		return false
	}
	e.mu.Lock()
	since := e.configSince
	e.mu.Unlock()
	if e.Now().Sub(since) < lastConfigDelay || !e.recordsCurrent() {
		return false
	}
	if l.known && l.at.Epoch != e.epochs.current() {
		l.known = false
	}
	return !l.known || l.version < in.Version
}

// recordConfig writes the configuration in force, unless the record has it or a newer one.
func (e *Edge) recordConfig(ctx context.Context, l *lastConfig) error {
	in := e.configInForce()
	if !l.known {
		if _, err := e.readLastConfig(ctx, l); err != nil {
			return err
		}
	}
	if l.version >= in.Version {
		return nil
	}
	v, err := e.encodeLastConfig(in)
	if err != nil {
		return err
	}
	at, err := ggsrecord.Write(ctx, e.Store, e.options.Keys.LastConfig, v, l.at)
	if err != nil {
		// The write may have been executed all the same, or another VM has written.
		l.known = false
		return err
	}
	l.at, l.version = at, in.Version
	_ = level.Info(e.Log).Log("event", ggslog.EventConfigRecorded, "version", in.Version, "revision", at.Revision, "bytes", len(v))
	return nil
}

func (e *Edge) encodeLastConfig(c *ggscore.RoutingConfig) ([]byte, error) {
	v, err := e.Codec.EncodeConfig(c)
	if err != nil {
		return nil, errors.Wrap(err, "encoding the configuration")
	}
	var b bytes.Buffer
	z, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compressing the configuration")
	}
	if _, err := z.Write(v); err != nil {
		return nil, errors.Wrap(err, "compressing the configuration")
	}
	if err := z.Close(); err != nil {
		return nil, errors.Wrap(err, "compressing the configuration")
	}
	return b.Bytes(), nil
}
