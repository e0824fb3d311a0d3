package ggswire

import "context"

// A callContext is the context of a call, which ends with its connection. It isn't sent.
type callContext struct {
	ctx context.Context //nolint:containedctx // net/rpc passes methods nothing but their arguments
}

// SetContext implements ggsrpc.ContextSetter.
func (c *callContext) SetContext(ctx context.Context) { c.ctx = ctx }

// Context returns the context of the call.
func (c *callContext) Context() context.Context {
	if c.ctx == nil {
		return context.Background()
	}
	return c.ctx
}
