/** Value of a key under `once/` in the platform's store. */
export interface OnceEntry {
  readonly nonce: string;
  readonly nodeId: string;
  readonly incarnation: string;
  readonly bodyDigest: string;
  /** `unknown`: handed to a target, and its outcome was never learnt. */
  readonly state: 'claimed' | 'ran' | 'unknown';
  readonly expiresAtMs: number;
  readonly status?: number;
  readonly answer?: {readonly contentType: string; readonly body: string};
}
