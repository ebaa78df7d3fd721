import {once} from 'node:events';
import {spawn} from 'node:child_process';

const HEARTBEAT_MS = 1200;
const PROGRAM = new URL('engine_program.mjs', import.meta.url).pathname;
let bornAtMs = Date.now();

/** An engine as a process of its own, and its entry in the store. */
export class EngineProcess {
  /** @param unframed Number of the first answers that have no length. */
  constructor({store, service, id, events, eventMs, unframed = 0}) {
    bornAtMs += 1;
    Object.assign(this, {store, service, id, born: bornAtMs});
    this.settings = {
      EVENTS: String(events),
      EVENT_MS: String(eventMs),
      UNFRAMED: String(unframed),
    };
    this.sequence = 0;
    this.state = 'ready';
    this.output = '';
  }

  async start(host) {
    const {PATH} = process.env;
    const env = {PATH, ID: this.id, HOST: host, BORN: String(this.born)};
    this.process = spawn('node', [PROGRAM], {env: {...env, ...this.settings}});
    this.process.stdout.on('data', text => (this.output += text));
    while (!this.output.includes('\n')) await once(this.process.stdout, 'data');
    this.address = `${host}:${Number.parseInt(this.output, 10)}`;
    this.#beat();
    this.timer = setInterval(() => this.#beat(), HEARTBEAT_MS);
    return this;
  }

  get runs() {
    return [...this.output.matchAll(/^run (\S+)/gm)].map(([, id]) => id);
  }

  /** When it read each request, by the attempt's id. */
  get readAtMs() {
    const lines = this.output.matchAll(/^run (\S+) .* at (\d+)$/gm);
    return new Map([...lines].map(([, id, atMs]) => [id, Number(atMs)]));
  }

  /** Reports that it leaves. */
  drain() {
    this.state = 'draining';
    this.#beat();
  }

  /** Ends the process; its entry stays until the store removes it. */
  kill() {
    clearInterval(this.timer);
    if (this.process.exitCode === null) this.process.kill('SIGKILL');
  }

  #beat() {
    this.sequence += 1;
    const {service, address, state, born, sequence} = this;
    this.store.put(`servers/${this.id}`, {
      service,
      address,
      zone: 'zone-a',
      version: 'v1',
      slots: 18,
      state,
      'cold-left-ms': 0,
      born,
      sequence,
    });
  }
}
