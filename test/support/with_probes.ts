import type {RawResponder} from './raw_engine.js';

/** Answers a node's probes, and other requests as given. */
export function withProbes(respond: RawResponder): RawResponder {
  return (socket, request) => {
    if (request.startsWith('GET /report')) {
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}');
      return;
    }
    respond(socket, request);
  };
}
