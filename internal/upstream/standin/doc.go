// Package standin is a small stand-in for an upstream, used by tests, the demo
// and benchmarks: an HTTP server on a loopback socket that announces itself,
// bounds its requests by slots, counts what it ran, and injects faults.
package standin
