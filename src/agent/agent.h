/**
 * `shuntrun agent`: the process beside one back end.
 */
#ifndef SHUNTRUN_AGENT_H
#define SHUNTRUN_AGENT_H

/** \return exit status of the process: 0 after a planned stop, 2 for bad settings, 1 otherwise */
int agent_main(int argc, char **argv);

#endif
