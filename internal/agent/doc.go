// Package agent is one process of comfreyloom: it opens the data folder,
// wires the peers to the cores, starts a goroutine for each duty, and stops
// them in the order that cuts off no request.
//
//	a, err := agent.New(settings, agent.Options{})
//	err = a.Run(ctx) // until ctx ends, then a graceful stop
package agent
