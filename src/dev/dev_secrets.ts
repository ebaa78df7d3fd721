/** Tokens of the development deployment; they protect nothing and are printed. */
export const DEV_SECRETS = {
  operatorToken: 'dev-operator-token',
  peerSecret: 'dev-peer-secret-on-loopback',
  bakeryToken: 'dev-bakery-token',
  stableToken: 'dev-stable-token',
} as const;
