// Package ggsfakeengine stands in for a model engine: batch slots, adapter
// slots, loads from a weight store, and streams of tokens.
//
// # Usage
//
//	o := ggsfakeengine.DefaultOptions()
//	o.ID, o.Weights = "r1", store
//	e := ggsfakeengine.New(o)
//	defer e.Close()
//	srv := httptest.NewServer(e.Handler())
//
// The service:
//
//	POST /v1/chat/completions     {model,stream,max_tokens}; runs a request
//	POST /v1/loadLoraAdapter      {adapter,fence}; answers when it is loaded
//	POST /v1/unloadLoraAdapter    {adapter,fence}
//	GET  /v1/state                the report, which may lag
//	GET  /v1/runs                 how often each request id ran
//	GET  /v1/stats                counts
//	POST /v1/faults               replaces the faults, restarts, freezes
//
// A token's text is "adapter@version/request/index ", so that a test can tell
// a whole own answer from any other; answers carry their X-Request-Id back.
// Errors are {"error":{"kind","outcome","detail","seen"}}.
//
// A load goes on when the one who ordered it has left; loading a resident
// adapter and unloading a missing one succeed. The package has no goroutine of
// its own: work is done in those of the HTTP server, and ends with Close.
//
// Locks: Engine.mu guards everything and is never held during I/O.
package ggsfakeengine
