import {setTimeout as sleep} from 'node:timers/promises';
import type {VmId} from '../../core/ids/index.js';
import {DemoLoad} from './demo_load.js';
import {DevCluster} from '../dev_cluster.js';
import {makeId} from '../../core/ids/index.js';

const LOAD_MS = 10_000;
const USUAL_PER_SECOND = 20;
const PEAK_PER_SECOND = 50;
const PEAK_FROM_MS = 4000;
const PEAK_UNTIL_MS = 7000;
const LEAVE_AT_MS = 3000;
const LOSE_NODE_AT_MS = 5500;
const REMOVE_AT_MS = 8000;
const PROGRESS_MS = 1000;
const LEAVING_VM = makeId<VmId>('zone-a-engine-1');

/** Runs the demo; resolves to true when no request was lost or answered wrongly. */
export async function runDemo(print: (line: string) => void): Promise<boolean> {
  print(
    'demo: starting the platform, 12 engine VMs, 2 application VMs, 3 nodes',
  );
  const cluster = await DevCluster.start({logLevel: 'error'});
  try {
    print('demo: published; 4 replicas of 2 VMs serve; load for 10 s');
    const load = new DemoLoad(cluster);
    await sendLoad(load, cluster, print);
    print(`demo: load has ended, ${load.openCount} requests are open`);
    await load.finish();
    return report(load, print);
  } finally {
    await cluster.close();
  }
}

async function sendLoad(
  load: DemoLoad,
  cluster: DevCluster,
  print: (line: string) => void,
): Promise<void> {
  const startedAtMs = Date.now();
  const events = createEvents(cluster, print);
  let nextProgressMs = PROGRESS_MS;
  let sendAtMs = 0;
  for (;;) {
    const elapsedMs = Date.now() - startedAtMs;
    if (elapsedMs >= LOAD_MS) return;
    while (events[0] && events[0].atMs <= elapsedMs) events.shift()!.run();
    while (sendAtMs <= elapsedMs) {
      load.send();
      sendAtMs += 1000 / ratePerSecond(sendAtMs);
    }
    if (elapsedMs >= nextProgressMs) {
      printProgress(load, nextProgressMs, print);
      nextProgressMs += PROGRESS_MS;
    }
    await sleep(5);
  }
}

function ratePerSecond(atMs: number): number {
  const isPeak = atMs >= PEAK_FROM_MS && atMs < PEAK_UNTIL_MS;
  return isPeak ? PEAK_PER_SECOND : USUAL_PER_SECOND;
}

function createEvents(cluster: DevCluster, print: (line: string) => void) {
  const {targets} = cluster;
  return [
    {
      atMs: LEAVE_AT_MS,
      run: () => {
        targets.leave(LEAVING_VM);
        cluster.setVms(targets.listVms());
        print(`demo: VM ${LEAVING_VM} is leaving`);
      },
    },
    {
      atMs: LOSE_NODE_AT_MS,
      run: () =>
        print(
          `demo: ${cluster.loseBusiestNode()} is lost with its requests in progress`,
        ),
    },
    {
      atMs: REMOVE_AT_MS,
      run: () => {
        targets.remove(LEAVING_VM);
        cluster.setVms(targets.listVms());
        print(`demo: VM ${LEAVING_VM} is gone`);
      },
    },
  ];
}

function printProgress(
  load: DemoLoad,
  atMs: number,
  print: (line: string) => void,
): void {
  const {tally} = load;
  const second = Math.round(atMs / 1000);
  print(
    `demo: ${second} s: sent ${tally.total('sent')}, whole ${tally.total('whole')}, open ${load.openCount}`,
  );
}

function report(load: DemoLoad, print: (line: string) => void): boolean {
  const {tally} = load;
  for (const reason of load.reasons) print(`demo: ${reason}`);
  const repeatedOrders = load.countRepeatedOrders();
  if (repeatedOrders > 0)
    print(`demo: ${repeatedOrders} orders ran more than once`);
  const wrong = tally.total('wrong') + repeatedOrders;
  const lost = tally.total('lost');
  print(tally.format());
  print(
    `demo: sent ${tally.total('sent')}, whole ${tally.total('whole')}, lost ${lost}, wrong ${wrong}`,
  );
  return lost === 0 && wrong === 0;
}
