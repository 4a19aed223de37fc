package replica

import (
	"context"
	"strings"
	"time"

	"github.com/samber/oops"
	"github.com/sourcegraph/conc"

	"github.com/comfreyloom/comfreyloom/internal/datafolder"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// enterSite asks the other voters until this disk is active. Each step is
// durable before the next round of questions.
func (r *Replica) enterSite(ctx context.Context) error {
	ticker := time.NewTicker(r.config.TickEvery)
	defer ticker.Stop()
	var before answers
	waitsFor := ""
	for r.Identity().Phase != datafolder.PhaseActive {
		now := r.askOthers(ctx, r.founders())
		if ctx.Err() != nil {
			return ctx.Err()
		}
		waitsFor = r.logSilent(waitsFor, now)
		next := decide(r.Identity(), r.config.Members, before, now)
		if err := r.take(next, now); err != nil {
			return oops.In("replica").Wrapf(err, "enter the site")
		}
		if before = now; next.kind != stepWait {
			before = nil // answers to another identity say nothing about this one
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

// founders are the nodes to ask: the configured voters and, on a disk that
// adopted a founding under other settings, those that it lists.
func (r *Replica) founders() []model.NodeID {
	identity := r.Identity()
	if identity.Phase == datafolder.PhaseAdopted {
		return foundingNodes(identity)
	}
	return r.config.Candidates()
}

// logSilent tells which voters don't answer, when that has changed: without
// them a new site cannot be founded, and the operator sees why.
func (r *Replica) logSilent(before string, now answers) string {
	silent := []string{}
	for _, node := range r.founders() {
		if _, answered := now[node]; !answered && node != r.config.Self {
			silent = append(silent, string(node))
		}
	}
	after := strings.Join(silent, " ")
	if after != before {
		r.config.Log.WithField("phase", r.Identity().Phase.String()).WithField("silent", after).
			Info("data folder is not active yet; asking the other voters")
	}
	return after
}

func (r *Replica) take(s step, now answers) error {
	if sites := twoFoundings(now); len(sites) > 0 {
		r.counters.invariantsBroken.Inc(1)
		r.config.Log.WithField("foundings", sites).Error("invariant broken: one founding a site")
	}
	identity := r.Identity()
	switch s.kind {
	case stepWait:
		return nil
	case stepRenew:
		r.config.Log.Warn("gave up a founding that a lost disk made impossible")
		return r.folder.Renew()
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

// askOthers asks all nodes but this one at once and returns what they
// answered in time. An answer of another site or for another node is dropped.
func (r *Replica) askOthers(ctx context.Context, nodes []model.NodeID) answers {
	ctx, cancel := context.WithTimeout(ctx, r.config.IdentifyTimeout)
	defer cancel()
	type reply struct {
		node     model.NodeID
		identity Identity
		err      error
	}
	replies := make(chan reply, len(nodes))
	var asked conc.WaitGroup
	for _, node := range nodes {
		if node == r.config.Self {
			continue
		}
		asked.Go(func() {
			identity, err := r.config.Bootstrapper.Identify(ctx, node)
			replies <- reply{node: node, identity: identity, err: err}
		})
	}
	asked.Wait()
	close(replies)
	round := answers{}
	for a := range replies {
		if a.err == nil && a.identity.Site == r.config.Site && a.identity.Node == a.node {
			round[a.node] = a.identity
		}
	}
	return round
}
