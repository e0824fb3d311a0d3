// Package ggsfakeengine is a test double of an inference engine. It simulates batch slots,
// adapter slots, adapter loads from a weight store and streams of tokens, and serves them
// over HTTP.
//
// # Usage
//
//	o := ggsfakeengine.DefaultOptions()
//	o.ID, o.Weights = "r1", store
//	e := ggsfakeengine.New(o)
//	defer e.Close()
//	srv := httptest.NewServer(e.Handler())
//
// The HTTP API:
//
//	POST /v1/chat/completions     {model,stream,max_tokens}; runs a request
//	POST /v1/loadLoraAdapter      {adapter,fence}; answers when the adapter is loaded
//	POST /v1/unloadLoraAdapter    {adapter,fence}
//	GET  /v1/state                the report, delayed by the report lag
//	GET  /v1/runs                 number of runs by request ID
//	GET  /v1/stats                counters
//	POST /v1/faults               replaces the faults, restarts or freezes the engine
//
// The text of a token is "adapter@version/request/index ". Tests use it to detect truncated
// answers and answers of other requests. Answers return the X-Request-Id of their request.
// Errors are {"error":{"kind","outcome","detail","seen"}}. With kind fenced, seen is the
// greatest fencing token that the incarnation has seen.
//
// A load continues after its caller has disconnected. Loading a resident adapter and
// unloading a missing one succeed. The package starts no goroutines: all work runs in the
// goroutines of the HTTP server, and Close ends that work.
//
// Locks: Engine.mu guards all mutable state and is never held during I/O.
package ggsfakeengine
