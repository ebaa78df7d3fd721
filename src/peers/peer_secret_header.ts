/** Header that carries the secret shared by all nodes. */
export const PEER_SECRET_HEADER = 'rhubarbstile-peer-secret';
