// Package explain reconstructs from the log lines of many processes what
// happened to one job, task or worker: the lines about it in the order of time,
// described in plain text, and between them the changes that affect it (changes
// of leader, unresponsive workers, pools with less capacity than they needed).
// It reads what package telemetry writes and makes no decisions. For all jobs
// together it computes how long they waited for their first start, and why.
package explain
