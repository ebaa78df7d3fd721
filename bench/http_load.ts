import {Agent, request} from 'node:http';
import {TOKEN} from '../test/support/seed_state.js';

const PATH = '/v1/chat/completions';

/** Sends chat requests back to back on `inFlight` keep-alive connections. */
export class HttpLoad {
  private readonly agent: Agent;
  private readonly body: string;

  constructor(
    private readonly port: number,
    private readonly inFlight: number,
    stream: boolean,
  ) {
    this.agent = new Agent({keepAlive: true, maxSockets: inFlight});
    const messages = [{role: 'user', content: 'A feeding plan for two mares'}];
    this.body = JSON.stringify({model: 'chat', stream, messages});
  }

  /** Sends `count` requests and returns the time of each in milliseconds. Rejects on a status other than 200. */
  async run(count: number): Promise<number[]> {
    const timesMs: number[] = [];
    let remaining = count;
    const sendAll = async () => {
      while (remaining-- > 0) {
        const startMs = performance.now();
        await this.send();
        timesMs.push(performance.now() - startMs);
      }
    };
    await Promise.all(Array.from({length: this.inFlight}, sendAll));
    return timesMs;
  }

  close(): void {
    this.agent.destroy();
  }

  private send(): Promise<void> {
    return new Promise((resolve, reject) => {
      const call = request({
        host: '127.0.0.1',
        port: this.port,
        path: PATH,
        method: 'POST',
        agent: this.agent,
        headers: {
          authorization: `Bearer ${TOKEN}`,
          'content-type': 'application/json',
          'content-length': this.body.length,
        },
      });
      call.on('error', reject);
      call.on('response', response => {
        const {statusCode} = response;
        if (statusCode !== 200) reject(new Error(`status ${statusCode}`));
        response.on('end', resolve);
        response.resume();
      });
      call.end(this.body);
    });
  }
}
