// Package ring provides a bounded first-in first-out queue between goroutines.
// A full ring makes the sender wait or refuses the item, so that no background
// task can grow the memory of the process without bound.
package ring

import (
	"context"
	"errors"
	"sync"
)

// ErrFull is returned if the ring holds as many items as it may.
var ErrFull = errors.New("ring: full")

// ErrClosed is returned if the ring is closed.
var ErrClosed = errors.New("ring: closed")

// Ring is a bounded queue of T, safe for concurrent senders and receivers.
type Ring[T any] struct {
	items     chan T
	closed    chan struct{}
	closeOnce sync.Once
}

// New returns a ring that holds at most size items; size below 1 counts as 1.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{items: make(chan T, max(size, 1)), closed: make(chan struct{})}
}

// TryPut adds an item, or returns ErrFull or ErrClosed, without waiting.
func (r *Ring[T]) TryPut(item T) error {
	if r.isClosed() {
		return ErrClosed
	}
	select {
	case r.items <- item:
		return nil
	default:
		return ErrFull
	}
}

// Put adds an item, waiting while the ring is full until ctx ends or the ring
// closes.
func (r *Ring[T]) Put(ctx context.Context, item T) error {
	if r.isClosed() {
		return ErrClosed
	}
	select {
	case r.items <- item:
		return nil
	case <-r.closed:
		return ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Get removes and returns the oldest item, waiting until ctx ends. After Close
// it still returns the items put before, then ErrClosed.
func (r *Ring[T]) Get(ctx context.Context) (T, error) {
	select {
	case item := <-r.items:
		return item, nil
	default:
	}
	var zero T
	select {
	case item := <-r.items:
		return item, nil
	case <-r.closed:
		return r.drainOne()
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}

// TryGet removes and returns the oldest item if there is one.
func (r *Ring[T]) TryGet() (T, bool) {
	select {
	case item := <-r.items:
		return item, true
	default:
		var zero T
		return zero, false
	}
}

// Len returns the number of waiting items.
func (r *Ring[T]) Len() int { return len(r.items) }

// Close makes the ring refuse further items; it may be called more than once.
func (r *Ring[T]) Close() { r.closeOnce.Do(func() { close(r.closed) }) }

func (r *Ring[T]) isClosed() bool {
	select {
	case <-r.closed:
		return true
	default:
		return false
	}
}

func (r *Ring[T]) drainOne() (T, error) {
	if item, ok := r.TryGet(); ok {
		return item, nil
	}
	var zero T
	return zero, ErrClosed
}
