/** Epilogue of the help texts that lists the exit codes. */
export const EXIT_CODE_HELP = `Exit codes:
  0  done
  1  failed (see the message)
  2  wrong options
  3  files not valid; every fault is listed
  4  node or platform not reachable
  5  operator token refused
  6  refused; nothing was changed
  7  outcome not known; look before trying again
  8  accepted, but not yet in force at every live node`;
