interface HostPort {
  readonly host: string;
  readonly port: number;
}

/** Parts `host:port`. */
export function splitAddress(address: string): HostPort {
  const at = address.lastIndexOf(':');
  return {host: address.slice(0, at), port: Number(address.slice(at + 1))};
}
