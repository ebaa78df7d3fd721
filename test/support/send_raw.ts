import {connect} from 'node:net';

/** Writes bytes to a loopback port, and resolves with the response when the server closes the connection. */
export function sendRaw(address: string, text: string): Promise<string> {
  const [host, port] = address.split(':') as [string, string];
  return new Promise((resolve, reject) => {
    let answer = '';
    const socket = connect(Number(port), host, () => socket.write(text));
    socket.on('data', chunk => (answer += chunk.toString()));
    socket.on('error', reject);
    socket.on('close', () => resolve(answer));
  });
}
