-- Matchmaking for three competing studios that share the cost of the origin, so a rollout reads only
-- one copy of the weights from it.

function place(model, machine)
  if machine.accelerators < model.accelerators then
    return 0
  end
  return 1
end

function replicas(model, fleet)
  return math.max(model.replicas, 2 * fleet.regions)
end

-- Matches start in all regions, so no zone holds more than 40 % of a model's replicas.
function spread(model)
  return 0.4
end

-- All tenants have the same priority.
function tenant_order(tenant)
  return 0
end

function may_leave(machine, fleet)
  return machine.pool == "preemptible" or fleet.machines > 6
end

function rollout(model)
  return "origin-weighted"
end
