package replica

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/samber/oops"
	"github.com/sourcegraph/conc"

	"github.com/comfreyloom/comfreyloom/internal/datafolder"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// enterSite queries the other voters until this disk is active. Each step is
// durable before the next round of queries.
func (r *Replica) enterSite(ctx context.Context) error {
	ticker := time.NewTicker(r.config.TickInterval)
	defer ticker.Stop()
	var previous identities
	unanswered := ""
	for r.Identity().Phase != datafolder.PhaseActive {
		current := r.identifyPeers(ctx, r.nodesToQuery())
		if ctx.Err() != nil {
			return ctx.Err()
		}
		unanswered = r.logUnanswered(unanswered, current)
		next := nextStep(r.Identity(), r.founders(), previous, current)
		if err := r.applyStep(next, current); err != nil {
			return oops.In("replica").Wrapf(err, "enter the site")
		}
		if previous = current; next.kind != stepWait {
			previous = nil // they were replies to another identity or phase of this disk
			continue
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// founders returns the configured voters. Where voters are discovered at run
// time, these are the nodes that the disk recorded at its first start.
func (r *Replica) founders() founders {
	if !r.config.dynamicVoters {
		return founders{configured: r.config.Members}
	}
	return founders{configured: r.Identity().Founders, count: votersToTolerate(r.config.LostDisks), recorded: true}
}

// nodesToQuery returns the configured voters or, on a disk that adopted a
// founding, perhaps under other settings, the voters that this founding lists.
func (r *Replica) nodesToQuery() []model.NodeID {
	identity := r.Identity()
	if identity.Phase == datafolder.PhaseAdopted {
		return foundingPeers(identity)
	}
	nodes := slices.Concat(r.config.Candidates(), identity.Founders)
	slices.Sort(nodes)
	return slices.Compact(nodes)
}

// logUnanswered logs which voters do not reply whenever that has changed. A new
// site cannot be founded without them, so the operator needs to see them.
func (r *Replica) logUnanswered(previous string, received identities) string {
	unanswered := []string{}
	for _, node := range r.nodesToQuery() {
		if _, replied := received[node]; !replied && node != r.config.Self {
			unanswered = append(unanswered, string(node))
		}
	}
	list := strings.Join(unanswered, " ")
	if list != previous {
		r.config.Log.WithField("phase", r.Identity().Phase.String()).WithField("silent", list).
			WithField("founders", max(r.founders().count, len(r.founders().configured))).
			Info("data folder is not active yet; asking the other voters")
	}
	return list
}

// applyStep makes a step of this disk durable.
func (r *Replica) applyStep(s step, received identities) error {
	if foundings := conflictingFoundings(received); len(foundings) > 0 {
		r.counters.invariantsBroken.Inc(1)
		r.config.Log.WithField("foundings", foundings).Error("invariant broken: one founding a site")
	}
	identity := r.Identity()
	switch s.kind {
	case stepWait:
		return nil
	case stepRenewDisk:
		r.config.Log.Warn("gave up a founding that a lost disk made impossible")
		return r.folder.ResetIdentity()
	case stepAdopt:
		identity.Phase = datafolder.PhaseAdopted
	case stepActivate, stepJoin:
		identity.Phase = datafolder.PhaseActive
	}
	identity.Founding = s.founding
	if err := r.folder.SetIdentity(identity); err != nil {
		return err
	}
	r.config.Log.WithField("phase", identity.Phase.String()).WithField("founding", identity.Founding.ID).
		WithField("voter", string(identity.Voter())).Info("data folder changed phase")
	return nil
}

// identifyPeers queries all nodes but this one concurrently and returns the
// identities received in time. Replies from another site or for another node
// are dropped.
func (r *Replica) identifyPeers(ctx context.Context, nodes []model.NodeID) identities {
	ctx, cancel := context.WithTimeout(ctx, r.config.IdentifyTimeout)
	defer cancel()
	type reply struct {
		node     model.NodeID
		identity Identity
		err      error
	}
	replies := make(chan reply, len(nodes))
	var queries conc.WaitGroup
	for _, node := range nodes {
		if node == r.config.Self {
			continue
		}
		queries.Go(func() {
			identity, err := r.config.Bootstrapper.Identify(ctx, node)
			replies <- reply{node: node, identity: identity, err: err}
		})
	}
	queries.Wait()
	close(replies)
	received := identities{}
	for reply := range replies {
		if reply.err == nil && reply.identity.Site == r.config.Site && reply.identity.Node == reply.node {
			received[reply.node] = reply.identity
		}
	}
	return received
}
