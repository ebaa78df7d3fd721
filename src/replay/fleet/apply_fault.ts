import type {FleetFault} from './fleet_fault.js';
import type {FleetEngine} from './fleet_engine.js';
import type {FleetWorld} from './fleet_world.js';
import type {VmId} from '../../core/ids/index.js';
import {makeId} from '../../core/ids/index.js';

/** Injects one fault of a trace and schedules its end. */
export function applyFault(world: FleetWorld, fault: FleetFault): void {
  const {time} = world.world;
  switch (fault.kind) {
    case 'kill': {
      const engine = findEngine(world, fault.vm);
      engine.kill();
      if (fault.forMs !== undefined) {
        time.after(fault.forMs, () => engine.restart());
      }
      return;
    }
    case 'freeze': {
      const engine = findEngine(world, fault.vm);
      engine.freeze();
      time.after(fault.forMs, () => engine.thaw());
      return;
    }
    case 'replace':
      return replaceVm(world, fault);
    case 'dark': {
      const engines = [...world.fleet.engines.values()].filter(
        engine => engine.record.domain === fault.domain,
      );
      for (const engine of engines) engine.kill();
      time.after(fault.forMs, () => {
        for (const engine of engines) engine.restart();
      });
      return;
    }
    case 'freeze-node': {
      const node = world.nodes[fault.node]!;
      node.freeze();
      time.after(fault.forMs, () => node.thaw());
      return;
    }
    case 'publish':
      return world.publish(
        world.services.map(service =>
          service.name === fault.service
            ? {...service, ...fault.change}
            : service,
        ),
      );
  }
}

function replaceVm(
  world: FleetWorld,
  fault: Extract<FleetFault, {kind: 'replace'}>,
): void {
  const {time} = world.world;
  const engine = findEngine(world, fault.vm);
  const {record} = engine;
  const others = () =>
    world.store.platform.listVms().filter(one => one.vmId !== record.vmId);
  engine.isLeaving = true;
  world.listVms([...others(), {...record, state: 'leaving'}]);
  time.after(fault.noticeMs, () => {
    engine.kill();
    world.listVms(others());
    time.after(fault.absentMs, () => {
      const vmId = makeId<VmId>(fault.by);
      const [host] = record.address.split(':');
      const successor = {...record, vmId, address: `${host}:${fault.by}`};
      world.fleet.addEngine(successor);
      world.listVms([...others(), successor]);
    });
  });
}

function findEngine(world: FleetWorld, vm: string): FleetEngine {
  const engine = world.fleet.engines.get(makeId<VmId>(vm));
  if (!engine) throw new Error(`the trace names an unknown VM: ${vm}`);
  return engine;
}
