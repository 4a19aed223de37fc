package platform

import (
	"context"
	"errors"
	"fmt"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Client is the platform as the controller sees it. Calls may be late, lost
// or doubled on the way; errors are of type *Error.
type Client interface {
	// VMs lists the VMs that changed since a cursor.
	VMs(ctx context.Context, since Cursor) (VMList, error)
	// Tasks lists the tasks that changed since a cursor.
	Tasks(ctx context.Context, since Cursor) (TaskList, error)
	// Usage lists what was measured since a cursor.
	Usage(ctx context.Context, since Cursor) (UsageList, error)
	// Task asks about one task. Known is false when the platform never heard
	// of it and has no start of it under way.
	Task(ctx context.Context, id model.TaskID) (report TaskReport, known bool, err error)
	// Send hands over commands and returns one answer for each, in order.
	// After an error with MayHaveRun any of them may have taken effect.
	Send(ctx context.Context, commands []Command) ([]Answer, error)
}

// Error is the error of every call. Verdict says whether the call may have
// had an effect.
type Error struct {
	Verdict model.Verdict
	// Op is the call that failed.
	Op string
	// Cause is the error underneath.
	Cause error
}

// Error tells the call, the verdict and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("platform: %s (%s): %v", e.Op, e.Verdict, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// VerdictOf reads the verdict from an error of a Client. An error of another
// type promises nothing and reads as MayHaveRun.
func VerdictOf(err error) model.Verdict {
	var platformError *Error
	if errors.As(err, &platformError) {
		return platformError.Verdict
	}
	return model.MayHaveRun
}
