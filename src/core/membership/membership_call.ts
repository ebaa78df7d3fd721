/** What a store call or a question of this area was for. */
export interface MembershipCall {
  readonly purpose:
    'grant' | 'register' | 'keepAlive' | 'evict' | 'list' | 'watch' | 'join';
  readonly sentAtMs: number;
}
