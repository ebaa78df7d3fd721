const ADDRESS = /^(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})$/;
const MAX_OCTET = 255;
const MAX_PORT = 65_535;

/** Whether a value is an IPv4 address and a port to which a connection can be opened, `host:port`. */
export function isAddress(value: unknown): value is string {
  const match = typeof value === 'string' ? ADDRESS.exec(value) : null;
  if (!match) return false;
  const [port, ...octets] = match.slice(1).map(Number).reverse();
  const isPort = port! > 0 && port! <= MAX_PORT;
  return isPort && octets.every(octet => octet <= MAX_OCTET);
}
