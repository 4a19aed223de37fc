// Package caller serves callers over HTTP: it forwards their requests to
// upstreams, accepts their jobs, and responds with a verdict that reports
// whether a request may have run.
//
// The package upholds these rules:
//   - a request is reported as not run only if no byte of it can have reached
//     an upstream, or if the upstream reported so;
//   - a non-idempotent request is sent to at most one upstream; with a key
//     this holds across entry VMs, resends and crashes, because the key is
//     claimed in the control log before the first byte is sent;
//   - a response is passed on whole, or the caller can detect that it is not.
package caller
