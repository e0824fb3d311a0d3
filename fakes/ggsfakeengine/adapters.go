package ggsfakeengine

import (
	"context"
	"net/http"
	"sort"

	ggscore "greengageslip/core"
)

// Preload makes an adapter resident at once, without a load.
func (e *Engine) Preload(a ggscore.AdapterRef) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resident[a] = &adapter{unloaded: make(chan struct{})}
	e.recordState()
}

// checkFence refuses a fencing token below the greatest one seen. It is called with the
// lock held.
func (e *Engine) checkFence(f ggscore.FencingToken) error {
	if !e.options.ChecksFence {
		return nil
	}
	if f < e.greatestFence {
		e.stats.Fenced++
		return &refusal{
			status: http.StatusConflict,
			kind:   kindFenced,
			detail: "fencing token is below the greatest one seen",
			fence:  uint64(e.greatestFence),
		}
	}
	e.greatestFence = f
	return nil
}

// load makes an adapter resident. The load continues after its caller has disconnected and
// ends at the latest with the incarnation.
func (e *Engine) load(ctx context.Context, a ggscore.AdapterRef, f ggscore.FencingToken) error {
	ctx, endWork := e.beginWork(context.WithoutCancel(ctx))
	defer endWork()
	if err := e.waitUnfrozen(ctx); err != nil {
		return err
	}
	l, isNew, err := e.beginLoad(ctx, a, f)
	if err != nil || l == nil {
		return err
	}
	if isNew {
		return e.endLoad(ctx, a, l, e.fetch(ctx, a))
	}
	select {
	case <-l.done:
		return l.err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// beginLoad returns the load of the adapter, or nil if the adapter is resident. isNew
// reports whether the load is new and the caller has to carry it out.
func (e *Engine) beginLoad(
	ctx context.Context, a ggscore.AdapterRef, f ggscore.FencingToken,
) (l *load, isNew bool, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := context.Cause(ctx); err != nil {
		return nil, false, err
	}
	if err := e.checkFence(f); err != nil {
		return nil, false, err
	}
	if e.resident[a] != nil {
		return nil, false, nil
	}
	if l := e.loading[a]; l != nil {
		return l, false, nil
	}
	if len(e.resident)+len(e.loading) >= e.options.AdapterSlots {
		return nil, false, &refusal{status: http.StatusConflict, kind: kindNoSlot, detail: "all adapter slots are taken"}
	}
	l = &load{done: make(chan struct{})}
	e.loading[a] = l
	e.recordState()
	return l, true, nil
}

func (e *Engine) endLoad(ctx context.Context, a ggscore.AdapterRef, l *load, err error) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer close(l.done)
	if cause := context.Cause(ctx); cause != nil {
		l.err = cause
		return cause
	}
	delete(e.loading, a)
	if err == nil && e.faults.LoadFails > 0 {
		e.faults.LoadFails--
		err = &abortedError{reason: "load failed by fault injection (loadFails)"}
	}
	if err != nil {
		e.stats.LoadFailures++
		e.recordState()
		l.err = &refusal{status: http.StatusInternalServerError, kind: kindLoadFailed, detail: err.Error()}
		return l.err
	}
	e.stats.Loads++
	e.resident[a] = &adapter{unloaded: make(chan struct{})}
	e.recordState()
	return nil
}

func (e *Engine) fetch(ctx context.Context, a ggscore.AdapterRef) error {
	if e.options.Weights != nil {
		if err := e.options.Weights.Fetch(ctx, a); err != nil {
			return err
		}
	}
	return e.waitUnfrozen(ctx)
}

// consumeLostAnswer reports whether the answer to an order is dropped, and counts the drop.
func (e *Engine) consumeLostAnswer() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.LoseOrderAnswers <= 0 {
		return false
	}
	e.faults.LoseOrderAnswers--
	return true
}

// unload unloads an adapter.
func (e *Engine) unload(ctx context.Context, a ggscore.AdapterRef, f ggscore.FencingToken) error {
	ctx, endWork := e.beginWork(context.WithoutCancel(ctx))
	defer endWork()
	if err := e.waitUnfrozen(ctx); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkFence(f); err != nil {
		return err
	}
	r := e.resident[a]
	if r == nil {
		return nil
	}
	if r.running > 0 && e.options.GuardsRunning {
		return &refusal{status: http.StatusConflict, kind: kindInUse, detail: a.String() + " is in use"}
	}
	e.stats.BrokenByUnload += uint64(r.running)
	e.stats.Unloads++
	close(r.unloaded)
	delete(e.resident, a)
	e.recordState()
	return nil
}

func sortedRefs[V any](m map[ggscore.AdapterRef]V) []ggscore.AdapterRef {
	refs := make([]ggscore.AdapterRef, 0, len(m))
	for a := range m {
		refs = append(refs, a)
	}
	sort.Slice(refs, func(i, j int) bool { return refs[i].String() < refs[j].String() })
	return refs
}
