package relay

import (
	"github.com/cespare/xxhash/v2"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// maxRelays bounds the VMs that call for the leader. Each costs the leader two
// exchanges per exchangeInterval.
const maxRelays = 4

// choose returns the VMs that call workers for the leader: the first of the
// available ones, as many as the number of workers asks for. The current number
// stays until it is twice what is needed: workers come and go with moves and
// maintenance, and each change has workers called over new connections.
func choose(available []model.NodeID, knownWorkers, workersPerRelay, current int) []model.NodeID {
	wanted := knownWorkers / workersPerRelay
	if wanted < current && 2*knownWorkers >= current*workersPerRelay {
		wanted = current
	}
	return available[:min(len(available), wanted, maxRelays)]
}

// relayFor returns the VM that calls a worker, by rendezvous hashing: if one VM
// drops out, only its workers go to others.
func relayFor(worker workload.WorkerID, relays []model.NodeID) model.NodeID {
	var best model.NodeID
	var highest uint64
	for _, relay := range relays {
		if score := xxhash.Sum64String(string(relay) + "\x00" + string(worker)); best == "" || score > highest {
			best, highest = relay, score
		}
	}
	return best
}
