// Package agent is one process of comfreyloom: it opens the data folder and the
// listeners, connects the components, runs each background task in a goroutine,
// and stops them in an order that interrupts no request.
//
//	a, err := agent.New(settings, agent.Options{})
//	err = a.Run(ctx) // until ctx ends, then a graceful stop
package agent
