/**
 * `shuntrun gateway`: the entry process for callers.
 */
#ifndef SHUNTRUN_GATEWAY_H
#define SHUNTRUN_GATEWAY_H

/** \return exit status of the process: 0 after a planned stop, 2 for bad settings, 1 otherwise */
int gateway_main(int argc, char **argv);

#endif
