-- Call-centre scripts: call-centre staff cannot wait, so rollouts favour time over origin traffic.

-- Prefers reserved machines; preemptible ones get half their weight.
function place(model, machine)
  if machine.accelerators < model.accelerators then
    return 0
  end
  if machine.pool == "preemptible" then
    return 0.5
  end
  return 1
end

-- At least as many replicas as zones, and at least as many as configured.
function replicas(model, fleet)
  return math.max(model.replicas, fleet.zones)
end

-- No zone holds more than half of a model's replicas.
function spread(model)
  return 0.5
end

-- Gas leaks are more urgent than billing disputes: lower values go first.
local priority_by_tenant = { gas = 1, water = 2, billing = 3 }

function tenant_order(tenant)
  return priority_by_tenant[tenant.name] or 10
end

-- Machines may leave as long as the fleet has more than one zone.
function may_leave(machine, fleet)
  return fleet.zones > 1
end

function rollout(model)
  return "time-weighted"
end
