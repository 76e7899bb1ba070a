-- Call-centre scripts: agents cannot wait, so time goes before the origin's bytes.

-- Script models go to reserved machines first; preemptible ones count half.
function place(model, machine)
  if machine.accelerators < model.accelerators then
    return 0
  end
  if machine.pool == "preemptible" then
    return 0.5
  end
  return 1
end

-- At least one replica in each zone, and never fewer than the configuration asks for.
function replicas(model, fleet)
  return math.max(model.replicas, fleet.zones)
end

-- No zone holds more than half of a model's replicas.
function spread(model)
  return 0.5
end

-- Gas leaks before billing disputes.
local order = { gas = 1, water = 2, billing = 3 }

function tenant_order(tenant)
  return order[tenant.name] or 10
end

-- A machine may leave while its zone is not the only one.
function may_leave(machine, fleet)
  return fleet.zones > 1
end

function rollout(model)
  return "time-weighted"
end
