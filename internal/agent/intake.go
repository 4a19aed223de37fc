package agent

import (
	"encoding/json"
	"net/http"

	"github.com/comfreyloom/comfreyloom/internal/caller"
	"github.com/comfreyloom/comfreyloom/internal/intake"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/node"
)

// intakes bound what the peers of each listener make the process hold. Each kind of peer
// has its own shares, so that a flood on one can't use those of another.
type intakes struct {
	callers, upstreams, operators *intake.Gate
	nodes                         *node.Intake
}

// The shares of the process's memory and descriptors that connections may hold. The rest
// is for the process itself, for garbage, and for requests to upstreams.
const (
	callerMemory, callerDescriptors     = 0.2, 0.375
	upstreamMemory, upstreamDescriptors = 0.05, 0.125
	operatorMemory, operatorDescriptors = 0.15, 0.0625
	nodeMemory, nodeDescriptors         = 0.15, 0.0625
	// responseMemory is for the responses of upstreams.
	responseMemory = 0.05
)

// maxResponseMemory bounds what responses of upstreams may hold, in bytes.
const maxResponseMemory = 32 << 20

func (a *Agent) newIntakes() intakes {
	memory, connections := a.settings.Limits.Process.Share(nodeMemory, nodeDescriptors)
	callers := a.gateConfig("callers", callerMemory, callerDescriptors)
	callers.Connections = min(callers.Connections, a.settings.Limits.CallerConnections)
	callers.PassesBodies, callers.RefusalHeader, callers.Limits = true, caller.RefusalHeader, callerLimits
	return intakes{
		callers:   intake.New(callers),
		upstreams: intake.New(a.gateConfig("upstreams", upstreamMemory, upstreamDescriptors)),
		operators: intake.New(a.gateConfig("operators", operatorMemory, operatorDescriptors)),
		nodes:     node.NewIntake(memory, connections, a.logger, a.metrics),
	}
}

func (a *Agent) gateConfig(name string, memory, descriptors float64) intake.Config {
	c := intake.Config{Name: name, Logger: a.logger, Metrics: a.metrics}
	c.Memory, c.Connections = a.settings.Limits.Process.Share(memory, descriptors)
	return c
}

// callerLimits returns the bounds of the gate for callers. The caller path bounds the
// arrival of bodies by the time that a request may take.
func callerLimits() intake.Limits {
	d := caller.DefaultLimits()
	return intake.Limits{
		HeaderBytes: int64(d.MaxHeaderBytes), HeaderTimeout: d.HeaderTimeout, IdleTimeout: d.IdleTimeout,
		BodyTimeout: d.MaxTimeout, WriteTimeout: d.WriteTimeout,
	}
}

// refusePeer writes the response to a request that is refused at a gate; it has not run.
func refusePeer(w http.ResponseWriter, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(model.VerdictHeader, model.NotRun.String())
	status := intake.Status(err)
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]string{"message": err.Error()}) // a disconnected peer can't be sent an error
}
