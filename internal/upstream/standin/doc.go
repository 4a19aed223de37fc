// Package standin is a small stand-in for an upstream: an HTTP server on a
// loopback socket that announces itself, takes requests in slots, counts what
// it ran, and misbehaves on demand. Tests, the demo and benchmarks use it.
package standin
