-- Matchmaking for three rival studios, who share the origin's cost: one copy leaves the origin.

function place(model, machine)
  if machine.accelerators < model.accelerators then
    return 0
  end
  return 1
end

function replicas(model, fleet)
  return math.max(model.replicas, 2 * fleet.regions)
end

-- Races start in every region: spread evenly.
function spread(model)
  return 0.4
end

-- All studios wait in the same line.
function tenant_order(tenant)
  return 0
end

function may_leave(machine, fleet)
  return machine.pool == "preemptible" or fleet.machines > 6
end

function rollout(model)
  return "origin-weighted"
end
