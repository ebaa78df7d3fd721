import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {get} from 'node:http';
import {createServer} from 'node:net';
import {once} from 'node:events';
import {spawn} from 'node:child_process';
import {join} from 'node:path';
import {tmpdir} from 'node:os';

const ROOT = new URL('../../', import.meta.url).pathname;
export const KEY = 'n2ctnfzs989anu6wsjnb';
export const HOST = 'ficu95.example';
/** Bounds of the small deployments in SYSTEM.md. */
export const BOUNDS = {
  'contact-ms': 3000,
  'drain-ms': 2000,
  'grace-s': 8,
  'loss-slack-ms': 200,
  'config-apply-ms': 2000,
  'rollback-slack-ms': 250,
  'fail-closed': true,
  'revoke-ms': 5000,
  'retry-budget-ratio': 0.2,
  'budget-window-s': 10,
  'retry-slack': 260,
  'stall-ms': 6000,
  'ceiling-window-s': 5,
  ttl_max_s: 5,
};

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** The port of `metrics` in the deploy file, on each machine's own address. */
const METRICS_PORT = 9464;
const MAX_MACHINES = 8;
const NETS = 200;

async function listen(host, port) {
  const server = createServer();
  const error = new Promise(resolve => server.once('error', resolve));
  const isOpen = once(server, 'listening').then(() => undefined);
  isOpen.catch(() => {});
  server.listen(port, host);
  if (await Promise.race([isOpen, error])) return;
  return server;
}

/** Finds a loopback network that no other script or program uses, and holds an address of it until this process ends. */
async function findNet() {
  for (let at = 0; at < NETS; at++) {
    const net = `127.${20 + ((process.pid + at) % NETS)}`;
    const held = await listen(`${net}.255.1`, METRICS_PORT);
    if (!held) continue;
    held.unref();
    let isFree = true;
    for (let machine = 1; machine <= MAX_MACHINES && isFree; machine++) {
      const tried = await listen(`${net}.1.${machine}`, METRICS_PORT);
      isFree = tried !== undefined;
      if (tried) await new Promise(resolve => tried.close(resolve));
    }
    if (isFree) return net;
    held.close();
  }
  throw new Error('no loopback network is free');
}

const NET = await findNet().catch(error => {
  console.error(error.stack);
  process.exit(2);
});
export const address = (zone, machine) => `${NET}.${zone}.${machine}`;

export async function waitFor(what, check, ms = 20_000) {
  const untilMs = Date.now() + ms;
  while (!(await check())) {
    if (Date.now() > untilMs) throw new Error(`no ${what} in ${ms} ms`);
    await sleep(20);
  }
}

async function findPorts(host, count) {
  const servers = [];
  for (let at = 0; at < count; at++) {
    const server = createServer().listen(0, host);
    await once(server, 'listening');
    servers.push(server);
  }
  const ports = servers.map(server => server.address().port);
  for (const server of servers) server.close();
  return ports;
}

export function route(name, fields) {
  return {
    name,
    host: HOST,
    'path-prefix': `/${name}/`,
    'timeout-ms': 8000,
    'latency-goal-ms': 400,
    priority: 1,
    'max-attempts': 2,
    anonymous: false,
    ...fields,
  };
}

export function configOf(version, routes, services, fields = {}) {
  return {
    version,
    routes,
    services: services.map(name => ({
      name,
      'health-path': '/healthz',
      'max-conns': 248,
      protocol: 'h1',
      tls: false,
    })),
    limits: {
      'max-header-bytes': 16_384,
      'max-body-bytes': 4_194_304,
      'header-timeout-ms': 3000,
      'idle-timeout-ms': 15_000,
    },
    tenants: [{name: 'hule930', 'api-keys': [KEY], priority: 1}],
    ...fields,
  };
}

/** Machines with one process each, started by the command of the deploy file. */
export class Machines {
  constructor() {
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    this.all = [];
    const deploy = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
    this.command = /^run = "(.*)"$/m.exec(deploy)[1].split(' ');
  }

  async start({name, zone, host, store, settings = {}}) {
    this.ports ??= await findPorts(host, 6);
    const [front, ready, directory, control] = this.ports;
    const internal = 10_000 + (process.pid % 1000) * 16;
    const path = join(this.folder, `${name}.json`);
    const {bounds, ...more} = settings;
    writeFileSync(
      path,
      JSON.stringify({
        'node-name': name,
        role: 'edge',
        'machine-class': 'edge',
        serves: ['edge', 'directory'],
        ip: host,
        zone,
        region: 'region',
        zones: {'zone-a': 'region', 'zone-b': 'region', 'zone-c': 'region'},
        listen: {
          front: `${host}:${front}`,
          ready: `${host}:${ready}`,
          control: `${host}:${control}`,
          directory: `${host}:${directory}`,
        },
        'internal-ports': [internal, internal + 15],
        seeds: [],
        bootstrap: true,
        limits: {
          'cpu-share': 0.459,
          cores: 1,
          'memory-mb': 272,
          'max-fds': 2118,
        },
        'heartbeat-ms': 1200,
        bounds: {...BOUNDS, ...bounds},
        platform: {address: store, form: 'kv', 'ttl-min-ms': 1000},
        ...more,
      }),
    );
    const machine = {name, zone, host, front: {host, port: front}, logs: ''};
    machine.launch = () => {
      const [program, ...words] = this.command;
      const {PATH, HOME, LANG} = process.env;
      const env = {PATH, HOME, LANG, RHUBARBSTILE_NODE_FILE: path};
      const child = spawn(program, words, {cwd: ROOT, env});
      machine.process = child;
      child.stdout.on('data', text => (machine.logs += text));
      child.stderr.on('data', text => (machine.logs += text));
      child.once('exit', (code, signal) => {
        machine.ended = {code, signal, atMs: Date.now()};
      });
    };
    machine.isReady = () =>
      new Promise(resolve => {
        get({host, port: ready, path: '/readyz', agent: false}, response => {
          response.resume();
          resolve(response.statusCode === 200);
        }).on('error', () => resolve(false));
      });
    machine.launch();
    this.all.push(machine);
    return machine;
  }

  awaitReady() {
    return Promise.all(
      this.all.map(one =>
        waitFor(`ready ${one.name}`, one.isReady).catch(error => {
          const end = JSON.stringify(one.ended ?? 'runs');
          throw new Error(`${error.message}: ${end}, ${one.logs.slice(-2000)}`);
        }),
      ),
    );
  }

  close() {
    for (const {process: child, ended} of this.all) {
      if (!ended) child.kill('SIGKILL');
    }
    rmSync(this.folder, {recursive: true, force: true});
  }
}
