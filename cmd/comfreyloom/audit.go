package main

import (
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/audit"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

type auditCommand struct {
	remote
	From   uint64 `arg:"--from" help:"number of the first record to print"`
	Follow bool   `arg:"--follow" help:"go on printing records as they are made"`
}

// followWait is how long one request waits for the next record.
const followWait = 30 * time.Second

// run prints the audit trail, starting at a given record. A gap or an edit in
// the trail is reported and makes the command fail.
func (k *auditCommand) run(c console) exitCode {
	next, result := k.From, exitDone
	for {
		page, code := k.read(c, next)
		if code != exitDone {
			return code
		}
		printRecords(c, page.Records)
		if printViolations(c, page.Violations) {
			result = exitFailed
		}
		next = page.Next
		if len(page.Records) == 0 && !k.Follow {
			return result
		}
	}
}

func (k *auditCommand) read(c console, from uint64) (audit.Page, exitCode) {
	query := url.Values{"from": {strconv.FormatUint(from, 10)}}
	wait := time.Duration(0)
	if k.Follow {
		wait = followWait
		query.Set("follow", followWait.String())
	}
	var page audit.Page
	code := k.get(c, "audit", "/audit?"+query.Encode(), wait, &page)
	return page, code
}

func printRecords(c console, records []model.AuditRecord) {
	for _, r := range records {
		fmt.Fprintf(c.out, "%d %s %s %s %s", r.Sequence, r.At.Time().Format(time.RFC3339Nano), r.Actor, r.Action, r.Subject)
		printPart(c, "before", r.Before)
		printPart(c, "after", r.After)
		printPart(c, "cause", r.Cause)
		fmt.Fprintln(c.out)
	}
}

func printPart(c console, name, text string) {
	if text != "" {
		fmt.Fprintf(c.out, " %s=%q", name, text)
	}
}

func printViolations(c console, violations []audit.Violation) bool {
	for _, v := range violations {
		fmt.Fprintf(c.err, "comfreyloom audit: the trail is broken at %d (%s): %s\n", v.Sequence, v.Kind, v.Detail)
	}
	return len(violations) > 0
}
