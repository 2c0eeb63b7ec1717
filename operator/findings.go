package operator

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"wasabirelay/control"
	"wasabirelay/lease"
)

// noAction is the OperatorAction of a finding that needs no action.
const noAction = "nothing"

// maxEntriesBehind is the largest lag, in log entries, at which a replica or host counts
// as caught up. It equals consensus.MaxPromotionLag, the lag up to which a learner is promoted.
const maxEntriesBehind = 64

func findControl(in *StatusInput) []Finding {
	var found []Finding
	if in.Leader.Host == "" {
		found = append(found, Finding{
			Level: Failed, Subject: "control", Description: "no leader is known: no change, target or claim is accepted",
			Since: in.Leader.Since, SystemAction: "hosts refuse queries when their leases end",
			OperatorAction: "restore a majority of the control hosts",
		})
	}
	for _, r := range in.Replicas {
		if f := findReplica(&r); f != nil {
			found = append(found, *f)
		}
	}
	if in.View.Inventory == nil {
		found = append(found, Finding{
			Level: Failed, Subject: "inventory", Description: "no inventory has been applied",
			SystemAction: "targets may announce; no query is served", OperatorAction: "apply an inventory",
		})
	}
	return found
}

func findReplica(r *Replica) *Finding {
	f := &Finding{Level: Reduced, Subject: "control host " + r.Host, Since: r.SilentSince}
	switch {
	case !r.SilentSince.IsZero():
		f.Description, f.SystemAction = "does not answer the leader", "the other control hosts keep the log"
		f.OperatorAction = "bring the host back; replace it before another one fails"
	case r.Learner:
		f.Level, f.Description = Notice, fmt.Sprintf("is a learner, %d entries behind", r.EntriesBehind)
		f.SystemAction, f.OperatorAction = "it gets a vote once it has caught up", noAction
	case r.EntriesBehind > maxEntriesBehind:
		f.Description, f.SystemAction = fmt.Sprintf("is %d entries behind", r.EntriesBehind), "the leader sends the missing entries"
		f.OperatorAction = "check the disk and the network of the host if this lasts"
	default:
		return nil
	}
	return f
}

func findHosts(in *StatusInput) []Finding {
	if in.Leases == nil {
		return nil
	}
	var found []Finding
	for _, h := range in.View.Hosts {
		l, ok := in.Leases[h.Name]
		switch {
		case !ok || !l.Live:
			found = append(found, Finding{
				Level: Reduced, Subject: "host " + h.Name, Description: "holds no lease: it is down or cut off", Since: l.Until,
				SystemAction:   "it is left out of address lists and gives out no work",
				OperatorAction: "check the host and its network",
			})
		case l.State == lease.Pending && l.Applied > 0 && l.Applied+maxEntriesBehind < in.View.Revision:
			found = append(found, Finding{
				Level: Notice, Subject: "host " + h.Name,
				Description:  fmt.Sprintf("has applied entry %d of %d", l.Applied, in.View.Revision),
				SystemAction: "changes count as in force only when it has applied them or lost its lease", OperatorAction: noAction,
			})
		}
	}
	return found
}

func findOutOfService(in *StatusInput) []Finding {
	var found []Finding
	for _, condition := range slices.Sorted(maps.Keys(in.View.Since)) {
		kind, name, _ := strings.Cut(condition, "/")
		f := Finding{
			Level: Notice, Description: "is out of service by the inventory", Since: in.View.Since[condition],
			OperatorAction: `remove "out" from the inventory when it may return`,
		}
		switch kind {
		case "centres":
			f.Subject, f.SystemAction = "data centre "+name, "its targets get no new work and its hosts are left out of address lists"
		case "hosts":
			f.Subject, f.SystemAction = "host "+name, "it is left out of address lists"
		default:
			continue
		}
		found = append(found, f)
	}
	return found
}

func findServices(in *StatusInput) []Finding {
	var found []Finding
	for _, condition := range slices.Sorted(maps.Keys(in.View.Since)) {
		service, ok := strings.CutPrefix(condition, "services/")
		if !ok {
			continue
		}
		f := Finding{
			Level: Failed, Subject: "service " + service, Since: in.View.Since[condition],
			Description: "no target has announced itself", SystemAction: "queries are refused",
			OperatorAction: "start the service's targets, or remove the service from the inventory",
		}
		if n, missing := missingShards(in.View, service); len(missing) > 0 {
			f.Description = fmt.Sprintf("snapshot %d lacks a replica of %s", n, formatShards(missing))
			f.SystemAction = "answers report their coverage; queries that need more are refused"
			f.OperatorAction = "start targets for the missing shards"
		}
		found = append(found, f)
	}
	return found
}

// missingShards returns the number of the newest snapshot of a service and the shards of
// that snapshot that have no replica.
func missingShards(v *control.View, service string) (number uint64, missing []int) {
	count := 0
	for n, shards := range v.ShardCounts[service] {
		if n >= number {
			number, count = n, shards
		}
	}
	have := make([]bool, count)
	for _, t := range v.Targets[service] {
		if t.State == control.Draining || !slices.ContainsFunc(t.Snapshots, func(n control.Snapshot) bool { return n.Number == number }) {
			continue
		}
		for _, shard := range t.Shards {
			if shard < count {
				have[shard] = true
			}
		}
	}
	for shard, ok := range have {
		if !ok {
			missing = append(missing, shard)
		}
	}
	return number, missing
}

// maxListedShards limits how many shards a finding names.
const maxListedShards = 8

func formatShards(shards []int) string {
	var names []string
	for _, shard := range shards[:min(len(shards), maxListedShards)] {
		names = append(names, fmt.Sprint(shard))
	}
	text := "shard " + strings.Join(names, ", ")
	if more := len(shards) - maxListedShards; more > 0 {
		text += fmt.Sprintf(" and %d more", more)
	}
	return text
}

// findTargets reports the number of cold and draining targets per service, not each
// target: a data centre that returns brings hundreds of cold targets.
func findTargets(in *StatusInput) []Finding {
	var found []Finding
	for _, service := range slices.Sorted(maps.Keys(in.View.Targets)) {
		for _, state := range []control.TargetState{control.Cold, control.Draining} {
			count, since := 0, time.Time{}
			for _, t := range in.View.Targets[service] {
				if t.State != state {
					continue
				}
				if count++; since.IsZero() || t.Since.Before(since) {
					since = t.Since
				}
			}
			if count == 0 {
				continue
			}
			f := Finding{
				Level: Notice, Subject: "service " + service, Since: since, OperatorAction: noAction,
				Description:  fmt.Sprintf("%d of %d targets are %s", count, len(in.View.Targets[service]), state),
				SystemAction: "they get work under grants only",
			}
			if state == control.Draining {
				f.SystemAction = "they get no new work"
			}
			found = append(found, f)
		}
	}
	return found
}

func findMoves(in *StatusInput) []Finding {
	var found []Finding
	for _, service := range slices.Sorted(maps.Keys(in.View.Moves)) {
		m := in.View.Moves[service]
		f := Finding{
			Level: Notice, Subject: "move of " + service, Since: m.Since,
			Description:  fmt.Sprintf("version %s is at step %s with a share of %g, due %s", m.Version, m.Step, m.Share, m.Deadline.Format(time.RFC3339)),
			SystemAction: "the share grows with the evidence for the version", OperatorAction: noAction,
		}
		switch {
		case m.Reverted:
			f.Level, f.Description = Reduced, fmt.Sprintf("version %s was reverted: %s", m.Version, m.Reason)
			if m.Operator != "" {
				f.Description += " (by operator " + m.Operator + ")"
			}
			f.SystemAction = "the version gets no traffic"
			f.OperatorAction = "mend the version and give the rule a new time, or name another version"
		case m.Share >= 1:
			continue
		case in.Time.After(m.Deadline):
			f.Level, f.SystemAction = Reduced, "the share is not forced: the evidence does not suffice"
			f.OperatorAction = "check the version's targets; give the rule a later time or revert the move"
		}
		found = append(found, f)
	}
	return found
}

func findPoison(in *StatusInput) []Finding {
	var found []Finding
	for _, fingerprint := range slices.Sorted(maps.Keys(in.View.Poisoned)) {
		until := in.View.Poisoned[fingerprint]
		if !in.Time.Before(until) {
			continue
		}
		found = append(found, Finding{
			Level: Reduced, Subject: "request " + fingerprint, Description: "crashed several targets",
			SystemAction:   "it is refused until " + until.UTC().Format(time.RFC3339),
			OperatorAction: "find the caller that sends it and mend the targets",
		})
	}
	return found
}
