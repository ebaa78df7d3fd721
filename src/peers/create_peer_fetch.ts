import {request, type Agent} from 'node:http';

type PeerFetch = (
  url: string | URL | Request,
  init?: RequestInit,
) => Promise<Response>;

/** Called with the bytes of each call's body and answer. */
type CountBytes = (sentBytes: number, receivedBytes: number) => void;

/** Creates the `fetch` that tRPC's client calls, over Node's http and a kept-alive agent. */
export function createPeerFetch(agent: Agent, count: CountBytes): PeerFetch {
  return (url, init) =>
    new Promise((resolve, reject) => {
      const body = String(init?.body ?? '');
      const call = request(String(url), {
        agent,
        method: init?.method ?? 'POST',
        headers: {
          ...(init?.headers as Record<string, string>),
          'content-length': Buffer.byteLength(body),
        },
        ...(init?.signal && {signal: init.signal}),
      });
      call.on('error', reject);
      call.on('response', response => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('error', reject);
        response.on('aborted', () => reject(new Error('answer cut off')));
        response.on('end', () => {
          const answer = Buffer.concat(chunks);
          count(Buffer.byteLength(body), answer.length);
          const status = response.statusCode ?? 502;
          resolve(new Response(answer, {status}));
        });
      });
      call.end(body);
    });
}
