/** Value of a key under `once/` in the platform's store. */
export interface OnceEntry {
  /** Identifies the claim that wrote the entry. */
  readonly nonce: string;
  readonly nodeId: string;
  readonly incarnation: string;
  readonly bodyDigest: string;
  /** `unknown`: sent to a target, and its outcome could not be determined. */
  readonly state: 'claimed' | 'ran' | 'unknown';
  readonly expiresAtMs: number;
  readonly status?: number;
  readonly answer?: {readonly contentType: string; readonly body: string};
}
