/**
 * `shuntrun gateway`: the daemon that accepts requests of callers and routes them to agents.
 */
#ifndef SHUNTRUN_GATEWAY_H
#define SHUNTRUN_GATEWAY_H

/** \brief Run the daemon until it is stopped. \return exit status of the process: 0 after a
 * graceful shutdown, 2 for invalid settings, 1 when the start failed */
int gateway_main(int argc, char **argv);

#endif
