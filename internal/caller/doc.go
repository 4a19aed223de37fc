// Package caller serves callers over HTTP: it forwards their requests to
// upstreams, takes their jobs, and answers with a verdict that says whether a
// request may have run.
//
// The rules that it keeps:
//   - a request is reported as not run only if no byte of it can have reached
//     an upstream, or if the upstream said so;
//   - a non-idempotent request is handed to at most one upstream; with a key
//     this holds across entry VMs, resends and crashes, because the key is
//     claimed in the control log before the first byte leaves;
//   - an answer is passed on whole, or the caller can see that it is not.
package caller
