import {request, type Agent} from 'node:http';

type PeerFetch = (
  url: string | URL | Request,
  init?: RequestInit,
) => Promise<Response>;

/** Called with the body sizes of each request and response, in bytes. */
type CountBytes = (sentBytes: number, receivedBytes: number) => void;

/** Creates the `fetch` for tRPC's client, over Node's http with a keep-alive agent. */
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
        response.on('aborted', () =>
          reject(new Error('peer response was truncated')),
        );
        response.on('end', () => {
          const responseBody = Buffer.concat(chunks);
          count(Buffer.byteLength(body), responseBody.length);
          const status = response.statusCode ?? 502;
          resolve(new Response(responseBody, {status}));
        });
      });
      call.end(body);
    });
}
