/**
 * `shuntrun suspects ADDRESS`: lists the requests suspected of crashing backends that a gateway or
 * loader knows, or lifts the block of one.
 */
#ifndef SHUNTRUN_SUSPECTS_TOOL_H
#define SHUNTRUN_SUSPECTS_TOOL_H

/** \return exit status of the process */
int suspects_main(int argc, char **argv);

#endif
