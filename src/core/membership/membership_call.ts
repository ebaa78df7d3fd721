/** A store call, or a request to a peer, that membership has in flight. */
export interface MembershipCall {
  readonly purpose:
    'grant' | 'register' | 'keepAlive' | 'evict' | 'list' | 'watch' | 'join';
  readonly sentAtMs: number;
}
