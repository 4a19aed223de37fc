// Package intake bounds what the peers of one listener make a process hold: memory,
// from the first byte of a request to the last of its response, and descriptors.
//
// Each connection has an account. What it makes the process hold is charged to the
// account while the bytes arrive, before net/http parses them, and is credited when its
// request has ended. If the charges of all accounts reach the memory of the listener,
// connections that have stalled are shed, the longest waiting first; if there are none,
// the connection that asks for more is refused. Requests in progress are never shed.
package intake
