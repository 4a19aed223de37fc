package datafolder

import (
	"strings"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/quorum"
)

const diskSeparator = "#"

// VoterID returns the voter ID of a node with the given disk identity.
func VoterID(node model.NodeID, disk string) quorum.ID {
	return quorum.ID(string(node) + diskSeparator + disk)
}

// NodeOf returns the node of a voter.
func NodeOf(id quorum.ID) model.NodeID {
	node, _, _ := strings.Cut(string(id), diskSeparator)
	return model.NodeID(node)
}
