/**
 * `shuntrun agent`: the daemon beside one back end, an engine or a plain service. It executes
 * forwarded requests on it, distributes model weights and has the engine load them.
 */
#ifndef SHUNTRUN_AGENT_H
#define SHUNTRUN_AGENT_H

/** \brief Run the daemon until it is stopped. \return exit status of the process: 0 after a
 * graceful shutdown, 2 for invalid settings, 1 when the start failed */
int agent_main(int argc, char **argv);

#endif
