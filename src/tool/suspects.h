/**
 * `shuntrun suspects ADDRESS`: requests that crash back ends, as a gateway or loader knows them.
 */
#ifndef SHUNTRUN_SUSPECTS_TOOL_H
#define SHUNTRUN_SUSPECTS_TOOL_H

int suspects_main(int argc, char **argv);

#endif
