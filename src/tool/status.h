/**
 * `shuntrun status ADDRESS...`: watch a rollout; reads only.
 */
#ifndef SHUNTRUN_STATUS_TOOL_H
#define SHUNTRUN_STATUS_TOOL_H

int status_main(int argc, char **argv);

#endif
