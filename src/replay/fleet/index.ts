export {FleetEngine} from './fleet_engine.js';
export {FleetWorld} from './fleet_world.js';
export {VirtualFleet} from './virtual_fleet.js';
export type {OrderArrival} from './order_arrival.js';
