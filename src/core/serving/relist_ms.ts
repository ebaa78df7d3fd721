/** After the store's return, engines that are alive are listed again within this time: two seconds, and a little. */
export const RELIST_MS = 2200;
