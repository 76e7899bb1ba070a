/**
 * `shuntrun status ADDRESS...`: shows the progress of rollouts and the state of the nodes.
 * Read-only.
 */
#ifndef SHUNTRUN_STATUS_TOOL_H
#define SHUNTRUN_STATUS_TOOL_H

/** \return exit status of the process */
int status_main(int argc, char **argv);

#endif
