package directory

import "violetthread/rollout"

// Log events of a directory. Each is one line, event=NAME and the keys given here;
// docs/logs.md describes them for operators.

func (d *Directory) logLeaseAcquired(fencingToken uint64) {
	d.log.Info("rollout_lease_acquired", "key", WeightsRoleKey, "fencing_token", fencingToken)
}

func (d *Directory) logStateUnreadable(err error) {
	d.log.Info("rollout_state_unreadable", "key", RolloutKey, "cause", err.Error())
}

func (d *Directory) logRolloutOverdue(model string, newest uint64, engines int) {
	d.log.Info("rollout_overdue", "model", model, "version", newest, "engines", engines)
}

func (d *Directory) logWeightUpdate(request rollout.UpdateRequest, fencingToken uint64, result UpdateResult) {
	d.log.Info("weight_update", "engine", request.Engine, "model", request.Model, "version", request.Version,
		"fencing_token", fencingToken, "result", result.String())
}
