package platform

import (
	"context"
	"errors"
	"fmt"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Client makes the controller's calls to the platform. A call may be delayed,
// lost or duplicated on the network. All errors are of type *Error.
type Client interface {
	// VMs lists the VMs that changed since a cursor.
	VMs(ctx context.Context, since Cursor) (VMList, error)
	// Tasks lists the tasks that changed since a cursor.
	Tasks(ctx context.Context, since Cursor) (TaskList, error)
	// Usage lists the measurements since a cursor.
	Usage(ctx context.Context, since Cursor) (UsageList, error)
	// Task reports one task. Known is false if the platform never received a
	// command for it and no start of it is in flight.
	Task(ctx context.Context, id model.TaskID) (report TaskReport, known bool, err error)
	// Send sends commands and returns one answer for each, in order. After an
	// error with MayHaveRun any of them may have taken effect.
	Send(ctx context.Context, commands []Command) ([]Answer, error)
}

// Error is the error of every call. Verdict reports whether the call may have
// had an effect.
type Error struct {
	Verdict model.Verdict
	// Op describes the call that failed.
	Op string
	// Cause is the underlying error.
	Cause error
}

// Error returns the call, the verdict and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("platform: %s (%s): %v", e.Op, e.Verdict, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// VerdictOf returns the verdict of an error of a Client. For an error of another
// type nothing is certain, and the verdict is MayHaveRun.
func VerdictOf(err error) model.Verdict {
	var platformError *Error
	if errors.As(err, &platformError) {
		return platformError.Verdict
	}
	return model.MayHaveRun
}
